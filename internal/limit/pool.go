package limit

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerSilentTimeout is how long an entry's last known use is carried on when nothing
	// is heard of it; peerRetention is how long it is remembered what it had spent,
	// as what it spends meanwhile counts when it is heard again.
	peerSilentTimeout = 4 * time.Second
	peerRetention     = time.Minute
	// initialLevel is the part of its burst that a bucket holds in a process that knows
	// nothing of the past.
	initialLevel = 0.25
	// shareThreshold is the part of the burst below which an entry keeps to its share.
	shareThreshold = 0.5
	// simultaneousStart is how much earlier than this one another entry may have started to
	// count as started together with it, such as after a loss of all.
	simultaneousStart = 2 * time.Second
	// maxRetryAfter bounds what a caller over its limit is told to wait.
	maxRetryAfter = 5 * time.Second
)

// Rate is a limit in tokens.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Use is what one entry tells the others of an account.
type Use struct {
	// Spent is the number of tokens of requests admitted since the entry started, less
	// those of requests that did not run.
	Spent float64
	// Demand is the number of tokens asked for in a second, the refused ones included.
	Demand float64
	// Level is what the entry believes to be left in the account's bucket.
	Level float64
}

// Pool holds the token buckets of client accounts, which all entries draw from. Each
// entry counts what all of them have spent, as they tell each other, and keeps to a
// part of what is left by its share of the demand. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	accounts map[string]*pooledBucket
	peers    map[string]*peerState
	// entries is the number of entries that are believed alive, this one included.
	entries int
	// quorate is true while this entry hears most of the entries.
	quorate       bool
	levelsAdopted bool
	// started is when this entry began to count.
	started time.Time
}

// pooledBucket is one account's bucket.
type pooledBucket struct {
	rate     Rate
	level    float64
	filledAt time.Time
	spent    float64
	demand   rate
	// credit is what this entry has saved of its share, at creditAt.
	credit   float64
	creditAt time.Time
}

// peerState is what was heard of another entry.
type peerState struct {
	bootID      string
	received    time.Time
	estimatedAt time.Time
	accounts    map[string]Use
	// silent says that the entry is taken to be gone.
	silent bool
	// estimated is what was taken for it while it was silent, by account.
	estimated map[string]float64
}

// NewPool returns a pool of one entry that begins to count at a moment.
func NewPool(began time.Time) *Pool {
	return &Pool{accounts: map[string]*pooledBucket{}, peers: map[string]*peerState{}, entries: 1, quorate: true, started: began}
}

// SetEntries sets the number of entries alive, this one included, and whether this
// one hears most of them.
func (p *Pool) SetEntries(n int, quorate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !quorate {
		// The others are likely to serve on beyond this entry's sight.
		n = max(n, p.entries)
	}
	p.entries, p.quorate = max(n, 1), quorate
}

// Admit takes the tokens of one request. It fails with *ExceededError.
func (p *Pool) Admit(name string, limit Rate, tokens float64, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.bucketFor(name, limit, now)
	p.chargeSilentPeers(now)
	a.demand.add(tokens, now)
	share, peersKnown := p.share(a, name, now)
	a.accrueCredit(now, share)
	aboveThreshold := p.entries == 1 || (peersKnown && a.level >= shareThreshold*a.rate.Burst)
	if wait := a.wait(share, aboveThreshold); wait > 0 {
		return errors.WithStack(&ExceededError{Account: name, Kind: KindTokens, RetryAfter: min(wait, maxRetryAfter)})
	}
	a.level -= tokens
	a.credit -= tokens
	if aboveThreshold {
		// What is spent while there is plenty is no debt.
		a.credit = max(a.credit, 0)
	}
	a.spent += tokens
	return nil
}

// Refund gives the tokens of a request back that did not run.
func (p *Pool) Refund(name string, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.accounts[name]; a != nil {
		a.spent -= tokens
		a.credit += tokens
		a.level += tokens
	}
}

// wait returns how long until the next request may be admitted; 0: now. Bucket and credit
// may be overdrawn by one request, so that large requests, which are often those of the
// higher tiers, have the same chance as small ones.
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

// share returns this entry's part of the limit, by its part of the demand, and whether it
// has heard of most of the others. Where the demand of the others isn't known, an equal
// part is safe.
func (p *Pool) share(a *pooledBucket, name string, now time.Time) (share float64, peersKnown bool) {
	equal := 1 / float64(p.entries)
	if !p.quorate {
		return equal, false
	}
	own := a.demand.perSecond(now)
	total, reporting := own, 0
	for _, peer := range p.peers {
		if !peer.silent {
			total += peer.accounts[name].Demand
			reporting++
		}
	}
	missing := max(p.entries-1-reporting, 0)
	// Those that have told nothing yet are taken to be like this one.
	total += own * float64(missing)
	if total <= 0 {
		return equal, missing <= reporting
	}
	return max(own/total, equal), missing <= reporting
}

func (p *Pool) bucketFor(name string, limit Rate, now time.Time) *pooledBucket {
	a := p.accounts[name]
	if a == nil {
		level := initialLevel * limit.Burst
		a = &pooledBucket{rate: limit, level: level, filledAt: now, credit: level / float64(p.entries), creditAt: now}
		p.accounts[name] = a
	}
	if a.rate != limit {
		a.fill(now)
		a.rate = limit
		a.level = min(a.level, limit.Burst)
	}
	return a
}

// accrueCredit fills the bucket and adds this entry's share to its credit, up to its share of the
// burst.
func (a *pooledBucket) accrueCredit(now time.Time, share float64) {
	a.fill(now)
	if elapsed := now.Sub(a.creditAt).Seconds(); elapsed > 0 {
		a.credit = min(a.credit+elapsed*a.rate.PerSecond*share, max(a.rate.Burst*share, a.credit))
		a.creditAt = now
	}
}

func (a *pooledBucket) fill(now time.Time) {
	if elapsed := now.Sub(a.filledAt).Seconds(); elapsed > 0 {
		a.level = min(a.level+elapsed*a.rate.PerSecond, a.rate.Burst)
		a.filledAt = now
	}
}

// chargeSilentPeers takes what silent entries are likely to have spent out of the buckets. An
// entry that hears only a few others keeps counting them: they serve beyond its sight.
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
		if peer.silent = silence > peerSilentTimeout && p.quorate; peer.silent {
			continue
		}
		elapsed := now.Sub(peer.estimatedAt).Seconds()
		if elapsed < 0.1 {
			continue
		}
		peer.estimatedAt = now
		for name, use := range peer.accounts {
			if a := p.accounts[name]; a != nil {
				tokens := min(use.Demand, a.rate.PerSecond/float64(p.entries)) * elapsed
				a.level -= tokens
				peer.estimated[name] += tokens
			}
		}
	}
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

// Hear takes the use that another entry told, as of a moment. Boot tells its
// incarnations apart; began is when this one started.
func (p *Pool) Hear(id, boot string, began time.Time, use map[string]Use, now time.Time) {
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
			// A process that has just started takes over what the others know.
			a.level = min(a.level, reported.Level)
		case previous != nil || began.After(p.started.Add(-simultaneousStart)):
			// All of it was spent since this entry began to count, or shortly before.
			a.level -= reported.Spent
		}
	}
	if len(use) > 0 {
		p.levelsAdopted = true
	}
	p.peers[id] = &peerState{bootID: boot, received: now, estimatedAt: now, accounts: use, estimated: map[string]float64{}}
}
