package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/steady"
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

// streamOfLength answers with as many events as the prompt names, one each pace.
func streamOfLength(pace time.Duration) connHandler {
	return func(request *http.Request, conn net.Conn) {
		events, _ := strconv.Atoi(request.Header.Get("Prompt"))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		for i := 1; i <= events; i++ {
			time.Sleep(pace)
			text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// Guards against requests that come late in the grace time, are passed on and cut at its end: streams whose callers
// expect fewer tokens than they allow, or whose engines are slower than usual. In calm, each that comes after the signal
// is answered whole in time, or refused as not run.
func TestLateStreamsOfAStopAreWholeOrRefused(t *testing.T) {
	for _, pace := range []time.Duration{5 * time.Millisecond, 15 * time.Millisecond, 40 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const within = 5 * time.Second
			t.Cleanup(steady.Replace(time.Now))
			w := newEngineEntry(t, 8, streamOfLength(pace))
			send := func(host string, tokens int) (*httptest.ResponseRecorder, bool) {
				request := httptest.NewRequestWithContext(t.Context(), "POST", "http://"+host+"/x", strings.NewReader("p"))
				request.Header = http.Header{"Id": {fmt.Sprint("r", lastRequestNumber.Add(1))}, "Tokens": {fmt.Sprint(tokens)}, "Hint": {"5"}, "Parts": {fmt.Sprint(tokens)}}
				return w.serve(request)
			}
			var all sync.WaitGroup
			start := func(i int, check func(response *httptest.ResponseRecorder, cut bool)) {
				all.Go(func() { check(send([]string{"a", "low"}[i%2], 10+37*i%90)) })
			}
			for i := range 20 {
				start(i, func(*httptest.ResponseRecorder, bool) {})
				time.Sleep(200 * time.Millisecond)
			}
			all.Wait()
			w.gateway.BeginShutdown(within)
			end := time.Now().Add(within)
			var whole, refused atomic.Int64
			for i := 0; time.Now().Before(end); i++ {
				start(i, func(response *httptest.ResponseRecorder, cut bool) {
					switch {
					case cut || time.Now().After(end):
						w.c.Errorf("request %d: status %d, cut %t, %v after the end", i, response.Code, cut, time.Since(end))
					case response.Code == http.StatusOK:
						whole.Add(1)
					default:
						w.c.Check(response.Code, qt.Equals, http.StatusServiceUnavailable)
						w.c.Check(response.Body.String(), qt.Contains, `"outcome":"not-run"`)
						refused.Add(1)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
			all.Wait()
			w.c.Check(whole.Load() > 0, qt.IsTrue)
			w.c.Check(refused.Load() > 0, qt.IsTrue)
		})
	}
}

// The same for plain services, some of whose requests take longer than usual.
func TestLatePlainRequestsOfAStopAreWholeOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 5 * time.Second
		var n atomic.Int64
		work := func(request *http.Request, conn net.Conn) {
			time.Sleep([]time.Duration{40, 300, 40, 80, 40, 1800}[n.Add(1)%6] * time.Millisecond)
			respond(200, "x")(request, conn)
		}
		w := newVirtualTimeEntry(t, work, work, work)
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() { _, _, _ = w.call("POST", []string{"/safe/x", "/unsafe/x"}[i%2], "p") })
			w.holder.MarkVerified(time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		all.Wait()
		w.gateway.BeginShutdown(within)
		end := time.Now().Add(within)
		var whole, refused atomic.Int64
		for i := 0; time.Now().Before(end); i++ {
			all.Go(func() {
				response, _, err := w.call("POST", []string{"/safe/x", "/unsafe/x"}[i%2], "p")
				w.c.Check(err, qt.IsNil)
				w.c.Check(time.Now().After(end), qt.IsFalse, qt.Commentf("request %d", i))
				if response.StatusCode == http.StatusOK {
					whole.Add(1)
					return
				}
				w.c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				refused.Add(1)
			})
			w.holder.MarkVerified(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		w.c.Check(whole.Load() > 0, qt.IsTrue)
		w.c.Check(refused.Load() > 0, qt.IsTrue)
	})
}
