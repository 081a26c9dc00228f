package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
)

const (
	// endlessBytes is the number of bytes that stand for an endless answer.
	endlessBytes = 64 << 20
	// fullSpeedLimit is the maximum time to a final answer if the bytes come at full speed: the
	// objective of the routes.
	fullSpeedLimit = 300 * time.Millisecond
	// dripLimit is the maximum time to a final answer if the bytes drip slowly and another
	// server can answer: well below the timeout of 2 s.
	dripLimit = 1500 * time.Millisecond
	// briefTimeout is the timeout of the route "brief".
	briefTimeout = 500 * time.Millisecond
	// dripPause is the time between two repetitions of a drip.
	dripPause = 20 * time.Millisecond
	// usualAnswerTime is the answer time of a healthy server.
	usualAnswerTime = 2 * time.Millisecond
)

// endlessAnswer sends a prefix, then a repeated text without end, at full speed or once per
// pause. It counts its calls, and the connections that were closed on it.
type endlessAnswer struct {
	prefix, repeat string
	pause          time.Duration
	calls, closed  atomic.Int64
}

func (e *endlessAnswer) serve(request *http.Request, conn net.Conn) {
	e.calls.Add(1)
	fmt.Fprint(conn, strings.ReplaceAll(e.prefix, "ID", request.Header.Get("Id")))
	block := strings.Repeat(e.repeat, 1+4096/len(e.repeat))
	if e.pause > 0 {
		block = e.repeat
	}
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			e.closed.Add(1)
			return
		}
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
	}
	// Keeps the connection open without sending more.
	time.Sleep(longPause)
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n"
	lengthHead = plainHead + "Content-Length: 99999999\r\n\r\n"
	chunkHead  = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	strayHead  = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n"
)

