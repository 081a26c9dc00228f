package limit

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerSilentTimeout is how long the last reported use of an entry is extrapolated when its
	// reports cease. peerRetention is how long its state is kept, so that the tokens it spent
	// in the meantime can be charged when its reports resume.
	peerSilentTimeout = 4 * time.Second
	peerRetention     = time.Minute
	// initialLevel is the fraction of the burst in a new bucket, because a process that has just
	// started has no record of earlier use.
	initialLevel = 0.25
	// shareThreshold is the fraction of the burst below which an entry is limited to its share.
	shareThreshold = 0.5
	// simultaneousStart is how much earlier another entry may have started to count as started
	// at the same time as this one, such as after a failure of all entries.
	simultaneousStart = 2 * time.Second
	// maxRetryAfter bounds the retry delay of requests that exceed a limit.
	maxRetryAfter = 5 * time.Second
	// unlistedEntries is the number of entries assumed until their list is known.
	unlistedEntries = 100
)

// Rate is a rate limit in tokens.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Use is one entry's use of an account, as reported to the other entries.
type Use struct {
	// Spent is the number of tokens of the requests admitted since the entry started, without
	// refunded requests.
	Spent float64
	// Demand is the number of requested tokens per second, including refused requests.
	Demand float64
	// Level is the entry's estimate of the tokens left in the account's bucket.
	Level float64
}

// Pool holds the token buckets of client accounts, which all entries share. Each entry tracks
// the tokens spent by all entries from their reports. When a bucket runs low, the entry limits
// itself to its share of the demand. Pool is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	accounts map[string]*pooledBucket
	peers    map[string]*peerState
	// entries is the number of entries considered alive, including this one.
	entries int
	// hasQuorum is true while this entry receives reports from a majority of the entries.
	hasQuorum bool
	// levelsAdopted is set once this entry has received use from another entry. From then on, it
	// no longer adopts the bucket levels that other entries report.
	levelsAdopted bool
	// started is when this entry began to count.
	started time.Time
}

// pooledBucket is the token bucket of one account.
type pooledBucket struct {
	rate Rate
	// since is when the account was first used here.
	since    time.Time
	level    float64
	filledAt time.Time
	spent    float64
	demand   rate
	growth   growth
	// unheard is the number of tokens charged, up to unheardAt, for each entry that has not reported yet, since some
	// entry hasn't.
	unheard   float64
	unheardAt time.Time
	// credit is the part of this entry's share that it has not spent yet, as of creditAt.
	credit   float64
	creditAt time.Time
}

// peerState is the last reported state of another entry.
type peerState struct {
	bootID      string
	received    time.Time
	estimatedAt time.Time
	accounts    map[string]Use
	// silent reports whether the entry is considered unreachable.
	silent bool
	// estimated is the number of tokens charged for it since its last report, by account.
	estimated map[string]float64
}

// NewPool returns a pool for one entry that starts counting at the given time.
func NewPool(began time.Time) *Pool {
	return &Pool{accounts: map[string]*pooledBucket{}, peers: map[string]*peerState{}, entries: 1, hasQuorum: true, started: began}
}

// AwaitEntries makes the pool assume many entries until SetEntries is called. A process that has just
// started doesn't know yet whether it is the only one; if a hundred start at once and each takes
// itself for the only one, each spends the whole of every limit.
func (p *Pool) AwaitEntries() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = unlistedEntries
}

// SetEntries sets the number of live entries, including this one, and whether this entry is in
// contact with a majority of them.
func (p *Pool) SetEntries(n int, hasQuorum bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !hasQuorum {
		// The other entries are likely to be serving although this entry cannot reach them.
		n = max(n, p.entries)
	}
	p.entries, p.hasQuorum = max(n, 1), hasQuorum
}

