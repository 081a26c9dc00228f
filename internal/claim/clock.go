package claim

import "time"

const (
	// clockToleranceDivisor: a clock that differs by 1/4 of the window or more from those of
	// all other processes isn't trusted.
	clockToleranceDivisor = 4
	// maxSampleAge is how long the time of another process's claim counts.
	maxSampleAge = time.Minute
)

// clockSample is the time that another process put into a claim, compared with
// the own clock when the claim was read.
type clockSample struct {
	ahead  time.Duration
	readAt time.Time
}

// clockSamples compares the own clock with those of other processes. A claim with a
// wrong time could free a key before its window has passed.
type clockSamples struct {
	tolerance time.Duration
	samples   map[string]clockSample
}

func newClockSamples(window time.Duration) *clockSamples {
	return &clockSamples{tolerance: window / clockToleranceDivisor, samples: map[string]clockSample{}}
}

// add takes the time of a claim that was read as soon as it was appended.
func (c *clockSamples) add(author string, claimedUnixMS int64, now time.Time) {
	c.samples[author] = clockSample{ahead: time.UnixMilli(claimedUnixMS).Sub(now), readAt: now}
}

// check fails with *ClockError when other processes claimed lately and the own
// clock agrees with none of theirs.
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
	return &ClockError{Ahead: difference}
}
