package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// reducedTicketsDelay is the delay of this process from which on it saves processor time.
	reducedTicketsDelay = 20 * time.Millisecond
	// minShedDelay is the delay up to which no request is refused: a busy process has
	// such delays now and then.
	minShedDelay = 60 * time.Millisecond
	// defaultShedFraction is the part of a route's objective that the delay may take, for ranks
	// beyond shedFractions.
	defaultShedFraction = 0.25
)

// shedFractions is the part of a route's objective that the delay of this process may take
// before requests are refused, by the rank of the route: lower tiers are refused first.
var shedFractions = []float64{0.5, 0.35}

// Lateness tells how late a process gets to run.
type Lateness interface {
	// Delay returns by how much what the process does is late now.
	Delay() time.Duration
	// Overloaded reports whether that has been too much for a while.
	Overloaded() bool
}

// schedulingDelay returns by how much this process is late.
func (g *Gateway) schedulingDelay() time.Duration {
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
func (g *Gateway) shed(call *call) *Failure {
	fraction := defaultShedFraction
	if rank := call.route.Rank; rank >= 0 && rank < len(shedFractions) {
		fraction = shedFractions[rank]
	}
	limit := max(time.Duration(fraction*float64(call.route.Objective)), minShedDelay)
	if g.schedulingDelay() <= limit {
		return nil
	}
	return unavailable(KindOverloaded, staleRetryAfter, "this process is short of processor time")
}

// callerProbablyDisconnected reports whether the caller of a stream that has no event yet can be
// expected to have left: a process that is short of time learns of it late.
func (g *Gateway) callerProbablyDisconnected(call *call, p *callProgress) bool {
	patience := call.route.FirstEventPatience
	if patience <= 0 || p.relay.started {
		return false
	}
	return steady.Since(call.arrived)+g.schedulingDelay() > patience
}