// Admit takes the tokens of one request. It returns *ExceededError if the account's limit is
// exceeded.
func (p *Pool) Admit(name string, limit Rate, tokens float64, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.bucketFor(name, limit, now)
	p.chargeSilentPeers(now)
	a.chargeUnheard(p.entries, len(p.peers), now)
	a.demand.add(tokens, now)
	a.growth.add(tokens, now)
	share, peersKnown := p.share(a, name, now)
	a.accrueCredit(now, share)
	aboveThreshold := p.entries == 1 || (peersKnown && a.level >= shareThreshold*a.rate.Burst)
	if wait := a.wait(share, aboveThreshold); wait > 0 {
		return errors.WithStack(&ExceededError{Account: name, Kind: KindTokens, RetryAfter: min(wait, maxRetryAfter)})
	}
	a.level -= tokens
	a.credit -= tokens
	if aboveThreshold {
		// Tokens spent above the threshold do not reduce the credit below zero.
		a.credit = max(a.credit, 0)
	}
	a.spent += tokens
	return nil
}

// Refund returns the tokens of a request that did not run.
func (p *Pool) Refund(name string, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.accounts[name]; a != nil {
		a.spent -= tokens
		a.credit += tokens
		a.level += tokens
	}
}

// wait returns the time until the next request may be admitted; 0 if it may be admitted now.
// One request may overdraw the bucket and the credit, so that large requests, which often belong
// to the higher tiers, are admitted as often as small ones.
func (a *pooledBucket) wait(share float64, aboveThreshold bool) time.Duration {
	switch {
	case a.level <= 0:
		return timeToRefill(1-a.level, a.rate.PerSecond)
	case !aboveThreshold && a.credit <= 0:
		return timeToRefill(1-a.credit, a.rate.PerSecond*share)
	}
	return 0
}

func timeToRefill(tokens, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return max(time.Duration(tokens/perSecond*float64(time.Second)), time.Millisecond)
}

// share returns this entry's share of the limit according to its share of the demand, and
// whether at least half of the other entries report theirs. Without a quorum, the demand of
// the others is unknown and the share is an equal one.
func (p *Pool) share(a *pooledBucket, name string, now time.Time) (share float64, peersKnown bool) {
	equal := 1 / float64(p.entries)
	if !p.hasQuorum {
		return equal, false
	}
	ownDemand := a.demand.perSecond(now)
	// uninformed entries have last reported before the account was used here.
	total, reporting, uninformed := ownDemand, 0, 0
	for _, peer := range p.peers {
		if peer.silent {
			continue
		}
		reporting++
		use, listed := peer.accounts[name]
		if !listed && peer.received.Before(a.since) {
			uninformed++
		}
		total += use.Demand
	}
	missing := max(p.entries-1-reporting, 0)
	// Entries without a report on the account are assumed to have the same demand as this one.
	total += ownDemand * float64(missing+uninformed)
	if total <= 0 {
		return equal, missing <= reporting
	}
	return max(ownDemand/total, equal), missing <= reporting
}

func (p *Pool) bucketFor(name string, limit Rate, now time.Time) *pooledBucket {
	a := p.accounts[name]
	if a == nil {
		level := initialLevel * limit.Burst
		a = &pooledBucket{rate: limit, since: now, level: level, filledAt: now, growth: newGrowth(), unheardAt: now, credit: level / float64(p.entries), creditAt: now}
		p.accounts[name] = a
	}
	if a.rate != limit {
		a.fill(now)
		a.rate = limit
		a.level = min(a.level, limit.Burst)
	}
	return a
}

// accrueCredit fills the bucket and adds this entry's share of the rate to its credit, up to its
// share of the burst.
func (a *pooledBucket) accrueCredit(now time.Time, share float64) {
	a.fill(now)
	if elapsed := now.Sub(a.creditAt).Seconds(); elapsed > 0 {
		a.credit = min(a.credit+elapsed*a.rate.PerSecond*share, a.rate.Burst*share)
		a.creditAt = now
	}
}

func (a *pooledBucket) fill(now time.Time) {
	if elapsed := now.Sub(a.filledAt).Seconds(); elapsed > 0 {
		a.level = min(a.level+elapsed*a.rate.PerSecond, a.rate.Burst)
		a.filledAt = now
	}
}

