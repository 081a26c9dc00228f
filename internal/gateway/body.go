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

// longPast is a read deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// readBody reads the whole body of a call until its deadline, or until a stop is so far
// that the call can't be taken any more.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, one *call) ([]byte, *Failure) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	limit := one.manifest.Limits.MaxBodyBytes
	tooLarge := refusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge
	}
	var reader io.Reader = r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	deadline := one.deadline
	if stop := g.leaving.Load(); stop != nil && stop.end.Before(deadline) {
		deadline = stop.end
	}
	bound := g.bodies.begin(w, deadline)
	body, err := one.hold.ReadAll(reader, r.ContentLength, 0)
	stopped := bound.end(err == nil)
	var over *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	switch {
	case stopped:
		return nil, unavailable(KindNotReady, staleRetryAfter, "this process is about to stop and the body has not come")
	case err == nil:
		return body, nil
	case errors.As(err, &over):
		return nil, tooLarge
	case errors.As(err, &exhausted):
		return nil, unavailable(KindOverloaded, staleRetryAfter, "this process is short of memory for the body: "+exhausted.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(KindTimeout, http.StatusRequestTimeout, "the body has not come before the deadline")
	case r.Context().Err() != nil:
		return nil, cutOff(r.Context(), false)
	}
	return nil, refusal(KindMalformed, http.StatusBadRequest, "the body could not be read: "+err.Error())
}

// bodyBounds are the bodies that are being read. The zero value is ready to use. It is
// safe for concurrent use.
type bodyBounds struct {
	mu   sync.Mutex
	open map[*bodyBound]struct{}
}

// bodyBound bounds the reading of one body.
type bodyBound struct {
	all     *bodyBounds
	control *http.ResponseController
	stopped bool
}

// begin bounds the reading of a body by a moment of the steady clock. Failures to set a
// read deadline are left to the read: the connection is gone, or can't be bounded.
func (b *bodyBounds) begin(w http.ResponseWriter, deadline time.Time) *bodyBound {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := &bodyBound{all: b, control: http.NewResponseController(w)}
	_ = one.control.SetReadDeadline(time.Now().Add(steady.Until(deadline)))
	if b.open == nil {
		b.open = map[*bodyBound]struct{}{}
	}
	b.open[one] = struct{}{}
	return one
}

// stop ends the reading of all bodies.
func (b *bodyBounds) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for one := range b.open {
		one.stopped = true
		_ = one.control.SetReadDeadline(longPast)
	}
}

// end reports whether the reading of a body was ended by a stop. If the body is whole,
// the connection may be read without bound again; if not, net/http must not wait for
// the rest.
func (one *bodyBound) end(whole bool) (stopped bool) {
	one.all.mu.Lock()
	defer one.all.mu.Unlock()
	delete(one.all.open, one)
	if whole && !one.stopped {
		_ = one.control.SetReadDeadline(time.Time{})
	}
	return one.stopped
}
