package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/cell"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// TestLatencyCountsFromScheduledTime sends requests to a slow server that serves one at
// a time. The latencies of later requests must include the time that they waited.
func TestLatencyCountsFromScheduledTime(t *testing.T) {
	c := qt.New(t)
	e := engine.New(engine.Options{Versions: []string{"v1"}, MaxBatch: 1, Speed: 4})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	defer func() {
		server.Close()
		stop()
		<-done
	}()
	const requests = 10
	var arrivals []cell.Arrival
	for i := range requests {
		arrivals = append(arrivals, cell.Arrival{
			At: time.Duration(i) * time.Millisecond, ID: string(rune('a' + i)), PrefixIndex: -1,
			UniqueTokens: 10, OutputTokens: 10, Deadline: time.Minute,
		})
	}
	result := Run(t.Context(), Options{
		Target: Target{
			Entries: []string{server.URL}, Model: "m", Tiers: []string{"t0"}, Accounts: []Account{{Name: "a", Key: "k"}},
		},
		Arrivals: arrivals, Window: time.Second, Progress: io.Discard, HTTP: http.DefaultClient,
	})
	c.Assert(result.Offered, qt.Equals, requests)
	c.Assert(result.Tiers[0].Good, qt.Equals, requests)
	// The ten answers are generated one after the other, so the last waits for nine.
	tier := result.Tiers[0]
	c.Assert(tier.Total.Max > 5*tier.Total.P50/4, qt.IsTrue, qt.Commentf("%+v", tier.Total))
	path := filepath.Join(c.TempDir(), "plot.svg")
	c.Assert(result.WritePlot(path, "test"), qt.IsNil)
	data, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Contains, "<svg")
}
