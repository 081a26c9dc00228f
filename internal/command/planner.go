package command

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Intent is an operator's request to move routes from one version to another.
type Intent struct {
	// ID is the id of the move. The server generates one if it is empty.
	ID   string
	Pool string
	// FromVersion and ToVersion are versions of the pool.
	FromVersion string
	ToVersion   string
	// Routes are the routes to move; empty means all routes of the pool that use FromVersion.
	Routes []string
	// FinishBy is the deadline of the move, including a reversal.
	FinishBy time.Time
}

// Planner computes the plan of a move. It does not change any state.
type Planner interface {
	// Plan returns the move with its steps, and the route revisions that the plan is based on.
	// It returns *InfeasibleError if the move cannot be done as requested.
	Plan(ctx context.Context, intent Intent) (plan *configpb.Move, routeRevisions map[string]uint64, err error)
}

// InfeasibleError is returned by a Planner if a move cannot be done as requested.
type InfeasibleError struct {
	// Move is the id of the intent.
	Move string
	// Reason describes what prevents the move.
	Reason string
	// EarliestFinish is the earliest time at which the move could be finished; zero if never.
	EarliestFinish time.Time
}

func (e *InfeasibleError) Error() string {
	return "move " + e.Move + " is not feasible: " + e.Reason
}

// Earliest returns EarliestFinish.
func (e *InfeasibleError) Earliest() time.Time { return e.EarliestFinish }
