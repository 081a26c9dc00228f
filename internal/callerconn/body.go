package callerconn

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxUnreadBodyBytes and unreadBodyTimeout bound the reading of the rest of a request body
	// after its answer. They are above the largest body that callers may send and the time that
	// this takes.
	maxUnreadBodyBytes = 16 << 20
	unreadBodyTimeout  = 2 * time.Second
)

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// serveAndDrainBody serves a request and then reads the part of its body that the handler left
// unread. A connection that is closed with unread bytes is reset, so a caller that is still
// sending its body would lose an answer that was sent early. net/http by itself reads at most
// 256 KiB of the rest.
func serveAndDrainBody(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
		return
	}
	// The request is copied because net/http inspects the Body field of its own request.
	request := *r
	tracked := &trackedBody{ReadCloser: r.Body}
	request.Body = tracked
	handler.ServeHTTP(w, &request)
	if tracked.ended {
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) != nil {
		return
	}
	// Errors are ignored: the answer has been sent or the caller has disconnected.
	_, _ = io.CopyN(io.Discard, r.Body, maxUnreadBodyBytes)
}
