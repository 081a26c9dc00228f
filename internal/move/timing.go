// Package move owns dated moves of traffic from one backend server version to
// another: the plan, the driver that carries it out under a lease, and the guard
// that contains a faulty version. It must never raise a share without a valid
// lease, and never needs one to cut a share.
package move

import "time"

// Timing bounds the steps of a move. Zero values take the defaults.
type Timing struct {
	// MinCanary is the shortest time at the canary share. Default: 3 s.
	MinCanary time.Duration
	// MinStep is the shortest time at each share of the ramp. Default: 1 s.
	MinStep time.Duration
	// MinWatch is the shortest time at 100 % before the old version is let go. Default: 3 s.
	MinWatch time.Duration
	// MaxCanary, MaxStep and MaxWatch end a step whose plan has time to spare.
	// Defaults: 10 min, 5 min, 30 min.
	MaxCanary, MaxStep, MaxWatch time.Duration
	// Reversal is the time that a reversal takes until it is in force everywhere. Default: 3 s.
	Reversal time.Duration
	// LoadOverhead is the time that a load order takes besides the transfer of the weights. Default: 1 s.
	LoadOverhead time.Duration
	// Unload is the time kept for unloading the old version. Default: 2 s.
	Unload time.Duration
	// LeaseTTL is the time to live of a driver's lease. Default: 4 s.
	LeaseTTL time.Duration
	// Tick is the time between two looks at a move and its evidence. Default: 200 ms.
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
	// canaryShareBP keeps an unproven version at 5 % of a route.
	canaryShareBP = 500
)

// rampSharesBP are the shares between the canary and 100 %.
var rampSharesBP = []uint32{1000, 2500, 5000}

// loadWaveDivisor is the part of a pool's engines that load at once: one in loadWaveDivisor.
const loadWaveDivisor = 4
