package lateness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// run looks at times that are late by what the function returns.
func run(m *Meter, from time.Time, length time.Duration, late func(at time.Duration) time.Duration) time.Time {
	now := from
	for now.Sub(from) < length {
		m.expect(now.Add(tick))
		now = now.Add(tick + late(now.Sub(from)))
		m.look(now)
	}
	return now
}

func always(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

func TestDelayFollowsTheLastTicks(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	c.Assert(m.Delay(), qt.Equals, time.Duration(0))
	now := run(m, time.Now(), 100*time.Millisecond, always(time.Second))
	c.Assert(m.delay, qt.Equals, time.Second)
	run(m, now, time.Second, always(0))
	c.Assert(m.delay < 10*time.Millisecond, qt.IsTrue)
}

// TestDelayOfALookThatIsDue asks while the process is late and hasn't looked yet.
func TestDelayOfALookThatIsDue(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	m.expect(time.Now().Add(-300 * time.Millisecond))
	c.Assert(m.Delay() >= 300*time.Millisecond, qt.IsTrue)
}

// TestOverloadNeedsMoreThanAHiccup plays short pauses, then a lasting shortage, then relief.
func TestOverloadNeedsMoreThanAHiccup(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	now := run(m, time.Now(), 10*time.Second, func(at time.Duration) time.Duration {
		if at%time.Second < 100*time.Millisecond {
			return 200 * time.Millisecond
		}
		return 0
	})
	c.Assert(m.Overloaded(), qt.IsFalse)
	now = run(m, now, 2*time.Second, always(200*time.Millisecond))
	c.Assert(m.Overloaded(), qt.IsTrue)
	now = run(m, now, time.Second, always(0))
	c.Assert(m.Overloaded(), qt.IsTrue)
	run(m, now, 3*time.Second, always(0))
	c.Assert(m.Overloaded(), qt.IsFalse)
}
