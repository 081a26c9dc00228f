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

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// readBody reads the whole body of a call until its deadline, or until a stop is so far
// that the call can't be taken any more.
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

// bodyReads are the bodies that are being read. The zero value is ready to use. It is
// safe for concurrent use.
type bodyReads struct {
	mu     sync.Mutex
	active map[*bodyRead]struct{}
}

// bodyRead bounds the reading of one body.
type bodyRead struct {
	reads      *bodyReads
	controller *http.ResponseController
	stopped    bool
}

// begin bounds the reading of a body by a moment of the steady clock. Failures to set a
// read deadline are left to the read: the connection is gone, or can't be bounded.
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

// stop ends the reading of all bodies.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for read := range b.active {
		read.stopped = true
		_ = read.controller.SetReadDeadline(pastDeadline)
	}
}

// end reports whether the reading of a body was ended by a stop. If the body is whole,
// the connection may be read without bound again; if not, net/http must not wait for
// the rest.
func (r *bodyRead) end(complete bool) (stopped bool) {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	delete(r.reads.active, r)
	if complete && !r.stopped {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return r.stopped
}
