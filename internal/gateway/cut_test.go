package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// logLines collects the log lines of a gateway.
type logLines struct {
	mu      sync.Mutex
	entries []map[string]any
}

func (l *logLines) Write(p []byte) (int, error) {
	var line map[string]any
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, line)
	return len(p), nil
}

// withMessage returns the lines with the given message.
func (l *logLines) withMessage(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.entries {
		if line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// waitForLine waits for a line with the given message and checks that there is only one.
func (w *testEntry) waitForLine(message string) map[string]any {
	w.c.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if found := w.log.withMessage(message); len(found) > 0 {
			w.c.Assert(found, qt.HasLen, 1)
			return found[0]
		}
	}
	w.c.Fatalf("no line %q within 5 s", message)
	return nil
}

// cutCounts returns the cut-answer counters of the metrics page by cause.
func (w *testEntry) cutCounts() map[string]string {
	page := httptest.NewRecorder()
	w.metrics.Handler.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	w.c.Assert(page.Code, qt.Equals, http.StatusOK)
	counts := map[string]string{}
	scanner := bufio.NewScanner(bytes.NewReader(page.Body.Bytes()))
	for scanner.Scan() {
		if labels, found := strings.CutPrefix(scanner.Text(), "lagoonlane_gateway_answers_cut_total{"); found {
			_, cause, _ := strings.Cut(labels, `cause="`)
			cause, _, _ = strings.Cut(cause, `"`)
			counts[cause] = labels[strings.LastIndex(labels, " ")+1:]
		}
	}
	return counts
}

// stallAfterTwoEvents sends two events of a stream, then nothing until the gateway closes the
// connection.
func stallAfterTwoEvents(started chan<- struct{}) connHandler {
	return func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		for i := 1; i <= 2; i++ {
			text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		if started != nil {
			started <- struct{}{}
		}
		var buffer [1]byte
		_, _ = conn.Read(buffer[:])
	}
}

// startRequest sends a request, reads the head of its answer, and returns a function that closes
// the connection.
func (w *testEntry) startRequest(path string) (disconnect context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+path, strings.NewReader("p"))
	w.c.Assert(err, qt.IsNil)
	request.Header.Set("Id", "cut-short")
	request.Header.Set("Key", "key")
	response, err := http.DefaultClient.Do(request)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { cancel(); response.Body.Close() })
	return cancel
}

func TestCutByTheCaller(t *testing.T) {
	w := newTestEntry(t, stallAfterTwoEvents(nil))
	w.startRequest("/stream/x")()
	line := w.waitForLine("request")
	w.c.Assert(line["cut_by"], qt.Equals, string(gateway.CutCallerLeft))
	w.c.Assert(line["outcome"], qt.Equals, string(gateway.KindCallerLeft))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"caller-left": "1"})
	cut, _ := w.requests.CutRequests()
	w.c.Assert(cut, qt.Equals, 0)
}

// Requests that the end of a process cuts must not be logged as disconnected by the caller.
func TestCutByTheEndOfTheGraceTime(t *testing.T) {
	w := newTestEntry(t, stallAfterTwoEvents(nil))
	w.startRequest("/stream/x")
	w.c.Assert(w.requests.Running(), qt.Equals, int64(1))
	w.cancelRequests(&transport.StoppedError{})
	line := w.waitForLine("request")
	w.c.Assert(line["cut_by"], qt.Equals, string(gateway.CutStopped))
	w.c.Assert(line["outcome"], qt.Equals, string(gateway.KindStopped))
	w.c.Assert(line["cut"], qt.Equals, true)
	w.c.Assert(line["last_event"], qt.Equals, "2")
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"stopped": "1"})
	w.requests.WaitIdle(t.Context())
	cut, ids := w.requests.CutRequests()
	w.c.Assert(cut, qt.Equals, 1)
	w.c.Assert(ids, qt.DeepEquals, []string{"cut-short"})
}

// At the end of the grace time, the connection of a request that was sent but not answered was
// closed without an answer.
func TestSentRequestIsAnsweredAtTheEndOfTheGraceTime(t *testing.T) {
	started := make(chan struct{}, 1)
	w := newTestEntry(t, func(*http.Request, net.Conn) { started <- struct{}{} })
	go func() {
		<-started
		w.cancelRequests(&transport.StoppedError{})
	}()
	response, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	w.c.Assert(response.Close, qt.IsTrue)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutStopped))
	w.requests.WaitIdle(t.Context())
	cut, _ := w.requests.CutRequests()
	w.c.Assert(cut, qt.Equals, 1)
}

