package callerconn

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxRestBytes and restTimeout bound what is read of a request after its answer: far
	// above the bodies that callers may send, and longer than they take to send one.
	maxRestBytes = 16 << 20
	restTimeout  = 2 * time.Second
)

// body notes whether a request's body was read to its end.
type body struct {
	io.ReadCloser
	ended bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// serveWhole serves a request, and reads what the handler left of its body: a connection
// that is closed with unread bytes is reset, and a caller that still sends then loses an
// answer that came early. net/http itself reads 256 KiB of it at most.
func serveWhole(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
		return
	}
	// net/http looks at the body of its own request.
	own := *r
	tracked := &body{ReadCloser: r.Body}
	own.Body = tracked
	handler.ServeHTTP(w, &own)
	if tracked.ended {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(restTimeout)) != nil {
		return
	}
	// The caller has its answer, or has left: nobody waits for the rest.
	_, _ = io.CopyN(io.Discard, r.Body, maxRestBytes)
}
