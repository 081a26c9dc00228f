package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

// respondWith answers with status 200 and a further header line.
func respondWith(header string) connHandler {
	return func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"), header)
	}
}

// An answer with a malformed rate limit must be delivered unchanged, with a bounded number of log lines.
func TestAnswerWithMalformedRateLimitIsDelivered(t *testing.T) {
	tracker := backpressure.New(backpressure.Options{ID: "entry", Now: time.Now, Logger: zerolog.Nop()})
	w := newTestEntryWithOptions(t, 0, func(w *testEntry, o *gateway.Options) {
		o.Backpressure = tracker
		limiter, err := telemetry.NewLimiter(w.metrics.Meter)
		w.c.Assert(err, qt.IsNil)
		o.Limiter = limiter
	}, respondWith("Rate-Limit: some"))
	for range 200 {
		request, err := http.NewRequest(http.MethodGet, w.front.URL+"/safe/x", nil)
		w.c.Assert(err, qt.IsNil)
		request.Header.Set("Key", "key")
		request.Header.Set("Id", fmt.Sprint("r", lastRequestNumber.Add(1)))
		response, err := w.client.Do(request)
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		w.c.Assert(response.Header.Get("Rate-Limit"), qt.Equals, "some")
		response.Body.Close()
	}
	w.c.Assert(tracker.Limited(), qt.HasLen, 0)
	lines := len(w.log.withMessage("malformed header of a backend server"))
	w.c.Assert(lines > 0 && lines < 100, qt.IsTrue, qt.Commentf("%d lines", lines))
}
