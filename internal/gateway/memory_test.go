package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
)

// A body that exceeds the memory limit is refused with a Retry-After before the request runs;
// other requests are served.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	var calls atomic.Int64
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.MaxBufferedBytes = 64 << 10 }, func(request *http.Request, conn net.Conn) {
		calls.Add(1)
		respond(200, "hello")(request, conn)
	})
	for range 3 {
		response, body, err := w.call("POST", "/unsafe/x", strings.Repeat("x", 60<<10))
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		w.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		w.c.Assert(body, qt.Contains, `"outcome":"not-run"`)
		w.c.Assert(calls.Load(), qt.Equals, int64(0))
	}
	for range 20 {
		response, _, err := w.call("POST", "/unsafe/x", strings.Repeat("x", 8<<10))
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, 200)
	}
	w.c.Assert(calls.Load(), qt.Equals, int64(20))
}

// Incomplete bodies are charged only for the bytes received. Otherwise callers could block
// others by announcing long bodies.
func TestIncompleteBodiesAreChargedForReceivedBytes(t *testing.T) {
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.MaxBufferedBytes = 1 << 20 }, respond(200, "hello"))
	address := strings.TrimPrefix(w.front.URL, "http://")
	for range 40 {
		conn, err := net.Dial("tcp", address)
		w.c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: slow\r\nKey: key\r\nContent-Length: 65536\r\n\r\nbegun")
		w.c.Assert(err, qt.IsNil)
	}
	for range 20 {
		response, _, err := w.call("POST", "/unsafe/x", strings.Repeat("x", 8<<10))
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, 200)
	}
}

// A request whose answer exceeds the memory limit may have run: the answer is neither forwarded
// in part nor reported as a refusal.
func TestAnswerWithoutMemoryIsNoAnswer(t *testing.T) {
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.MaxBufferedBytes = 256 << 10 }, respond(200, strings.Repeat("x", 250<<10)))
	response, body, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	w.c.Assert(body, qt.Contains, `"outcome":"unknown"`)
	// The memory of answers is released.
	w = newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.MaxBufferedBytes = 256 << 10 }, respond(200, strings.Repeat("x", 60<<10)))
	for range 20 {
		response, _, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, 200)
	}
}

// An endless rejection is still a rejection: its head states that the request has not run.
func TestEndlessRejectionIsATrueRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := &endlessAnswer{prefix: "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\n\r\n", repeat: "x"}
		w := newVirtualTimeEntry(t, bad.serve)
		response, _, err := w.call("POST", "/unsafe/x", "p")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		bad.assertClosed(w.c)
	})
}
