// Package lateness measures how late this process gets to run: a process with too
// little processor time serves everything late, and can tell only by its own clock.
package lateness

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// measureInterval is the time between two looks at the clock.
	measureInterval = 20 * time.Millisecond
	// delayDecayPerTick is the part of the delay that is still counted one tick later: a delay
	// of a second is forgotten after half a second.
	delayDecayPerTick = 0.9
	// overloadDelay is the delay from which on time counts as overloaded: a fifth and more
	// of the usual objectives.
	overloadDelay = 100 * time.Millisecond
	// overloadTimeConstant is the time constant of the overloaded part of time.
	overloadTimeConstant = time.Second
	// overloadBegins begins an overload, overloadEnds ends it.
	overloadBegins = 0.5
	overloadEnds   = 0.1
)

// Meter measures the delay of one process. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// due is when the next look should be.
	due   time.Time
	delay time.Duration
	// overloadedShare is the part of the last time that was overloaded.
	overloadedShare float64
	overloaded      bool
}

// Run measures until ctx is done.
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

// measure takes the delay of one look.
func (m *Meter) measure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := max(now.Sub(m.due), 0)
	m.delay = max(late, time.Duration(delayDecayPerTick*float64(m.delay)))
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

// Delay returns by how much what this process does is late now.
func (m *Meter) Delay() time.Duration {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() {
		return 0
	}
	return max(m.delay, now.Sub(m.due))
}

// Overloaded reports whether this process has been late for most of the last time.
func (m *Meter) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overloaded
}
