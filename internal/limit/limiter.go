// Package limit enforces the limits of client accounts across all entries: concurrency, requests
// per second and tokens per second. Each entry uses a part of the limit according to its share
// of the demand, which the entries exchange periodically; no request waits for an exchange. The
// package is independent of the transport and starts no goroutines.
//
// Limiter enforces all three limits for package entry. Pool enforces token rates for package
// gateway; its entries track the tokens that all of them have spent.
package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// idleRetention is how long an account without requests is kept.
	idleRetention = time.Minute
	// evictionInterval is the number of new accounts between two evictions of idle accounts.
	evictionInterval = 64
	// concurrencyRetryAfter is the retry delay for requests that exceed the concurrency limit.
	concurrencyRetryAfter = time.Second
)

// Kind identifies a limit.
type Kind string

// Limits of a client account.
const (
	KindConcurrency Kind = "max_concurrent"
	KindRequests    Kind = "requests_per_second"
	KindTokens      Kind = "tokens_per_second"
)

// ExceededError is returned for a request that exceeds a limit of its client account.
type ExceededError struct {
	Account string
	Kind    Kind
	// RetryAfter is the delay before a retry.
	RetryAfter time.Duration
}

func (e *ExceededError) Error() string {
	return "client account " + e.Account + " is over its limit " + string(e.Kind)
}

// PeerUse returns the total use of an account at all other entries.
type PeerUse func(account string) *lanepb.AccountUse

// Options configures a Limiter.
type Options struct {
	// PeerUse returns the use of the other entries; nil if there are none.
	PeerUse PeerUse
	// Seed seeds the random rounding of this entry's share of a limit.
	Seed uint64
}

// Limiter tracks the use of client accounts at one entry and enforces their limits. It is safe
// for concurrent use.
type Limiter struct {
	peerUse PeerUse

	mu       sync.Mutex
	random   *rand.Rand
	entries  int
	accounts map[string]*account
	added    int
}

// New returns a Limiter for one entry.
func New(options Options) *Limiter {
	if options.PeerUse == nil {
		options.PeerUse = func(string) *lanepb.AccountUse { return nil }
	}
	return &Limiter{
		peerUse:  options.PeerUse,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		entries:  1,
		accounts: map[string]*account{},
	}
}

// SetEntries sets the number of live entries, including this one.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// Admit admits a request of an account with its estimated tokens. It returns *ExceededError if
// the request exceeds a limit.
func (l *Limiter) Admit(name string, limits *configpb.AccountLimits, tokens float64, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountFor(name, now)
	a.sampleUse(now)
	a.demand.add(1, now)
	if kind, wait := a.exceeded(limits, l.peerUse(name), l.entries, now); kind != "" {
		return errors.WithStack(&ExceededError{Account: name, Kind: kind, RetryAfter: wait})
	}
	a.running++
	a.requests.take(1)
	a.tokens.take(tokens)
	a.tokenUse.add(tokens, now)
	return nil
}

// Finish ends an admitted request and replaces its estimated tokens by the used ones.
func (l *Limiter) Finish(name string, estimated, used float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountFor(name, now)
	a.running--
	a.tokens.take(used - estimated)
	a.tokenUse.add(used-estimated, now)
}

// Report returns this entry's use of each account that is not idle, for the other entries.
func (l *Limiter) Report(now time.Time) []*lanepb.AccountUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var uses []*lanepb.AccountUse
	for name, a := range l.accounts {
		if a.idle(now) {
			continue
		}
		a.sampleUse(now)
		uses = append(uses, &lanepb.AccountUse{
			Account:           name,
			Running:           uint32(max(a.running, 0)),
			RequestsPerSecond: a.demand.perSecond(now),
			TokensPerSecond:   max(a.tokenUse.perSecond(now), 0),
		})
	}
	return uses
}

func (l *Limiter) accountFor(name string, now time.Time) *account {
	if a, ok := l.accounts[name]; ok {
		return a
	}
	l.added++
	if l.added%evictionInterval == 0 {
		l.evictIdle(now)
	}
	a := &account{random: l.random}
	l.accounts[name] = a
	return a
}

func (l *Limiter) evictIdle(now time.Time) {
	for name, a := range l.accounts {
		if a.idle(now) && now.Sub(a.demand.updated) > idleRetention {
			delete(l.accounts, name)
		}
	}
}
