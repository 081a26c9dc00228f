// Package promptmemory estimates what backend servers still hold of the beginnings of prompts, and weighs for each
// request what is saved there against the wait. A server keeps the parts that it has read while it has memory for them;
// the least recently used ones yield. The package knows no transport, and sends nothing.
package promptmemory

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/rendezvous"
)

const (
	// maxParts bounds the parts with known holders, and maxHolders the holders that are kept of each.
	maxParts   = 4096
	maxHolders = 16
	// maxPromptParts bounds the parts of one prompt that are regarded, the first ones.
	maxPromptParts = 256
	// homeShare is the share of the shared parts that a part's home is taken to hold while no holder is known: other
	// processes, whose requests this one doesn't see, send requests with the part there first.
	homeShare = 0.25
	// homeWeight is the weight of every server in the choice of a part's home.
	homeWeight = 1
	// minTurnover bounds the time in which a server's memory is read anew from below.
	minTurnover = 100 * time.Millisecond
)

// Part is one part of a prompt. A kept part is useful only if all parts before it are kept too.
type Part struct {
	ID     string
	Tokens int
}

// Server describes a candidate for a request.
type Server struct {
	Incarnation fleet.Incarnation
	// Wait is the expected time to the first token without any kept part, in seconds.
	Wait float64
	// SecondsPerToken is the time for reading one token of a prompt now; 0 if unknown.
	SecondsPerToken float64
	// MemoryTokens is the memory for prompts and answers; 0 if unknown. HeldTokens are those of running requests.
	MemoryTokens, HeldTokens int
	// TokensPerSecond is the rate at which the server reads prompts, which displaces older parts; 0 if unknown.
	TokensPerSecond float64
	// Usable is cleared for a server whose parts don't count, because it is failing, silent or limited.
	Usable bool
}

// Claim is what a server's memory is worth to a request.
type Claim struct {
	// Tokens is the expected number of tokens that need not be read, Seconds the time that this saves.
	Tokens, Seconds float64
}

// Estimator learns which servers have read which parts. It is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// parts holds the parts that were read last.
	parts *simplelru.LRU[string, part]
}

// part is what is known of the holders of one part: when each server last read it.
type part map[fleet.Incarnation]time.Time

// New returns an Estimator that knows no holders.
func New() *Estimator {
	parts, err := simplelru.NewLRU[string, part](maxParts, nil)
	if err != nil {
		// The only error is a size that is not positive.
		panic(err)
	}
	return &Estimator{parts: parts}
}

// shared returns the parts of a prompt that other requests may share: all but the last one, which belongs to the
// request or its session, if the session is known.
func (e *Estimator) shared(parts []Part) []Part {
	switch {
	case len(parts) == 0:
		return nil
	case len(parts) > maxPromptParts:
		return parts[:maxPromptParts]
	case e.parts.Contains(parts[len(parts)-1].ID):
		return parts
	}
	return parts[:len(parts)-1]
}

// RecordRead records that a server has read the parts of a prompt.
func (e *Estimator) RecordRead(server fleet.Incarnation, parts []Part, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts[:min(len(parts), maxPromptParts)] {
		known, ok := e.parts.Get(p.ID)
		if !ok {
			known = part{}
			e.parts.Add(p.ID, known)
		}
		if _, held := known[server]; !held && len(known) >= maxHolders {
			known.dropOldestHolder()
		}
		known[server] = now
	}
}

func (p part) dropOldestHolder() {
	var oldest fleet.Incarnation
	first := true
	for server, at := range p {
		if first || at.Before(p[oldest]) {
			oldest, first = server, false
		}
	}
	delete(p, oldest)
}

// Forget forgets the parts of a server that has lost its memory.
func (e *Estimator) Forget(server fleet.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.parts.Values() {
		delete(p, server)
	}
}

// Parts returns the number of parts with known holders.
func (e *Estimator) Parts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts.Len()
}

// Claims returns what the memory of each server is worth to a request with the given parts, in the order of the
// servers.
func (e *Estimator) Claims(servers []Server, parts []Part, now time.Time) []Claim {
	claims := make([]Claim, len(servers))
	e.mu.Lock()
	defer e.mu.Unlock()
	shared := e.shared(parts)
	if len(shared) == 0 {
		return claims
	}
	home := e.homeOf(servers, shared)
	for i := range servers {
		s := &servers[i]
		if !s.Usable || s.SecondsPerToken <= 0 {
			continue
		}
		tokens := e.expectedTokens(s, shared, now)
		if i == home {
			tokens = max(tokens, homeShare*float64(totalTokens(shared)))
		}
		claims[i] = Claim{Tokens: tokens, Seconds: tokens * s.SecondsPerToken}
	}
	return claims
}

func totalTokens(parts []Part) (n int) {
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// homeOf returns the index of the server that processes which know no holder of a prompt's beginning choose alike, or
// -1 if a holder is known. The caller holds e.mu.
func (e *Estimator) homeOf(servers []Server, shared []Part) int {
	last := shared[len(shared)-1]
	if known, _ := e.parts.Peek(last.ID); len(known) > 0 {
		return -1
	}
	home, highest := -1, math.Inf(-1)
	for i := range servers {
		if score := rendezvous.Score(last.ID, servers[i].Incarnation.ID, homeWeight); servers[i].Usable && score > highest {
			home, highest = i, score
		}
	}
	return home
}

// expectedTokens returns the expected number of tokens at the beginning of a prompt that a server still holds. The
// caller holds e.mu.
func (e *Estimator) expectedTokens(s *Server, shared []Part, now time.Time) float64 {
	expected, kept := 0.0, 1.0
	for _, p := range shared {
		known, _ := e.parts.Peek(p.ID)
		readAt, held := known[s.Incarnation]
		if !held {
			break
		}
		// A part is useful only with all parts before it.
		kept = min(kept, s.keepProbability(now.Sub(readAt)))
		expected += kept * float64(p.Tokens)
	}
	return expected
}

// keepProbability returns the probability that a part that was last used a time ago is still kept: the server has read
// other tokens since, into the memory that running requests leave.
func (s *Server) keepProbability(unused time.Duration) float64 {
	if s.MemoryTokens <= 0 || s.TokensPerSecond <= 0 {
		return 1
	}
	free := max(s.MemoryTokens-s.HeldTokens, 0)
	turnover := max(float64(free)/s.TokensPerSecond, minTurnover.Seconds())
	return math.Exp(-unused.Seconds() / turnover)
}

// Best returns the index of the server with the shortest expected time to the first token, what its memory saves
// included, or -1 without servers.
func Best(servers []Server, claims []Claim) int {
	best, shortest := -1, math.Inf(1)
	for i, s := range servers {
		if wait := s.Wait - claims[i].Seconds; wait < shortest {
			best, shortest = i, wait
		}
	}
	return best
}
