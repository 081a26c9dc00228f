package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
)

// Guards against a request that counts once for each server that it can't reach, which raised the retry budget while servers
// were away (BUDGET).
func TestRequestToUnreachableServersCountsOnce(t *testing.T) {
	const (
		requests = 60
		ratio    = 0.5
	)
	var arrivals atomic.Int64
	reject := func(request *http.Request, conn net.Conn) {
		arrivals.Add(1)
		respond(http.StatusServiceUnavailable, "", "Not-Run: 1\r\n")(request, conn)
	}
	w := newTestEntryWithOptions(t, 0, func(_ *testEntry, o *gateway.Options) { o.Bounds.Retries.Ratio, o.Bounds.Retries.Slack = ratio, 0 }, reject, reject, reject)
	for i := range requests {
		// New servers aren't known to be away.
		var away []string
		for j := range 3 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(listener.Close(), qt.IsNil)
			away = append(away, fmt.Sprint("away-", i, "-", j))
			w.directory.Put(fleet.Server{ID: away[j], Service: "plain", Address: listener.Addr().String(), Slots: 4})
		}
		_, _, err := w.call("POST", "/unsafe/x", "p")
		w.c.Assert(err, qt.IsNil)
		for _, id := range away {
			w.directory.Put(fleet.Server{ID: id, Service: "plain", Address: "127.0.0.1:1", State: fleet.StateDraining})
		}
	}
	w.c.Assert(arrivals.Load() >= requests/2, qt.IsTrue, qt.Commentf("%d arrivals", arrivals.Load()))
	w.c.Assert(float64(arrivals.Load()) <= requests*(1+ratio), qt.IsTrue, qt.Commentf("%d arrivals of %d requests", arrivals.Load(), requests))
}
