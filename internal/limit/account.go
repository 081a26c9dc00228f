package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// idleShareDemand is the demand, in requests a second, that each entry is taken to
	// have of an account that is idle, so that shares are equal at rest.
	idleShareDemand = 1.0
	// idleDemand is the demand under which an account counts as idle.
	idleDemand = 0.01
	// sampleInterval is the time between two samples of the own use.
	sampleInterval = 250 * time.Millisecond
	// peerUseLag is how old the other entries' use is when it is seen here: the
	// own use of that time is compared with it.
	peerUseLag = 2 * time.Second
	// roundingInterval is the time between two draws of the rounding.
	roundingInterval = 10 * time.Second
	// growthThreshold is the part of a limit up to which an entry may use more than its part.
	growthThreshold = 0.8
	// admitThreshold is the part of a limit from which on no entry starts more.
	admitThreshold = 1.1
	// maxSamples covers peerUseLag.
	maxSamples = int(peerUseLag / sampleInterval)
)

// sample is the own use at one time.
type sample struct {
	at      time.Time
	running int
	demand  float64
	tokens  float64
}

// account is the use of one client account at this entry.
type account struct {
	random  *rand.Rand
	running int
	// demand counts arrivals, the refused ones included.
	demand   rate
	tokenUse rate
	requests bucket
	tokens   bucket
	// lastIdle is when the account was idle last.
	lastIdle time.Time
	// samples holds the own use since peerUseLag ago, the oldest first.
	samples []sample
	// roundingDraw, from 0 to 1, rounds this entry's part of a limit. It is drawn anew
	// each roundingInterval.
	roundingDraw  float64
	roundingDrawn time.Time
}

func (a *account) idle(now time.Time) bool {
	return a.running <= 0 && a.demand.perSecond(now) < idleDemand
}

// sampleUse samples the own use now and then.
func (a *account) sampleUse(now time.Time) {
	if a.idle(now) {
		a.lastIdle = now
	}
	if n := len(a.samples); n > 0 && now.Sub(a.samples[n-1].at) < sampleInterval {
		return
	}
	a.samples = append(a.samples, sample{at: now, running: a.running, demand: a.demand.perSecond(now), tokens: a.tokenUse.perSecond(now)})
	if len(a.samples) > maxSamples+1 {
		a.samples = a.samples[1:]
	}
}

// pastUse returns the own use of peerUseLag ago; nothing if there was none.
func (a *account) pastUse(now time.Time) sample {
	var past sample
	for _, s := range a.samples {
		if now.Sub(s.at) >= peerUseLag {
			past = s
		}
	}
	return past
}

// share returns this entry's part of all entries' demand, as of peerUseLag ago.
// It is no less than an equal part until that demand has built up.
func (a *account) share(past sample, peers *lanepb.AccountUse, entries int, now time.Time) float64 {
	total := past.demand + peers.GetRequestsPerSecond() + idleShareDemand*float64(entries)
	share := (past.demand + idleShareDemand) / total
	if now.Sub(a.lastIdle) < 2*peerUseLag {
		share = max(share, 1/float64(entries))
	}
	return share
}

// entryRate returns this entry's part of a rate limit: its share, and what the
// account leaves unused over all entries in equal parts. The parts of all entries
// add up to the limit.
func entryRate(limit, ownUse, peerUse, share float64, entries int) float64 {
	unused := limit - ownUse - peerUse
	if unused <= 0 {
		return limit * share
	}
	return max(ownUse+unused/float64(entries), limit*share)
}

// mayRun reports whether one more request keeps to the concurrency limit. Each
// entry may always use its part of the limit. While all entries together are well
// under the limit, it may also grow by an equal part of what is free.
func (a *account) mayRun(limit int, past sample, peers *lanepb.AccountUse, share float64, entries int, now time.Time) bool {
	bound, peersRunning := float64(limit), float64(peers.GetRunning())
	if float64(a.running)+peersRunning >= bound*admitThreshold {
		return false
	}
	if a.running < a.roundedShare(bound*share, now) {
		return true
	}
	free := bound*growthThreshold - float64(past.running) - peersRunning
	return a.running < past.running+a.roundedShare(free/float64(entries), now)
}

// roundedShare rounds this entry's part of a limit. What is left of a request is rounded
// at random, alike for a while, so that many entries together keep to the limit.
func (a *account) roundedShare(exact float64, now time.Time) int {
	if now.Sub(a.roundingDrawn) >= roundingInterval {
		a.roundingDraw, a.roundingDrawn = a.random.Float64(), now
	}
	whole := math.Floor(exact)
	if a.roundingDraw < exact-whole {
		whole++
	}
	return int(whole)
}

// exceeded returns the limit that one more request is over, and when to come back.
func (a *account) exceeded(limits *configpb.AccountLimits, peers *lanepb.AccountUse, entries int, now time.Time) (Kind, time.Duration) {
	past := a.pastUse(now)
	share := a.share(past, peers, entries, now)
	if limit := int(limits.GetMaxConcurrent()); limit > 0 && !a.mayRun(limit, past, peers, share, entries, now) {
		return KindConcurrency, concurrencyRetryAfter
	}
	if limits.GetRequestsPerSecond() > 0 {
		a.requests.setRate(entryRate(limits.GetRequestsPerSecond(), past.demand, peers.GetRequestsPerSecond(), share, entries), now)
		if wait := a.requests.wait(1, now); wait > 0 {
			return KindRequests, wait
		}
	}
	if limits.GetTokensPerSecond() > 0 {
		a.tokens.setRate(entryRate(limits.GetTokensPerSecond(), past.tokens, peers.GetTokensPerSecond(), share, entries), now)
		if wait := a.tokens.wait(0, now); wait > 0 {
			return KindTokens, wait
		}
	}
	return "", 0
}
