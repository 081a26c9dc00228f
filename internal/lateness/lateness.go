// Package lateness measures the scheduling delay of this process. A process with too little
// processor time serves all requests late and can detect this only by its own clock.
package lateness

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// measureInterval is the interval between two measurements.
	measureInterval = 20 * time.Millisecond
	// delayDecayFactor is the factor by which a measured delay decays with each measurement: a
	// delay of one second falls below overloadDelay within half a second.
	delayDecayFactor = 0.9
	// overloadDelay is the delay above which time counts as overloaded, a fifth or more of
	// the usual objectives.
	overloadDelay = 100 * time.Millisecond
	// overloadTimeConstant is the time constant of the overloaded share of time.
	overloadTimeConstant = time.Second
	// An overload begins above a share of overloadBegins and ends below overloadEnds.
	overloadBegins = 0.5
	overloadEnds   = 0.1
)

// Meter measures the scheduling delay of one process. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// due is when the next measurement is due.
	due   time.Time
	delay time.Duration
	// overloadedShare is the exponentially decaying share of time that was overloaded.
	overloadedShare float64
	overloaded      bool
}

// Run measures until ctx is done and returns its error.
func (m *Meter) Run(ctx context.Context) error {
	timer := time.NewTimer(measureInterval)
	defer timer.Stop()
	m.setDue(time.Now().Add(measureInterval))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			now := time.Now()
			m.measure(now)
			m.setDue(now.Add(measureInterval))
			timer.Reset(measureInterval)
		}
	}
}

func (m *Meter) setDue(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// measure records the delay of a measurement at now.
func (m *Meter) measure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := max(now.Sub(m.due), 0)
	m.delay = max(late, time.Duration(delayDecayFactor*float64(m.delay)))
	decay := math.Exp(-(measureInterval + late).Seconds() / overloadTimeConstant.Seconds())
	m.overloadedShare *= decay
	if late > overloadDelay {
		m.overloadedShare += 1 - decay
	}
	switch {
	case m.overloadedShare > overloadBegins:
		m.overloaded = true
	case m.overloadedShare < overloadEnds:
		m.overloaded = false
	}
}

// Delay returns the current scheduling delay. It includes a measurement that is overdue.
func (m *Meter) Delay() time.Duration {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() {
		return 0
	}
	return max(m.delay, now.Sub(m.due))
}

// Overloaded reports whether this process is overloaded: its measurements were late by more
// than overloadDelay for most of the recent time.
func (m *Meter) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overloaded
}
