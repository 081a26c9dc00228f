// Package limit owns the limits of client accounts: concurrency, requests a
// second and tokens a second, which hold over all entries together. Each entry
// takes a part of what is free, by its share of the demand that the entries tell
// each other; no request waits for an exchange. The package knows no transport and
// starts no goroutine.
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
	// idleRetention is how long an account without requests is remembered.
	idleRetention = time.Minute
	// evictionInterval is the number of new accounts between two sweeps.
	evictionInterval = 64
	// concurrencyRetryAfter is when a caller over its concurrency should come back.
	concurrencyRetryAfter = time.Second
)

// Kind names a limit.
type Kind string

// Limits of a client account.
const (
	KindConcurrency Kind = "max_concurrent"
	KindRequests    Kind = "requests_per_second"
	KindTokens      Kind = "tokens_per_second"
)

// ExceededError says that a request is over a limit of its client account.
type ExceededError struct {
	Account string
	Kind    Kind
	// RetryAfter is when a retry makes sense.
	RetryAfter time.Duration
}

func (e *ExceededError) Error() string {
	return "client account " + e.Account + " is over its limit " + string(e.Kind)
}

// PeerUse returns the sum of all other entries' use of an account.
type PeerUse func(account string) *lanepb.AccountUse

// Options configure New.
type Options struct {
	// PeerUse tells the other entries' use; nil: there is no other entry.
	PeerUse PeerUse
	// Seed of the random rounding of this entry's part of a limit.
	Seed uint64
}

// Limiter holds the use of the client accounts at one entry. It is safe for
// concurrent use.
type Limiter struct {
	peerUse PeerUse

	mu       sync.Mutex
	random   *rand.Rand
	entries  int
	accounts map[string]*account
	added    int
}

// New returns a limiter of one entry.
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

// SetEntries sets the number of live entries, this one included.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// Admit counts a request of an account in, with its estimated tokens. It fails
// with *ExceededError.
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

// Finish counts an admitted request out, and corrects its tokens by what it used.
func (l *Limiter) Finish(name string, estimated, used float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountFor(name, now)
	a.running--
	a.tokens.take(used - estimated)
	a.tokenUse.add(used-estimated, now)
}

// Report returns this entry's use, for the other entries.
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