// endlessAnswers returns endless answers by name.
func endlessAnswers() map[string]*endlessAnswer {
	return map[string]*endlessAnswer{
		"status line":     {prefix: "HTTP/1.1 200 ", repeat: "O"},
		"header line":     {prefix: plainHead + "X: ", repeat: "y"},
		"headers":         {prefix: plainHead, repeat: "X: y\r\n"},
		"interim heads":   {repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"no answer":       {repeat: "\x00"},
		"length":          {prefix: lengthHead, repeat: "x"},
		"no length":       {prefix: plainHead + "\r\n", repeat: "x"},
		"chunks":          {prefix: chunkHead, repeat: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"chunk extension": {prefix: chunkHead + "1;", repeat: "x"},
		"trailers":        {prefix: chunkHead + "1\r\nx\r\n0\r\n", repeat: "X: y\r\n"},
		"stray":           {prefix: strayHead + "\r\n", repeat: "x"},
		"stray chunks":    {prefix: strayHead + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
		"stray answers":   {repeat: strayHead + "Content-Length: 1\r\n\r\nx"},
		"own failure":     {prefix: strings.Replace(plainHead, "200 OK", "500 X", 1) + "\r\n", repeat: "x"},
		"rejection":       {prefix: strings.Replace(plainHead, "200 OK", "503 X", 1) + "\r\n", repeat: "x"},
	}
}

// An endless answer is abandoned at a limit: the caller of a request that may run only once gets
// a final answer at once, and the connection is closed.
func TestEndlessAnswerEndsPromptly(t *testing.T) {
	for name, pattern := range endlessAnswers() {
		runInVirtualTime(t, func(t *testing.T) {
			w := newVirtualTimeEntry(t, pattern.serve)
			start := time.Now()
			response, body, err := w.call("POST", "/unsafe/x", "p")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
			w.c.Assert(body, qt.Contains, `"outcome":"unknown"`)
			w.c.Assert(time.Since(start) < fullSpeedLimit, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			w.c.Assert(pattern.calls.Load(), qt.Equals, int64(1))
			pattern.assertClosed(w.c)
		}, name)
	}
}

// responseLimit returns the maximum time to the final answer.
func responseLimit(pause time.Duration) time.Duration {
	if pause == 0 {
		return fullSpeedLimit
	}
	return dripLimit
}

// A repeatable request is retried on another server for every kind of endless answer, at any
// speed: slow bytes that complete nothing count as silence.
func TestEndlessAnswerIsLeftForAnotherServer(t *testing.T) {
	for name, pattern := range endlessAnswers() {
		for _, pause := range []time.Duration{0, dripPause} {
			runInVirtualTime(t, func(t *testing.T) {
				bad := &endlessAnswer{prefix: pattern.prefix, repeat: pattern.repeat, pause: pause}
				var broken atomic.Bool
				handler := func(request *http.Request, conn net.Conn) {
					if broken.CompareAndSwap(true, false) {
						bad.serve(request, conn)
						return
					}
					time.Sleep(usualAnswerTime)
					respond(200, "hello")(request, conn)
				}
				w := newVirtualTimeEntry(t, handler, handler)
				for range 8 {
					// Lets the gateway measure the usual answer time.
					_, _, err := w.call("GET", "/safe/x", "")
					w.c.Assert(err, qt.IsNil)
				}
				broken.Store(true)
				start := time.Now()
				response, body, err := w.call("GET", "/safe/x", "")
				w.c.Assert(err, qt.IsNil)
				w.c.Assert(response.StatusCode, qt.Equals, 200)
				w.c.Assert(body, qt.Equals, "hello")
				w.c.Assert(time.Since(start) < responseLimit(pause), qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				w.c.Assert(bad.calls.Load(), qt.Equals, int64(1))
				bad.assertClosed(w.c)
			}, name, " ", pause)
		}
	}
}

// A slow endless answer to a request that can't be retried lasts until the deadline at most.
func TestEndlessDripEndsAtTheDeadline(t *testing.T) {
	for name, pattern := range endlessAnswers() {
		runInVirtualTime(t, func(t *testing.T) {
			bad := &endlessAnswer{prefix: pattern.prefix, repeat: pattern.repeat, pause: dripPause}
			w := newVirtualTimeEntry(t, bad.serve)
			start := time.Now()
			response, _, err := w.call("POST", "/brief/x", "p")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode == 504 || response.StatusCode == 502, qt.IsTrue)
			w.c.Assert(time.Since(start) <= briefTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			bad.assertClosed(w.c)
		}, name)
	}
}

func (e *endlessAnswer) assertClosed(c *qt.C) { assertReachesOne(c, &e.closed) }

// assertReachesOne checks that a count becomes 1 within a second.
func assertReachesOne(c *qt.C, count *atomic.Int64) {
	c.Helper()
	for end := time.Now().Add(time.Second); count.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(count.Load(), qt.Equals, int64(1))
}

// A server that sends endless answers is avoided.
func TestServerOfEndlessAnswersIsPassedOver(t *testing.T) {
	bad := endlessAnswers()["headers"]
	w := newTestEntry(t, bad.serve, respond(200, "hello"))
	failed := 0
	for range 12 {
		response, _, err := w.call("POST", "/unsafe/x", "p")
		w.c.Assert(err, qt.IsNil)
		if response.StatusCode != 200 {
			failed++
		}
	}
	w.c.Assert(failed <= 4, qt.IsTrue, qt.Commentf("%d of 12 failed", failed))
}

// One log line states what was received, from which server and for which request, and the metric
// counts it.
func TestEndlessAnswerIsLoggedAndCounted(t *testing.T) {
	var mu sync.Mutex
	var log bytes.Buffer
	reader := sdkmetric.NewManualReader()
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) {
		o.Logger = zerolog.New(zerolog.SyncWriter(writerFunc(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return log.Write(p)
		})))
		o.Meter = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test")
	}, endlessAnswers()["headers"].serve)
	_, _, err := w.call("POST", "/unsafe/x", "p")
	w.c.Assert(err, qt.IsNil)
	mu.Lock()
	defer mu.Unlock()
	var lines []string
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "bad_bytes") {
			lines = append(lines, line)
		}
	}
	w.c.Assert(lines, qt.HasLen, 1)
	for _, part := range []string{`"bad_bytes":"head"`, `"read":16384`, `"limit":16384`, `"backend_server":"server-0"`, `"request_id":"r`} {
		w.c.Assert(lines[0], qt.Contains, part)
	}
	w.c.Assert(badBytesCount(w.c, reader, "head"), qt.Equals, int64(1))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// badBytesCount returns the counter for a kind of bad bytes.
func badBytesCount(c *qt.C, reader sdkmetric.Reader, kind string) int64 {
	var all metricdata.ResourceMetrics
	c.Assert(reader.Collect(context.Background(), &all), qt.IsNil)
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			sum, ok := m.Data.(metricdata.Sum[int64])
			if !ok || m.Name != "lagoonlane_gateway_bad_bytes" {
				continue
			}
			for _, point := range sum.DataPoints {
				if value, _ := point.Attributes.Value(attribute.Key("kind")); value.AsString() == kind {
					return point.Value
				}
			}
		}
	}
	return 0
}
