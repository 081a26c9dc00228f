package limit

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the usual time constant of a rate's decay.
	rateTimeConstant = 2 * time.Second
	// burstSeconds is the capacity of a bucket in seconds of its rate.
	burstSeconds = 1.0
	// minCapacity is the smallest capacity of a bucket.
	minCapacity = 2.0
	// maxRefillWait bounds the retry delay for an empty bucket.
	maxRefillWait = time.Minute
)

// rate measures events per second with exponential decay.
type rate struct {
	sum     float64
	updated time.Time
	// timeConstant is that of the decay. If 0, it is rateTimeConstant.
	timeConstant time.Duration
}

func (r *rate) constantSeconds() float64 {
	if r.timeConstant > 0 {
		return r.timeConstant.Seconds()
	}
	return rateTimeConstant.Seconds()
}

func (r *rate) add(n float64, now time.Time) {
	r.sum = r.decayed(now) + n
	r.updated = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updated).Seconds()/r.constantSeconds())
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.decayed(now) / r.constantSeconds()
}

// bucket is a token bucket with a variable rate. It may be overdrawn.
type bucket struct {
	perSecond float64
	level     float64
	filledAt  time.Time
}

// setRate changes the rate. A new bucket is full.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	if b.filledAt.IsZero() {
		b.perSecond = perSecond
		b.level = b.capacity(perSecond)
		b.filledAt = now
	}
	b.fill(now)
	b.perSecond = perSecond
	b.level = min(b.level, b.capacity(perSecond))
}

func (b *bucket) capacity(perSecond float64) float64 {
	return max(perSecond*burstSeconds, minCapacity)
}

func (b *bucket) fill(now time.Time) {
	b.level = min(b.level+b.perSecond*now.Sub(b.filledAt).Seconds(), b.capacity(b.perSecond))
	b.filledAt = now
}

// wait returns the time until the bucket holds at least n tokens and is not empty.
func (b *bucket) wait(n float64, now time.Time) time.Duration {
	b.fill(now)
	if b.level >= n && b.level > 0 {
		return 0
	}
	if b.perSecond <= 0 {
		return maxRefillWait
	}
	seconds := (n - b.level) / b.perSecond
	return min(max(time.Duration(seconds*float64(time.Second)), time.Millisecond), maxRefillWait)
}

func (b *bucket) take(n float64) { b.level -= n }
