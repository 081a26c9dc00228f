package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// neverAnswer reads requests and never answers.
func neverAnswer(*http.Request, net.Conn) {}

// A repeatable request at a server that hangs is answered by a healthy one.
func TestSafeRequestMovesFromASilentServer(t *testing.T) {
	w := newTestEntry(t, neverAnswer, respond(200, "hello"))
	for range 8 {
		// Lets the gateway measure the usual answer time of the healthy server.
		_, _, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
	}
	start := time.Now()
	for range 4 {
		response, body, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, 200)
		w.c.Assert(body, qt.Equals, "hello")
	}
	w.c.Assert(time.Since(start) < 1500*time.Millisecond, qt.IsTrue)
}

// A request that may run only once must wait for a late answer rather than be sent to another
// server.
func TestUnsafeRequestWaitsForASilentServer(t *testing.T) {
	var calls atomic.Int64
	slow := func(request *http.Request, conn net.Conn) {
		calls.Add(1)
		time.Sleep(1200 * time.Millisecond)
		respond(200, "late")(request, conn)
	}
	w := newTestEntry(t, slow, slow)
	response, body, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, 200)
	w.c.Assert(body, qt.Equals, "late")
	w.c.Assert(calls.Load(), qt.Equals, int64(1))
}

// A stream is resumed on another server if its engine stops sending while the connection stays
// open.
func TestStalledStreamIsResumedOnAnotherServer(t *testing.T) {
	for _, before := range []int{0, 2} {
		var calls atomic.Int64
		s := func(request *http.Request, conn net.Conn) {
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			if calls.Add(1) > 1 {
				respondEvents(request, conn, last+1, 3, false)
				return
			}
			if before > 0 {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
			}
			for i := 1; i <= before; i++ {
				text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
			}
		}
		w := newTestEntry(t, s, s)
		start := time.Now()
		_, body, err := w.call("POST", "/resumable/x", "p")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(body, qt.Equals, threeEvents)
		w.c.Assert(calls.Load(), qt.Equals, int64(2))
		w.c.Assert(time.Since(start) < 1500*time.Millisecond, qt.IsTrue)
	}
}

// Requests that may run only once time out at a server that hangs; after a few of them, the
// others go to the healthy server.
func TestSilentServerIsAvoided(t *testing.T) {
	w := newTestEntry(t, neverAnswer, respond(200, "hello"))
	failed := 0
	for range 12 {
		response, _, err := w.call("POST", "/brief/x", "p")
		w.c.Assert(err, qt.IsNil)
		if response.StatusCode != 200 {
			failed++
		}
	}
	w.c.Assert(failed <= 4, qt.IsTrue, qt.Commentf("%d of 12 failed", failed))
}
