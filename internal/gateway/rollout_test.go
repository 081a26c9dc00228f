package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// newRolloutEntry returns an entry with one server of version v1 and one of v2, and a roll-out
// controller. arrivals counts the requests at each server.
func newRolloutEntry(t *testing.T, target connHandler) (w *testEntry, controller *rollout.Controller, arrivals *[2]atomic.Int64) {
	arrivals = &[2]atomic.Int64{}
	counted := func(i int, s connHandler) connHandler {
		return func(request *http.Request, conn net.Conn) {
			arrivals[i].Add(1)
			s(request, conn)
		}
	}
	w = newTestEntryWithOptions(t, 0, func(w *testEntry, options *gateway.Options) {
		var err error
		controller, err = rollout.New(rollout.Options{
			ID: "entry", Bounds: rollout.Bounds{Share: 0.1, Slack: 10}, Log: nil, Ready: w.directory.Ready, Registered: w.directory.Registered,
			Membership: func() rollout.Membership { return rollout.Membership{Entries: 1, HasQuorum: true} }, Logger: zerolog.Nop(),
		})
		w.c.Assert(err, qt.IsNil)
		options.Rollouts = controller
	}, counted(0, respond(200, "old")), counted(1, target))
	versions := map[string]string{"server-0": "v1", "server-1": "v2"}
	for _, server := range w.directory.Ready("plain", time.Now()) {
		server.Version = versions[server.ID]
		w.directory.Put(server)
	}
	return w, controller, arrivals
}

// Guards against sending all requests, or retries, to a version on trial.
func TestVersionOnTrialGetsItsShareOnly(t *testing.T) {
	w, controller, arrivals := newRolloutEntry(t, respond(500, "bad"))
	controller.MarkOrdersRead(time.Now())
	controller.SetOrder(rollout.Order{Service: "plain", Target: "v2", Duration: time.Minute, ID: 1})
	for range 200 {
		response, body, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
		// A request that fails on the version on trial is retried on a server of the proven
		// version.
		w.c.Assert(response.StatusCode, qt.Equals, 200)
		w.c.Assert(body, qt.Equals, "old")
	}
	w.c.Assert(arrivals[0].Load(), qt.Equals, int64(200))
	trials := arrivals[1].Load()
	w.c.Assert(trials >= 8 && trials <= 14, qt.IsTrue, qt.Commentf("%d trials", trials))
}

// Guards against sending requests to a version that another entry contained.
func TestContainedVersionGetsNothing(t *testing.T) {
	w, controller, arrivals := newRolloutEntry(t, respond(200, "new"))
	controller.MarkOrdersRead(time.Now())
	controller.SetOrder(rollout.Order{Service: "plain", Target: "v2", Duration: time.Minute, ID: 1})
	controller.HandleReports("other", "boot", []rollout.Report{{Service: "plain", Target: "v2", Order: 1, DurationMS: 60_000, Stopped: "errors"}}, time.Now())
	for range 100 {
		_, _, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
	}
	w.c.Assert(arrivals[1].Load(), qt.Equals, int64(0))
	w.c.Assert(controller.Blocked(fleet.Server{Service: "plain", Version: "v2"}), qt.IsTrue)
}