func TestCutByClosingAConnectionAsIdle(t *testing.T) {
	w := newTestEntry(t, stallAfterTwoEvents(nil))
	w.startRequest("/stream/x")
	w.cancelRequests(&transport.ClosedIdleError{})
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutClosedIdle))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"closed-idle": "1"})
}

// The first server stalls in the middle of a stream and the second one rejects the request: the
// cause is the decision of the stall watch.
func TestCutByTheStallWatch(t *testing.T) {
	started := make(chan struct{}, 1)
	var first sync.Once
	s := func(request *http.Request, conn net.Conn) {
		answer := respond(http.StatusServiceUnavailable, "", "Not-Run: 1\r\n")
		first.Do(func() { answer = stallAfterTwoEvents(started) })
		answer(request, conn)
	}
	w := newTestEntry(t, s, s)
	_, _, err := w.call("POST", "/resumable/x", "p")
	w.c.Assert(err, qt.IsNotNil)
	line := w.waitForLine("request")
	w.c.Assert(line["cut_by"], qt.Equals, string(gateway.CutStalled))
	w.c.Assert(line["no_retry"], qt.Equals, "the service has no backend server that can be tried")
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"stalled": "1"})
	stall := w.waitForLine("stall")
	w.c.Assert(stall["outcome"], qt.Equals, "moved")
	w.c.Assert(stall["events"], qt.Equals, 2.0)
	w.c.Assert(stall["limit_ms"], qt.Equals, 500.0)
	w.c.Assert(stall["pause_ms"].(float64) >= 499, qt.IsTrue, qt.Commentf("%v", stall["pause_ms"]))
	w.c.Assert(stall["backend_server"], qt.Not(qt.Equals), line["backend_server"], qt.Commentf("the last send went to the other server"))
}

// The log line of a resumed stream states the last event and what ended the previous send.
func TestRetryOfAStreamIsLogged(t *testing.T) {
	var first sync.Once
	s := func(request *http.Request, conn net.Conn) {
		answer := func(request *http.Request, conn net.Conn) { respondEvents(request, conn, 3, 3, false) }
		first.Do(func() {
			answer = func(request *http.Request, conn net.Conn) { respondEvents(request, conn, 1, 2, true) }
		})
		answer(request, conn)
	}
	w := newTestEntry(t, s, s)
	_, body, err := w.call("POST", "/resumable/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(body, qt.Equals, threeEvents)
	line := w.waitForLine("repeat")
	w.c.Assert(line["from_event"], qt.Equals, "2")
	w.c.Assert(line["broken_by"], qt.Equals, string(gateway.CutBackendServer))
	w.c.Assert(line["before"], qt.Not(qt.Equals), line["backend_server"])
	w.c.Assert(w.cutCounts(), qt.HasLen, 0)
}

// The log line of a request refused during a shutdown states the remaining time.
func TestRefusalDuringShutdownLogsTheTimeLeft(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	w.gateway.BeginShutdown(time.Second)
	response, _, err := w.call("GET", "/safe/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	line := w.waitForLine("request")
	w.c.Assert(line["reason"], qt.Equals, "this process is about to stop")
	left := line["stop_in_ms"].(float64)
	w.c.Assert(left > 0 && left <= 1000, qt.IsTrue, qt.Commentf("%v", left))
	w.c.Assert(line["cut_by"], qt.IsNil)
}

// sendIncompleteBody sends a request whose body is never completed, and returns its answer.
func (w *testEntry) sendIncompleteBody(path string) (*http.Response, error) {
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { conn.Close() })
	w.c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: slow\r\nKey: key\r\nContent-Length: 10\r\n\r\n123", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		w.c.Cleanup(func() { response.Body.Close() })
	}
	return response, err
}

// A slow body held its request past the route's timeout without an answer.
func TestSlowBodyIsAnsweredAtTheDeadline(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	start := time.Now()
	response, err := w.sendIncompleteBody("/short/x")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	w.c.Assert(response.Close, qt.IsTrue)
	took := time.Since(start)
	w.c.Assert(took > 100*time.Millisecond && took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// A slow body delayed a shutdown to its end, and its connection was closed without an answer.
func TestSlowBodyDoesNotHoldAStop(t *testing.T) {
	for name, shutdownFirst := range map[string]bool{"before the stop": false, "during the stop": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestEntry(t, respond(200, "x"))
			beginShutdown := func() { w.gateway.BeginShutdown(1700 * time.Millisecond) }
			if shutdownFirst {
				beginShutdown()
			} else {
				time.AfterFunc(100*time.Millisecond, beginShutdown)
			}
			response, err := w.sendIncompleteBody("/safe/x")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			w.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			w.c.Assert(response.Close, qt.IsTrue)
			w.requests.WaitIdle(t.Context())
		})
	}
}

