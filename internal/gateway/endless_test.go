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
	// enough is what a server sends here that would send without end.
	enough = 64 << 20
	// atOnce is when callers must have a final answer in place of bytes at full speed: the
	// objective of their routes.
	atOnce = 300 * time.Millisecond
	// prompt is when callers must have a final answer in place of a drip that another server
	// can make up for: well before their timeout of 2 s.
	prompt = 1500 * time.Millisecond
	// briefTimeout is the timeout of the route "brief".
	briefTimeout = 500 * time.Millisecond
	// dripPause is the time between two repetitions of a drip.
	dripPause = 20 * time.Millisecond
	// usual is the time of an answer of a server that is well.
	usual = 2 * time.Millisecond
)

// endless answers with some bytes, then others without end, at full speed or one in
// each pause. It counts its calls, and the connections that were closed on it.
type endless struct {
	begin, repeat string
	pause         time.Duration
	calls, closed atomic.Int64
}

func (e *endless) serve(request *http.Request, conn net.Conn) {
	e.calls.Add(1)
	fmt.Fprint(conn, strings.ReplaceAll(e.begin, "ID", request.Header.Get("Id")))
	block := strings.Repeat(e.repeat, 1+4096/len(e.repeat))
	if e.pause > 0 {
		block = e.repeat
	}
	for sent := 0; sent < enough; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			e.closed.Add(1)
			return
		}
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
	}
	// Whoever has read it all gets no more, and no end.
	time.Sleep(longPause)
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n"
	lengthHead = plainHead + "Content-Length: 99999999\r\n\r\n"
	chunkHead  = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	strayHead  = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n"
)

// patterns are bytes without end by their name.
func patterns() map[string]*endless {
	return map[string]*endless{
		"status line":     {begin: "HTTP/1.1 200 ", repeat: "O"},
		"header line":     {begin: plainHead + "X: ", repeat: "y"},
		"headers":         {begin: plainHead, repeat: "X: y\r\n"},
		"interim heads":   {repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"no answer":       {repeat: "\x00"},
		"length":          {begin: lengthHead, repeat: "x"},
		"no length":       {begin: plainHead + "\r\n", repeat: "x"},
		"chunks":          {begin: chunkHead, repeat: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"chunk extension": {begin: chunkHead + "1;", repeat: "x"},
		"trailers":        {begin: chunkHead + "1\r\nx\r\n0\r\n", repeat: "X: y\r\n"},
		"stray":           {begin: strayHead + "\r\n", repeat: "x"},
		"stray chunks":    {begin: strayHead + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
		"stray answers":   {repeat: strayHead + "Content-Length: 1\r\n\r\nx"},
		"own failure":     {begin: strings.Replace(plainHead, "200 OK", "500 X", 1) + "\r\n", repeat: "x"},
		"rejection":       {begin: strings.Replace(plainHead, "200 OK", "503 X", 1) + "\r\n", repeat: "x"},
	}
}

// Bytes without end are left at a limit: the caller of a request that may have run once
// gets a final answer at once, and the connection is closed.
func TestEndlessAnswerEndsPromptly(t *testing.T) {
	for name, one := range patterns() {
		inVirtualTime(t, func(t *testing.T) {
			w := newPipeWorld(t, one.serve)
			began := time.Now()
			response, body, err := w.call("POST", "/unsafe/x", "p")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
			w.c.Assert(body, qt.Contains, `"outcome":"unknown"`)
			w.c.Assert(time.Since(began) < atOnce, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			w.c.Assert(one.calls.Load(), qt.Equals, int64(1))
			one.wantClosed(w.c)
		}, name)
	}
}

// promptAfter is when callers must have their final answer.
func promptAfter(pause time.Duration) time.Duration {
	if pause == 0 {
		return atOnce
	}
	return prompt
}

// A request that may be repeated is, at another server, whatever comes without end and
// however slowly: a drip that completes nothing is silence.
func TestEndlessAnswerIsLeftForAnotherServer(t *testing.T) {
	for name, one := range patterns() {
		for _, pause := range []time.Duration{0, dripPause} {
			inVirtualTime(t, func(t *testing.T) {
				bad := &endless{begin: one.begin, repeat: one.repeat, pause: pause}
				var broken atomic.Bool
				either := func(request *http.Request, conn net.Conn) {
					if broken.CompareAndSwap(true, false) {
						bad.serve(request, conn)
						return
					}
					time.Sleep(usual)
					whole(200, "hello")(request, conn)
				}
				w := newPipeWorld(t, either, either)
				for range 8 {
					// The usual answer time becomes known.
					_, _, err := w.call("GET", "/safe/x", "")
					w.c.Assert(err, qt.IsNil)
				}
				broken.Store(true)
				began := time.Now()
				response, body, err := w.call("GET", "/safe/x", "")
				w.c.Assert(err, qt.IsNil)
				w.c.Assert(response.StatusCode, qt.Equals, 200)
				w.c.Assert(body, qt.Equals, "hello")
				w.c.Assert(time.Since(began) < promptAfter(pause), qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				w.c.Assert(bad.calls.Load(), qt.Equals, int64(1))
				bad.wantClosed(w.c)
			}, name, " ", pause)
		}
	}
}

// A drip in place of an answer that nobody else may give lasts until the deadline, not
// longer, and counts against the server.
func TestEndlessDripEndsAtTheDeadline(t *testing.T) {
	for name, one := range patterns() {
		inVirtualTime(t, func(t *testing.T) {
			bad := &endless{begin: one.begin, repeat: one.repeat, pause: dripPause}
			w := newPipeWorld(t, bad.serve)
			began := time.Now()
			response, _, err := w.call("POST", "/brief/x", "p")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(response.StatusCode == 504 || response.StatusCode == 502, qt.IsTrue)
			w.c.Assert(time.Since(began) <= briefTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			bad.wantClosed(w.c)
		}, name)
	}
}

func (e *endless) wantClosed(c *qt.C) { wantOne(c, &e.closed) }

// wantOne checks that a count gets to one, soon.
func wantOne(c *qt.C, count *atomic.Int64) {
	c.Helper()
	for end := time.Now().Add(time.Second); count.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(count.Load(), qt.Equals, int64(1))
}

// A server whose answers have no end is passed over.
func TestServerOfEndlessAnswersIsPassedOver(t *testing.T) {
	bad := patterns()["headers"]
	w := newWorld(t, bad.serve, whole(200, "hello"))
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

// One log line says what came, from where and for which request, and it is counted.
func TestEndlessAnswerIsLoggedAndCounted(t *testing.T) {
	var mu sync.Mutex
	var log bytes.Buffer
	reader := sdkmetric.NewManualReader()
	w := newWorldWith(t, 0, func(_ *world, o *gateway.Options) {
		o.Logger = zerolog.New(zerolog.SyncWriter(writerFunc(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return log.Write(p)
		})))
		o.Meter = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test")
	}, patterns()["headers"].serve)
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
	w.c.Assert(badBytes(w.c, reader, "head"), qt.Equals, int64(1))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// badBytes returns the count of a kind.
func badBytes(c *qt.C, reader sdkmetric.Reader, kind string) int64 {
	var all metricdata.ResourceMetrics
	c.Assert(reader.Collect(context.Background(), &all), qt.IsNil)
	for _, scope := range all.ScopeMetrics {
		for _, one := range scope.Metrics {
			sum, ok := one.Data.(metricdata.Sum[int64])
			if !ok || one.Name != "lagoonlane_gateway_bad_bytes" {
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
