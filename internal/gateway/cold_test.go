package gateway_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// Engines that are warming up tolerate few requests. Each must get no more than its service's configuration says until
// it is warm, whoever grants its slots, and then serve as before.
func TestColdEngineGetsWhatItTolerates(t *testing.T) {
	const coldRate, coldFor, rate = 2, 8 * time.Second, 30
	for _, mode := range []grantMode{bySidecar, byDeputy, plainService, byNone} {
		for _, entries := range []int{1, 6, 21} {
			t.Run(fmt.Sprintf("%s, %d entries", mode, entries), func(t *testing.T) {
				playLimited(t, entries, 1, mode, func(t *testing.T, f *limitedFleet) {
					for _, e := range f.entries {
						m, _ := e.manifest.Current()
						m.Services["model"].ColdRequestsPerSecond = coldRate
					}
					cold := f.engines[0]
					coldUntil := time.Now().Add(coldFor)
					f.directory.Put(fleet.Server{ID: cold.id, Service: "model", Address: cold.id, Slots: limitedSlots, ColdUntil: coldUntil})
					f.offer(rate, coldFor, 0.2)
					most, total := cold.mostArrivalsIn(time.Second, time.Time{}, coldUntil)
					f.c.Check(float64(most) <= coldRate*limitOvershoot+limitSlack, qt.IsTrue, qt.Commentf("%d requests in a second, %d in all", most, total))
					if mode == byNone {
						// What these entries send without slots is bounded otherwise.
						return
					}
					began := time.Now()
					sent := f.offer(rate, 4*time.Second, 0.2)
					_, total = cold.mostArrivals(began, time.Now())
					f.c.Check(120*total >= 100*sent.total(), qt.IsTrue, qt.Commentf("%d requests of %v once it is warm", total, sent))
				})
			})
		}
	}
}
