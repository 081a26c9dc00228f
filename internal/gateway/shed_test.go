package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeLateness reports the scheduling delay that a test sets.
type fakeLateness struct {
	delay      atomic.Int64
	overloaded atomic.Bool
}

func (l *fakeLateness) Delay() time.Duration { return time.Duration(l.delay.Load()) }

func (l *fakeLateness) Overloaded() bool { return l.overloaded.Load() }

// An entry with a high scheduling delay, as after a burst on a small machine, sheds the lower
// tier first. The refusals state that the request has not run, and close the connection so that
// the caller goes to another entry.
func TestBurstOnASmallMachine(t *testing.T) {
	var sends atomic.Int64
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		sends.Add(1)
		respond(200, "hello")(request, conn)
	})
	for _, step := range []struct {
		delay     time.Duration
		high, low int
	}{
		{0, 200, 200},
		{50 * time.Millisecond, 200, 200},
		{120 * time.Millisecond, 200, 503},
		{time.Second, 503, 503},
		{0, 200, 200},
	} {
		w.lateness.delay.Store(int64(step.delay))
		before, served := sends.Load(), int64(0)
		for path, status := range map[string]int{"/unsafe/x": step.high, "/low/x": step.low} {
			response, _, err := w.call("POST", path, "payload")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode, qt.Equals, status, qt.Commentf("%s %v", path, step.delay))
			if status == 200 {
				served++
				continue
			}
			w.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			w.c.Assert(response.Close, qt.IsTrue)
		}
		w.c.Assert(sends.Load()-before, qt.Equals, served)
	}
}

func TestOverloadedEntryIsNotReady(t *testing.T) {
	w := newTestEntry(t, respond(200, "hello"))
	w.c.Assert(w.gateway.Ready(), qt.IsTrue)
	w.lateness.overloaded.Store(true)
	w.c.Assert(w.gateway.Ready(), qt.IsFalse)
	w.lateness.overloaded.Store(false)
	w.c.Assert(w.gateway.Ready(), qt.IsTrue)
}

// If the scheduling delay is so high that the caller of a stream has probably given up, the
// request must not be sent: the engine's work would be wasted.
func TestNothingIsSentForCallersThatHaveLeft(t *testing.T) {
	var sends atomic.Int64
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		sends.Add(1)
		respondEvents(request, conn, 1, 3, false)
	})
	response, _, err := w.call("POST", "/impatient/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	w.lateness.delay.Store(int64(300 * time.Millisecond))
	response, _, err = w.call("POST", "/impatient/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(sends.Load(), qt.Equals, int64(1))
}
