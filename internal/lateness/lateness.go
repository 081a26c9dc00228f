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
	// tick is the time between two looks at the clock.
	tick = 20 * time.Millisecond
	// keptPerTick is the part of the delay that is still counted one tick later: a delay
	// of a second is forgotten after half a second.
	keptPerTick = 0.9
	// heavyDelay is the delay from which on time counts as overloaded: a fifth and more
	// of the usual objectives.
	heavyDelay = 100 * time.Millisecond
	// loadMemory is the time constant of the overloaded part of time.
	loadMemory = time.Second
	// overloadedPart begins an overload, relievedPart ends it.
	overloadedPart = 0.5
	relievedPart   = 0.1
)

// Meter measures the delay of one process. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// due is when the next look should be.
	due   time.Time
	delay time.Duration
	// heavy is the part of the last time that was overloaded.
	heavy      float64
	overloaded bool
}

// Run measures until ctx is done.
func (m *Meter) Run(ctx context.Context) error {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	m.expect(time.Now().Add(tick))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			now := time.Now()
			m.look(now)
			m.expect(now.Add(tick))
			timer.Reset(tick)
		}
	}
}

func (m *Meter) expect(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// look takes the delay of one look.
func (m *Meter) look(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := max(now.Sub(m.due), 0)
	m.delay = max(late, time.Duration(keptPerTick*float64(m.delay)))
	kept := math.Exp(-(tick + late).Seconds() / loadMemory.Seconds())
	m.heavy *= kept
	if late > heavyDelay {
		m.heavy += 1 - kept
	}
	switch {
	case m.heavy > overloadedPart:
		m.overloaded = true
	case m.heavy < relievedPart:
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
