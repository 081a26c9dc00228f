package callerconn

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// maxUnreadBodyBytes and unreadBodyTimeout bound the reading of the rest of a request body
	// after its answer. They are above the largest body that callers may send and the time that
	// this takes.
	maxUnreadBodyBytes = 16 << 20
	unreadBodyTimeout  = 2 * time.Second
	// unsentBodyTimeout is how long an answer may wait for the rest of a body that the handler did not
	// read. net/http reads up to 256 KiB of it first, so that the connection can be kept.
	unsentBodyTimeout = 500 * time.Millisecond
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

// earlyWriter is the ResponseWriter of a request with a body. Before the answer begins, it bounds the
// time for the rest of the body.
type earlyWriter struct {
	http.ResponseWriter
	body  *trackedBody
	began bool
}

// begin is called before the answer begins. Errors are ignored: a closed connection reports itself to the write.
func (w *earlyWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	if !w.body.ended {
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(unsentBodyTimeout))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *earlyWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *earlyWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *earlyWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *earlyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// BoundUnreadBody wraps a handler of HTTP/1.1 so that an answer that begins before the request body has been read
// doesn't wait for a body that is not sent, and that the caller can read it while it is still sending.
func BoundUnreadBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor > 1 {
			next.ServeHTTP(w, r)
			return
		}
		serveAndDrainBody(next, w, r)
	})
}

// serveAndDrainBody serves a request and then reads the part of its body that the handler left
// unread. A connection that is closed with unread bytes is reset, so a caller that is still
// sending its body would lose an answer that was sent early. net/http by itself reads at most
// 256 KiB of the rest, without a bound of time.
func serveAndDrainBody(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
		return
	}
	// The request is copied because net/http inspects the Body field of its own request.
	request := *r
	tracked := &trackedBody{ReadCloser: r.Body}
	request.Body = tracked
	early := &earlyWriter{ResponseWriter: w, body: tracked}
	// After a panic net/http reads the rest of the body too.
	defer early.begin()
	handler.ServeHTTP(early, &request)
	early.begin()
	if tracked.ended {
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, r.Body, maxUnreadBodyBytes)
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ContentLength < 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// A reader of chunks returns the error of unsentBodyTimeout again and again.
		c.bodyUnread.Store(true)
	}
	// Other errors are ignored: the answer has been sent or the caller has disconnected.
}
