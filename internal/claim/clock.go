package claim

import "time"

const (
	// clockToleranceDivisor sets the tolerance between clocks: a clock that differs from those
	// of all other processes by 1/4 of the window or more is not trusted.
	clockToleranceDivisor = 4
	// maxSampleAge is how long a sample of another process's clock is used.
	maxSampleAge = time.Minute
)

// clockSample is the time in a claim of another process, compared with the local clock when the
// claim was read.
type clockSample struct {
	ahead  time.Duration
	readAt time.Time
}

// clockSamples compares the local clock with those of other processes. A claim with a wrong
// time could free a key before its window has passed.
type clockSamples struct {
	tolerance time.Duration
	samples   map[string]clockSample
}

func newClockSamples(window time.Duration) *clockSamples {
	return &clockSamples{tolerance: window / clockToleranceDivisor, samples: map[string]clockSample{}}
}

// add adds the time of a claim that was read as soon as it was appended.
func (c *clockSamples) add(author string, claimedUnixMS int64, now time.Time) {
	c.samples[author] = clockSample{ahead: time.UnixMilli(claimedUnixMS).Sub(now), readAt: now}
}

// check returns *ClockSkewError if other processes appended claims recently and the local clock
// agrees with none of their clocks.
func (c *clockSamples) check(now time.Time) error {
	var difference time.Duration
	for author, sample := range c.samples {
		if now.Sub(sample.readAt) > maxSampleAge {
			delete(c.samples, author)
			continue
		}
		if sample.ahead.Abs() < c.tolerance {
			return nil
		}
		difference = sample.ahead
	}
	if difference == 0 {
		return nil
	}
	return &ClockSkewError{Ahead: difference}
}
