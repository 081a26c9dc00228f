package gateway

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// pastDeadline is a read deadline in the past: setting it ends a pending read immediately.
var pastDeadline = time.Unix(1, 0)

// readBody reads the whole body of a call. It fails at the call's deadline, or when a shutdown
// has advanced so far that the call can no longer be accepted.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, call *call) ([]byte, *Failure) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	limit := call.manifest.Limits.MaxBodyBytes
	tooLarge := refusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge
	}
	var reader io.Reader = r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	deadline := call.deadline
	if stop := g.shutdown.Load(); stop != nil && stop.endsAt.Before(deadline) {
		deadline = stop.endsAt
	}
	read := g.bodyReads.begin(w, deadline)
	body, err := call.memory.ReadAll(reader, r.ContentLength, 0)
	stopped := read.end(err == nil)
	var tooLong *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	switch {
	case stopped:
		return nil, unavailable(KindNotReady, staleRetryAfter, "this process is about to stop and the body has not come")
	case err == nil:
		return body, nil
	case errors.As(err, &tooLong):
		return nil, tooLarge
	case errors.As(err, &exhausted):
		return nil, unavailable(KindOverloaded, staleRetryAfter, "this process is short of memory for the body: "+exhausted.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(KindTimeout, http.StatusRequestTimeout, "the body has not come before the deadline")
	case r.Context().Err() != nil:
		return nil, cutFailure(r.Context(), false)
	}
	return nil, refusal(KindMalformed, http.StatusBadRequest, "the body could not be read: "+err.Error())
}

// bodyReads tracks the request bodies that are being read, so that a shutdown can end them. The
// zero value is ready to use. It is safe for concurrent use.
type bodyReads struct {
	mu     sync.Mutex
	active map[*bodyRead]struct{}
}

// bodyRead limits the time to read one body.
type bodyRead struct {
	reads      *bodyReads
	controller *http.ResponseController
	stopped    bool
}

// begin sets the deadline for reading a body, a time of the clock that counts suspension. Errors from setting
// the read deadline are ignored: either the connection is closed, and the read reports it, or it
// doesn't support deadlines.
func (b *bodyReads) begin(w http.ResponseWriter, deadline time.Time) *bodyRead {
	b.mu.Lock()
	defer b.mu.Unlock()
	read := &bodyRead{reads: b, controller: http.NewResponseController(w)}
	_ = read.controller.SetReadDeadline(time.Now().Add(steady.Until(deadline)))
	if b.active == nil {
		b.active = map[*bodyRead]struct{}{}
	}
	b.active[read] = struct{}{}
	return read
}

// stop ends the reads of all bodies.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for read := range b.active {
		read.stopped = true
		_ = read.controller.SetReadDeadline(pastDeadline)
	}
}

// end reports whether a shutdown ended the read. After a complete body the read deadline is
// cleared, as the connection is used for further requests. After an incomplete one it stays, so
// that net/http doesn't wait for the rest of the body.
func (r *bodyRead) end(complete bool) (stopped bool) {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	delete(r.reads.active, r)
	if complete && !r.stopped {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return r.stopped
}
