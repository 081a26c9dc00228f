package admission

import (
	"time"
)

const (
	// Of the requests that a rate limit allows, pacerBurst and those of pacerBurstTime may be sent at
	// once after a pause.
	pacerBurst     = 2.5
	pacerBurstTime = 250 * time.Millisecond
	// minTierActive and tierActiveRequests are how long after its last request a tier counts as active:
	// the longer of a time and that in which the limit allows some requests.
	minTierActive      = 3 * time.Second
	tierActiveRequests = 2
	// activeTierReserve is the number of requests that tiers below an active one leave to it.
	activeTierReserve = 1
	// maxPacerWait bounds the estimated wait for a request.
	maxPacerWait = time.Hour
)

// pacer keeps requests to a backend server within its rate limit. A new pacer, and one with a new
// limit, has nothing saved up: other processes may have sent requests up to now. It is not safe for
// concurrent use.
type pacer struct {
	// perSecond is the limit in requests a second; 0 if there is none.
	perSecond float64
	// level is the number of requests that may be sent at once, as of filledAt. It is negative after
	// requests that could not wait.
	level    float64
	filledAt time.Time
	// arrived is when the last request of each rank arrived.
	arrived [MaxRank + 1]time.Time
}

func (p *pacer) limited() bool { return p.perSecond > 0 }

// set changes the limit; 0 lifts it.
func (p *pacer) set(now time.Time, perSecond float64) {
	p.fill(now)
	if !p.limited() {
		p.level, p.filledAt = 0, now
	}
	p.perSecond = perSecond
	p.level = min(p.level, p.burst())
}

// burst is the largest level.
func (p *pacer) burst() float64 { return pacerBurst + p.perSecond*pacerBurstTime.Seconds() }

func (p *pacer) fill(now time.Time) {
	if !p.limited() {
		return
	}
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		p.level, p.filledAt = min(p.level+p.perSecond*elapsed.Seconds(), p.burst()), now
	}
}

// recordArrival records that a request of a rank has arrived.
func (p *pacer) recordArrival(now time.Time, rank uint32) { p.arrived[rank] = now }

// wait returns how long a request of a rank must wait until it may be sent after a number of others.
func (p *pacer) wait(now time.Time, rank uint32, others int) time.Duration {
	if !p.limited() {
		return 0
	}
	p.fill(now)
	missing := p.reserve(now, rank) + 1 + float64(others) - p.level
	if missing <= 0 {
		return 0
	}
	// Rounded up, as the request would still have to wait at the end of a shorter time.
	return time.Duration(min(missing/p.perSecond, maxPacerWait.Seconds())*float64(time.Second)) + 1
}

// reserve returns the number of requests that a rank leaves to the tiers above it.
func (p *pacer) reserve(now time.Time, rank uint32) float64 {
	active := max(minTierActive, time.Duration(min(tierActiveRequests/p.perSecond, maxPacerWait.Seconds())*float64(time.Second)))
	for _, at := range p.arrived[:rank] {
		if !at.IsZero() && now.Sub(at) < active {
			return activeTierReserve
		}
	}
	return 0
}

// take counts a request that is sent.
func (p *pacer) take(now time.Time) {
	if p.limited() {
		p.fill(now)
		p.level--
	}
}

// refund takes back a request that was not sent after all.
func (p *pacer) refund(now time.Time) {
	if p.limited() {
		p.fill(now)
		p.level = min(p.level+1, p.burst())
	}
}
