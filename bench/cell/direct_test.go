package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
)

// A request of a direct router is not run once every engine is known to have failed.
func TestDirectRouterWithoutEngines(t *testing.T) {
	c := qt.New(t)
	cell := &Cell{Engines: []*EngineNode{{killedAt: time.Now().Add(-time.Hour)}, {killedAt: time.Now().Add(-time.Hour)}}}
	d := &directRouter{cell: cell, inFlight: make([]int, len(cell.Engines))}
	c.Assert(d.Send(t.Context(), Arrival{}).Outcome, qt.Equals, caller.OutcomeNotRun)
}
