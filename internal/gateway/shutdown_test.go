package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Connections whose requests came before the shutdown were kept open and later closed as idle
// while the next request was arriving.
func TestAnswersDuringShutdownCloseTheirConnection(t *testing.T) {
	for path, answer := range map[string]connHandler{
		"/unsafe/x": respond(http.StatusOK, "hello"),
		"/stream/x": func(request *http.Request, conn net.Conn) { respondEvents(request, conn, 1, 3, false) },
		"/safe/x":   respond(http.StatusServiceUnavailable, "busy", "Not-Run: 1\r\n"),
	} {
		t.Run(path, func(t *testing.T) {
			var w *testEntry
			w = newTestEntry(t, func(request *http.Request, conn net.Conn) {
				w.gateway.BeginShutdown(time.Minute)
				answer(request, conn)
			})
			response, _, err := w.call("POST", path, "p")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.Close, qt.IsTrue)
		})
	}
}

// Stopping a sidecar while a stream holds its slot must not end the stream, as the engine
// continues.
func TestRunningStreamOutlivesItsSidecar(t *testing.T) {
	for _, how := range []string{"drain", "end"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var w *engineEntry
				w = newEngineEntry(t, 2, func(request *http.Request, conn net.Conn) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
					for i := 1; i <= 3; i++ {
						text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
						fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
						for _, e := range w.engines {
							e.queue.Drain(time.Now())
						}
						if how == "end" {
							w.leases.Close()
						}
						time.Sleep(300 * time.Millisecond)
					}
					fmt.Fprint(conn, "0\r\n\r\n")
				})
				response, cut := w.call()
				w.c.Assert(cut, qt.IsFalse)
				w.c.Assert(response.Body.String(), qt.Equals, threeEvents)
				w.c.Assert(w.totalSends(), qt.Equals, int64(1))
				w.assertNoTickets(0)
			})
		})
	}
}
