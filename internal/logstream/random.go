package logstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// random provides jitter and the selection of peers. It is not cryptographically secure.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64) *random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &random{rng: rand.New(rand.NewPCG(seed, 0))}
}

// upTo returns a duration in [0, d).
func (r *random) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(d)))
}

// fraction returns a number in [0, 1).
func (r *random) fraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// withJitter returns a duration in [d/2, d).
func (r *random) withJitter(d time.Duration) time.Duration { return d/2 + r.upTo(d/2) }

// sample returns up to limit random peers.
func (r *random) sample(peers []Puller, limit int) []Puller {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.rng.Perm(len(peers))
	sampled := make([]Puller, 0, min(limit, len(order)))
	for _, i := range order[:min(limit, len(order))] {
		sampled = append(sampled, peers[i])
	}
	return sampled
}
