package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// leanDelay is the delay of this process from which on it saves processor time.
	leanDelay = 20 * time.Millisecond
	// leastShedDelay is the delay up to which no request is refused: a busy process has
	// such delays now and then.
	leastShedDelay = 60 * time.Millisecond
	// lowShedPart is the part of a route's objective that the delay may take, for ranks
	// beyond shedParts.
	lowShedPart = 0.25
)

// shedParts is the part of a route's objective that the delay of this process may take
// before requests are refused, by the rank of the route: lower tiers are refused first.
var shedParts = []float64{0.5, 0.35}

// Lateness tells how late a process gets to run.
type Lateness interface {
	// Delay returns by how much what the process does is late now.
	Delay() time.Duration
	// Overloaded reports whether that has been too much for a while.
	Overloaded() bool
}

// delay returns by how much this process is late.
func (g *Gateway) delay() time.Duration {
	if g.options.Lateness == nil {
		return 0
	}
	return g.options.Lateness.Delay()
}

func (g *Gateway) overloaded() bool {
	return g.options.Lateness != nil && g.options.Lateness.Overloaded()
}

// shed refuses a request that this process is too late for: the caller tries again at
// once, at another process.
func (g *Gateway) shed(one *call) *Failure {
	part := lowShedPart
	if rank := one.route.Rank; rank >= 0 && rank < len(shedParts) {
		part = shedParts[rank]
	}
	limit := max(time.Duration(part*float64(one.route.Objective)), leastShedDelay)
	if g.delay() <= limit {
		return nil
	}
	return unavailable(KindOverloaded, staleRetryAfter, "this process is short of processor time")
}

// probablyLeft reports whether the caller of a stream that has no event yet can be
// expected to have left: a process that is short of time learns of it late.
func (g *Gateway) probablyLeft(one *call, p *progress) bool {
	patience := one.route.FirstEventWait
	if patience <= 0 || p.relay.started {
		return false
	}
	return steady.Since(one.arrived)+g.delay() > patience
}