// chargeSilentPeers takes the estimated use of entries without recent reports from the buckets.
// Without a quorum, an entry does so for as long as it keeps their state, because they are likely
// to be serving although it cannot reach them.
func (p *Pool) chargeSilentPeers(now time.Time) {
	for id, peer := range p.peers {
		silence := now.Sub(peer.received)
		if silence < time.Second {
			continue
		}
		if silence > peerRetention {
			delete(p.peers, id)
			continue
		}
		if peer.silent = silence > peerSilentTimeout && p.hasQuorum; peer.silent {
			continue
		}
		elapsed := now.Sub(peer.estimatedAt).Seconds()
		if elapsed < 0.1 {
			continue
		}
		peer.estimatedAt = now
		for name, use := range peer.accounts {
			if a := p.accounts[name]; a != nil {
				tokens := a.estimateUse(use, p.entries, elapsed, now)
				a.level -= tokens
				peer.estimated[name] += tokens
			}
		}
	}
}

// chargeUnheard takes the estimated use of entries that have never reported to this one: the same as here, at most an equal
// part of the limit.
func (a *pooledBucket) chargeUnheard(entries, peers int, now time.Time) {
	tokens := min(a.demand.perSecond(now), a.rate.PerSecond/float64(entries)) * now.Sub(a.unheardAt).Seconds()
	a.unheardAt = now
	missing := entries - 1 - peers
	if missing <= 0 {
		// An entry that joins from here on hasn't been charged.
		a.unheard = 0
		return
	}
	a.unheard += tokens
	a.level -= tokens * float64(missing)
}

// estimateUse returns the tokens that another entry has probably spent over a number of seconds, given its last report.
func (a *pooledBucket) estimateUse(use Use, entries int, seconds float64, now time.Time) float64 {
	// All entries together keep to the limit while the bucket is low.
	limited := min(use.Demand, a.rate.PerSecond/float64(entries)) * seconds
	if a.level < shareThreshold*a.rate.Burst {
		return limited
	}
	// Otherwise they admit what is asked of them: the demand there is taken to have changed as it has here, if there is
	// enough of it here to tell.
	change, confidence := a.growth.change(now)
	asked := use.Demand * min(change, 1) * seconds
	if change > 1 {
		asked += use.Demand * (change - 1) * min(seconds, growthPeriod.Seconds())
	}
	return limited + confidence*max(asked-limited, 0)
}

// Report returns this entry's use of all accounts.
func (p *Pool) Report(now time.Time) map[string]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := make(map[string]Use, len(p.accounts))
	for name, a := range p.accounts {
		a.fill(now)
		uses[name] = Use{Spent: a.spent, Demand: a.demand.perSecond(now), Level: a.level}
	}
	return uses
}

// ApplyPeerUse applies the use that another entry reported as of now. boot identifies
// the other entry's incarnation, and began is when that incarnation started.
func (p *Pool) ApplyPeerUse(id, boot string, began time.Time, use map[string]Use, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.peers[id]
	if previous != nil && previous.bootID == boot && previous.received.After(now) {
		return
	}
	for name, reported := range use {
		a := p.accounts[name]
		if a == nil {
			continue
		}
		a.fill(now)
		switch {
		case previous != nil && previous.bootID == boot:
			a.level -= reported.Spent - previous.accounts[name].Spent - previous.estimated[name]
		case !p.levelsAdopted:
			// A process that has just started adopts the bucket levels of the other entries.
			a.level = min(a.level, reported.Level)
		case previous != nil || began.After(p.started.Add(-simultaneousStart)):
			// All of it was spent after this entry started to count, or shortly before.
			a.level -= reported.Spent
			if previous == nil {
				// Its use has been estimated until now.
				a.level += a.unheard
			}
		}
	}
	if len(use) > 0 {
		p.levelsAdopted = true
	}
	p.peers[id] = &peerState{bootID: boot, received: now, estimatedAt: now, accounts: use, estimated: map[string]float64{}}
}