// The read deadline of a body must not end the wait for the next request on its connection.
func TestConnectionOutlivesTheBoundOnABody(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	w.c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprint(conn, "POST /short/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r\r\nKey: key\r\nContent-Length: 1\r\n\r\nx")
		response, err := http.ReadResponse(reader, nil)
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		w.c.Assert(err, qt.IsNil)
		// Longer than the route's timeout.
		time.Sleep(400 * time.Millisecond)
	}
}

// The read deadline of a body must not end the wait for the answer either.
func TestBoundOnABodyEndsWithIt(t *testing.T) {
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		time.Sleep(700 * time.Millisecond)
		respond(200, "x")(request, conn)
	})
	w.gateway.BeginShutdown(2 * time.Second)
	response, body, err := w.call("POST", "/safe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	w.c.Assert(body, qt.Equals, "x")
}

// The answer to a request from before the shutdown didn't announce that the connection closes.
func TestAnswerDuringShutdownClosesItsConnection(t *testing.T) {
	var w *testEntry
	w = newTestEntry(t, func(request *http.Request, conn net.Conn) {
		w.gateway.BeginShutdown(5 * time.Second)
		respond(200, "x")(request, conn)
	})
	response, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	w.c.Assert(response.Close, qt.IsTrue)
}

func TestCutByTheBackendServer(t *testing.T) {
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) { respondEvents(request, conn, 1, 2, true) })
	_, _, err := w.call("POST", "/stream/x", "p")
	w.c.Assert(err, qt.IsNotNil)
	line := w.waitForLine("request")
	w.c.Assert(line["cut_by"], qt.Equals, string(gateway.CutBackendServer))
	w.c.Assert(line["no_retry"], qt.Equals, "the request may run once only")
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"backend-server": "1"})
}

func TestCutByABadAnswer(t *testing.T) {
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", request.Header.Get("Id"))
	})
	_, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutBadAnswer))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"bad-answer": "1"})
}

// Bytes that don't form an answer are the backend server's fault, but not a broken connection.
func TestCutByBytesThatAreNoAnswer(t *testing.T) {
	w := newTestEntry(t, func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, "no answer\r\n\r\n") })
	_, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutBadAnswer))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"bad-answer": "1"})
}

// An answer that exceeds the memory limit of this process is not the backend server's fault.
func TestCutByMemory(t *testing.T) {
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.MaxBufferedBytes = 256 << 10 }, respond(200, strings.Repeat("x", 250<<10)))
	_, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutMemory))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"memory": "1"})
}

func TestCutByTheDeadline(t *testing.T) {
	w := newTestEntry(t, neverAnswer)
	response, _, err := w.call("POST", "/short/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.Equals, string(gateway.CutDeadline))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"deadline": "1"})
}

// A request whose handler panics must still have a log line.
func TestCutByACrash(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	w.front.Config.ErrorLog = log.New(io.Discard, "", 0)
	request, err := http.NewRequest(http.MethodPost, w.front.URL+"/unsafe/x", strings.NewReader("p"))
	w.c.Assert(err, qt.IsNil)
	for name, value := range map[string]string{"Id": "crash", "Key": "key", "Crash": "1"} {
		request.Header.Set(name, value)
	}
	_, err = http.DefaultClient.Do(request)
	w.c.Assert(err, qt.IsNotNil)
	line := w.waitForLine("request")
	w.c.Assert(line["request_id"], qt.Equals, "crash")
	w.c.Assert(line["cut_by"], qt.Equals, string(gateway.CutCrashed))
	w.c.Assert(w.cutCounts(), qt.DeepEquals, map[string]string{"crashed": "1"})
	w.requests.WaitIdle(t.Context())
}

// Complete answers and refusals aren't counted as cut.
func TestAnswersAndRefusalsAreNotCut(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	_, _, err := w.call("GET", "/safe/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.waitForLine("request")["cut_by"], qt.IsNil)
	_, _, err = w.call("GET", "/nowhere/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.cutCounts(), qt.HasLen, 0)
}
