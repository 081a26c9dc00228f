// Package move plans and executes scheduled moves of traffic from one backend server version to
// another: the plan, the driver that executes it under a lease, and the guard that contains a
// faulty version. A share is raised only under a valid lease; reducing a share never needs one.
package move

import "time"

// Timing bounds the steps of a move. Zero values take the defaults.
type Timing struct {
	// MinCanary is the shortest time at the canary share. Default: 3 s.
	MinCanary time.Duration
	// MinStep is the shortest time at each share of the ramp. Default: 1 s.
	MinStep time.Duration
	// MinWatch is the shortest time at 100 % before the old version is unloaded. Default: 3 s.
	MinWatch time.Duration
	// MaxCanary, MaxStep and MaxWatch are the longest planned times of the steps of a plan with
	// slack. Defaults: 10 min, 5 min, 30 min.
	MaxCanary, MaxStep, MaxWatch time.Duration
	// Reversal is the time until a reversal has taken effect at all entries. Default: 3 s.
	Reversal time.Duration
	// LoadOverhead is the time of a load order in addition to the weight transfer. Default: 1 s.
	LoadOverhead time.Duration
	// Unload is the time reserved for unloading the old version. Default: 2 s.
	Unload time.Duration
	// LeaseTTL is the time to live of a driver's lease. Default: 4 s.
	LeaseTTL time.Duration
	// Tick is the time between two evaluations of a move and its evidence. Default: 200 ms.
	Tick time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.MinCanary, 3*time.Second)
	setDefault(&t.MinStep, time.Second)
	setDefault(&t.MinWatch, 3*time.Second)
	setDefault(&t.MaxCanary, 10*time.Minute)
	setDefault(&t.MaxStep, 5*time.Minute)
	setDefault(&t.MaxWatch, 30*time.Minute)
	setDefault(&t.Reversal, 3*time.Second)
	setDefault(&t.LoadOverhead, time.Second)
	setDefault(&t.Unload, 2*time.Second)
	setDefault(&t.LeaseTTL, 4*time.Second)
	setDefault(&t.Tick, 200*time.Millisecond)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Shares of a move, in basis points.
const (
	fullShareBP = 10000
	// canaryShareBP limits an unproven version to 5 % of a route's requests.
	canaryShareBP = 500
)

// rampSharesBP are the shares between the canary share and 100 %, in basis points.
var rampSharesBP = []uint32{1000, 2500, 5000}

// loadWaveDivisor determines the size of a load wave: the number of engines divided by it,
// rounded up.
const loadWaveDivisor = 4
