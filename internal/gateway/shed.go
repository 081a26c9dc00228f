package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// reducedTicketsDelay is the scheduling delay above which requests use fewer tickets, to
	// save processor time.
	reducedTicketsDelay = 20 * time.Millisecond
	// minShedDelay is the scheduling delay up to which no request is shed. A busy process has
	// such delays occasionally.
	minShedDelay = 60 * time.Millisecond
	// defaultShedFraction is the shed fraction of ranks beyond shedFractions.
	defaultShedFraction = 0.25
)

// shedFractions is the fraction of a route's objective that the scheduling delay may reach
// before requests are shed, by the rank of the route. Lower tiers are shed first.
var shedFractions = []float64{0.5, 0.35}

// Lateness measures the scheduling delay of this process.
type Lateness interface {
	// Delay returns the current scheduling delay.
	Delay() time.Duration
	// Overloaded reports whether the delay has been too high for some time.
	Overloaded() bool
}

// schedulingDelay returns the current scheduling delay of this process.
func (g *Gateway) schedulingDelay() time.Duration {
	if g.options.Lateness == nil {
		return 0
	}
	return g.options.Lateness.Delay()
}

func (g *Gateway) overloaded() bool {
	return g.options.Lateness != nil && g.options.Lateness.Overloaded()
}

// shed refuses a request if the scheduling delay is too high for its objective. The caller
// retries immediately at another process.
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

// callerProbablyDisconnected reports whether the caller of a stream without events has probably
// given up. With a high scheduling delay this process detects a disconnect late.
func (g *Gateway) callerProbablyDisconnected(call *call, p *callProgress) bool {
	firstEventWait := call.route.FirstEventWait
	if firstEventWait <= 0 || p.relay.started {
		return false
	}
	return steady.Since(call.arrived)+g.schedulingDelay() > firstEventWait
}
