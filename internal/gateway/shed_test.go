package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeLateness is a process that is late by what a test says.
type fakeLateness struct {
	delay      atomic.Int64
	overloaded atomic.Bool
}

func (l *fakeLateness) Delay() time.Duration { return time.Duration(l.delay.Load()) }

func (l *fakeLateness) Overloaded() bool { return l.overloaded.Load() }

// TestBurstOnASmallMachine plays an entry that a burst makes late: the lower tier is
// refused first, with the promise that nothing has run, and told to go elsewhere.
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

// TestNothingIsSentForCallersThatHaveLeft plays a process so late that the caller of a
// stream must have left: its engine would work in vain.
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
