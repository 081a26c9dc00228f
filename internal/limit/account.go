package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// idleShareDemand is the demand, in requests per second, that is added for each entry when
	// shares are computed, so that entries have equal shares of an idle account.
	idleShareDemand = 1.0
	// idleDemand is the demand, in requests per second, below which an account counts as idle.
	idleDemand = 0.01
	// sampleInterval is the interval between two samples of this entry's use.
	sampleInterval = 250 * time.Millisecond
	// peerUseLag is the assumed age of the reported use of other entries. That use is compared
	// with this entry's use of the same time.
	peerUseLag = 2 * time.Second
	// roundingInterval is the interval between two random draws for rounding.
	roundingInterval = 10 * time.Second
	// growthThreshold is the share of a limit below which an entry may exceed its own share.
	growthThreshold = 0.8
	// admitThreshold is the use of all entries, relative to a limit, at which no entry admits more.
	admitThreshold = 1.1
	// maxSamples covers peerUseLag.
	maxSamples = int(peerUseLag / sampleInterval)
)

// sample is this entry's use of an account at one time.
type sample struct {
	at      time.Time
	running int
	demand  float64
	tokens  float64
}

// account tracks the use of one client account at this entry.
type account struct {
	random  *rand.Rand
	running int
	// demand is the rate of arrivals, including refused requests.
	demand   rate
	tokenUse rate
	requests bucket
	tokens   bucket
	// lastIdle is when the account was last idle.
	lastIdle time.Time
	// samples holds this entry's use over the last peerUseLag, the oldest sample first.
	samples []sample
	// roundingDraw, from 0 to 1, rounds this entry's share of a limit. It is redrawn every
	// roundingInterval.
	roundingDraw    float64
	roundingDrawnAt time.Time
}

func (a *account) idle(now time.Time) bool {
	return a.running <= 0 && a.demand.perSecond(now) < idleDemand
}

// sampleUse records this entry's use, at most once per sampleInterval.
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

// pastUse returns this entry's use at peerUseLag before now, or zero if there is no sample.
func (a *account) pastUse(now time.Time) sample {
	var past sample
	for _, s := range a.samples {
		if now.Sub(s.at) >= peerUseLag {
			past = s
		}
	}
	return past
}

// share returns this entry's share of the total demand at peerUseLag before now. It is at least
// an equal share while the demand of an account that was idle builds up.
func (a *account) share(past sample, peers *lanepb.AccountUse, entries int, now time.Time) float64 {
	total := past.demand + peers.GetRequestsPerSecond() + idleShareDemand*float64(entries)
	share := (past.demand + idleShareDemand) / total
	if now.Sub(a.lastIdle) < 2*peerUseLag {
		share = max(share, 1/float64(entries))
	}
	return share
}

// entryRate returns this entry's part of a rate limit: either its share of the limit, or its
// own use plus an equal part of the unused rate, whichever is larger. The parts of all entries
// add up to the limit.
func entryRate(limit, ownUse, peerUse, share float64, entries int) float64 {
	unused := limit - ownUse - peerUse
	if unused <= 0 {
		return limit * share
	}
	return max(ownUse+unused/float64(entries), limit*share)
}

// mayRun reports whether one more request is within the concurrency limit. Each entry may
// always use its share of the limit. While the total use is below growthThreshold, it may also
// grow by an equal part of the unused capacity.
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

// roundedShare rounds this entry's share of a limit. Fractions are rounded randomly, with a draw
// that is kept for roundingInterval, so that the rounded shares of many entries add up to about
// the limit.
func (a *account) roundedShare(exact float64, now time.Time) int {
	if now.Sub(a.roundingDrawnAt) >= roundingInterval {
		a.roundingDraw, a.roundingDrawnAt = a.random.Float64(), now
	}
	whole := math.Floor(exact)
	if a.roundingDraw < exact-whole {
		whole++
	}
	return int(whole)
}

// exceeded returns the limit that one more request would exceed and the delay before a retry.
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
