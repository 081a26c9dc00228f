package lateness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulate takes measurements that are late by the result of delay.
func simulate(m *Meter, from time.Time, length time.Duration, delay func(elapsed time.Duration) time.Duration) time.Time {
	now := from
	for now.Sub(from) < length {
		m.setDue(now.Add(measureInterval))
		now = now.Add(measureInterval + delay(now.Sub(from)))
		m.measure(now)
	}
	return now
}

func constantDelay(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

func TestDelayFollowsTheLatestMeasurements(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	c.Assert(m.Delay(), qt.Equals, time.Duration(0))
	now := simulate(m, time.Now(), 100*time.Millisecond, constantDelay(time.Second))
	c.Assert(m.delay, qt.Equals, time.Second)
	simulate(m, now, time.Second, constantDelay(0))
	c.Assert(m.delay < 10*time.Millisecond, qt.IsTrue)
}

// TestDelayOfAnOverdueMeasurement checks the delay while a measurement is overdue.
func TestDelayOfAnOverdueMeasurement(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	m.setDue(time.Now().Add(-300 * time.Millisecond))
	c.Assert(m.Delay() >= 300*time.Millisecond, qt.IsTrue)
}

// TestShortPausesAreNoOverload simulates short pauses, then a sustained shortage of processor time,
// then its end.
func TestShortPausesAreNoOverload(t *testing.T) {
	c := qt.New(t)
	m := &Meter{}
	now := simulate(m, time.Now(), 10*time.Second, func(elapsed time.Duration) time.Duration {
		if elapsed%time.Second < 100*time.Millisecond {
			return 200 * time.Millisecond
		}
		return 0
	})
	c.Assert(m.Overloaded(), qt.IsFalse)
	now = simulate(m, now, 2*time.Second, constantDelay(200*time.Millisecond))
	c.Assert(m.Overloaded(), qt.IsTrue)
	now = simulate(m, now, time.Second, constantDelay(0))
	c.Assert(m.Overloaded(), qt.IsTrue)
	simulate(m, now, 3*time.Second, constantDelay(0))
	c.Assert(m.Overloaded(), qt.IsFalse)
}
