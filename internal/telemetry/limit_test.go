package telemetry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

// Guards against a server that fills the log with repeated errors. The dropped lines must be
// counted.
func TestServerErrorsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	metrics, err := telemetry.NewMetrics()
	c.Assert(err, qt.IsNil)
	limiter, err := telemetry.NewLimiter(metrics.Meter)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	errorLog := limiter.ServerErrorLog(zerolog.New(&out), "public")
	const repeated = 1000
	for i := range repeated {
		errorLog.Printf("http: Accept error: too many open files %d", i)
	}
	text := strings.TrimSpace(out.String())
	written := strings.Split(text, "\n")
	// The limit applies per second, and a new second may start during the loop.
	c.Assert(len(written) >= telemetry.MaxLinesPerSecond && len(written) <= 2*telemetry.MaxLinesPerSecond, qt.IsTrue, qt.Commentf("%d lines", len(written)))
	var line map[string]any
	c.Assert(json.Unmarshal([]byte(written[0]), &line), qt.IsNil)
	c.Assert(line["message"], qt.Equals, "http server")
	c.Assert(line["server"], qt.Equals, "public")
	c.Assert(line["problem"], qt.Equals, "http: Accept error: too many open files 0")
	response := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(response.Body.String(), qt.Matches, fmt.Sprintf(`(?s).*lagoonlane_log_lines_limited_total\{kind="http server"[^}]*\} %d\n.*`, repeated-len(written)))
}

// Guards against log lines of unlimited length: a panic's text contains the whole stack.
func TestServerErrorIsTruncated(t *testing.T) {
	c := qt.New(t)
	limiter, err := telemetry.NewLimiter(nil)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	limiter.ServerErrorLog(zerolog.New(&out), "public").Print(strings.Repeat("x", 1<<20))
	c.Assert(out.Len() < 8<<10, qt.IsTrue)
}
