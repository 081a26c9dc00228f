package limit

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerSilentAfter is how long an entry's last known use is carried on when nothing
	// is heard of it; peerForgottenAfter is how long it is remembered what it had spent,
	// as what it spends meanwhile counts when it is heard again.
	peerSilentAfter    = 4 * time.Second
	peerForgottenAfter = time.Minute
	// startLevel is the part of its burst that a bucket holds in a process that knows
	// nothing of the past.
	startLevel = 0.25
	// lowLevel is the part of the burst below which an entry keeps to its share.
	lowLevel = 0.5
	// startTogether is how much earlier than this one another entry may have started to
	// count as started together with it, such as after a loss of all.
	startTogether = 2 * time.Second
	// longestRetryAfter bounds what a caller over its limit is told to wait.
	longestRetryAfter = 5 * time.Second
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
	accounts map[string]*pooled
	peers    map[string]*peerUse
	// entries is the number of entries that are believed alive, this one included.
	entries int
	// quorate is true while this entry hears most of the entries.
	quorate bool
	adopted bool
	// began is when this entry began to count.
	began time.Time
}

// pooled is one account's bucket.
type pooled struct {
	rate   Rate
	level  float64
	at     time.Time
	spent  float64
	demand rate
	// credit is what this entry has saved of its share, at creditAt.
	credit   float64
	creditAt time.Time
}

// peerUse is what was heard of another entry.
type peerUse struct {
	boot     string
	heard    time.Time
	carried  time.Time
	accounts map[string]Use
	// silent says that the entry is taken to be gone.
	silent bool
	// estimated is what was taken for it while it was silent, by account.
	estimated map[string]float64
}

// NewPool returns a pool of one entry that begins to count at a moment.
func NewPool(began time.Time) *Pool {
	return &Pool{accounts: map[string]*pooled{}, peers: map[string]*peerUse{}, entries: 1, quorate: true, began: began}
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
	a := p.account(name, limit, now)
	p.carry(now)
	a.demand.add(tokens, now)
	share, informed := p.share(a, name, now)
	a.save(now, share)
	plenty := p.entries == 1 || (informed && a.level >= lowLevel*a.rate.Burst)
	if wait := a.wait(share, plenty); wait > 0 {
		return errors.WithStack(&ExceededError{Account: name, Kind: KindTokens, RetryAfter: min(wait, longestRetryAfter)})
	}
	a.level -= tokens
	a.credit -= tokens
	if plenty {
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
func (a *pooled) wait(share float64, plenty bool) time.Duration {
	switch {
	case a.level <= 0:
		return timeFor(1-a.level, a.rate.PerSecond)
	case !plenty && a.credit <= 0:
		return timeFor(1-a.credit, a.rate.PerSecond*share)
	}
	return 0
}

func timeFor(tokens, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return longestRetryAfter
	}
	return max(time.Duration(tokens/perSecond*float64(time.Second)), time.Millisecond)
}

// share returns this entry's part of the limit, by its part of the demand, and whether it
// has heard of most of the others. Where the demand of the others isn't known, an equal
// part is safe.
func (p *Pool) share(a *pooled, name string, now time.Time) (share float64, informed bool) {
	equal := 1 / float64(p.entries)
	if !p.quorate {
		return equal, false
	}
	own := a.demand.perSecond(now)
	total, heard := own, 0
	for _, peer := range p.peers {
		if !peer.silent {
			total += peer.accounts[name].Demand
			heard++
		}
	}
	missing := max(p.entries-1-heard, 0)
	// Those that have told nothing yet are taken to be like this one.
	total += own * float64(missing)
	if total <= 0 {
		return equal, missing <= heard
	}
	return max(own/total, equal), missing <= heard
}

func (p *Pool) account(name string, limit Rate, now time.Time) *pooled {
	a := p.accounts[name]
	if a == nil {
		level := startLevel * limit.Burst
		a = &pooled{rate: limit, level: level, at: now, credit: level / float64(p.entries), creditAt: now}
		p.accounts[name] = a
	}
	if a.rate != limit {
		a.fill(now)
		a.rate = limit
		a.level = min(a.level, limit.Burst)
	}
	return a
}

// save fills the bucket and adds this entry's share to its credit, up to its share of the
// burst.
func (a *pooled) save(now time.Time, share float64) {
	a.fill(now)
	if elapsed := now.Sub(a.creditAt).Seconds(); elapsed > 0 {
		a.credit = min(a.credit+elapsed*a.rate.PerSecond*share, max(a.rate.Burst*share, a.credit))
		a.creditAt = now
	}
}

func (a *pooled) fill(now time.Time) {
	if elapsed := now.Sub(a.at).Seconds(); elapsed > 0 {
		a.level = min(a.level+elapsed*a.rate.PerSecond, a.rate.Burst)
		a.at = now
	}
}

// carry takes what silent entries are likely to have spent out of the buckets. An
// entry that hears only a few others keeps counting them: they serve beyond its sight.
func (p *Pool) carry(now time.Time) {
	for id, peer := range p.peers {
		silent := now.Sub(peer.heard)
		if silent < time.Second {
			continue
		}
		if silent > peerForgottenAfter {
			delete(p.peers, id)
			continue
		}
		if peer.silent = silent > peerSilentAfter && p.quorate; peer.silent {
			continue
		}
		elapsed := now.Sub(peer.carried).Seconds()
		if elapsed < 0.1 {
			continue
		}
		peer.carried = now
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
	all := make(map[string]Use, len(p.accounts))
	for name, a := range p.accounts {
		a.fill(now)
		all[name] = Use{Spent: a.spent, Demand: a.demand.perSecond(now), Level: a.level}
	}
	return all
}

// Hear takes the use that another entry told, as of a moment. Boot tells its
// incarnations apart; began is when this one started.
func (p *Pool) Hear(id, boot string, began time.Time, use map[string]Use, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.peers[id]
	if before != nil && before.boot == boot && before.heard.After(now) {
		return
	}
	for name, told := range use {
		a := p.accounts[name]
		if a == nil {
			continue
		}
		a.fill(now)
		switch {
		case before != nil && before.boot == boot:
			a.level -= told.Spent - before.accounts[name].Spent - before.estimated[name]
		case !p.adopted:
			// A process that has just started takes over what the others know.
			a.level = min(a.level, told.Level)
		case before != nil || began.After(p.began.Add(-startTogether)):
			// All of it was spent since this entry began to count, or shortly before.
			a.level -= told.Spent
		}
	}
	if len(use) > 0 {
		p.adopted = true
	}
	p.peers[id] = &peerUse{boot: boot, heard: now, carried: now, accounts: use, estimated: map[string]float64{}}
}
