// Package routing selects the version and the backend server of a request. Its table holds the
// backend servers of the instance list and the loads that they report. It uses no transport,
// starts no goroutine and reads no clock.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// OutputTokenWork is the work of one output token, in prefill-equivalent tokens.
const OutputTokenWork = 8

// Request holds the properties of a request that the choice of a backend server depends on.
type Request struct {
	// ID identifies the attempt; Acknowledge removes it from the work of the chosen server.
	ID      string
	Pool    string
	Version string
	// Rank is the rank of the tier; 0 is the highest.
	Rank         uint32
	PromptTokens uint32
	OutputTokens uint32
	Prefixes     []uint64
	// Budget is the time left until the deadline.
	Budget time.Duration
	// KeepPrefix restricts ChooseAfterRejection to servers that already cache the prefix, if any
	// do.
	KeepPrefix bool
	// Exclude holds the ids of backend servers that may not be chosen.
	Exclude map[string]bool
}

// work returns the work of the request in prefill-equivalent tokens, without the cached prompt
// tokens.
func (r Request) work(cached uint32) uint64 {
	prompt := r.PromptTokens
	if cached < prompt {
		prompt -= cached
	} else {
		prompt = 0
	}
	return uint64(prompt) + OutputTokenWork*uint64(r.OutputTokens)
}

// Options configures a Table.
type Options struct {
	// EntryID is the id of this entry, which determines its subsets.
	EntryID string
	// Seed is the seed of the random choices.
	Seed uint64
}

// Table holds the backend servers of all pools. It is safe for concurrent use.
type Table struct {
	entryID string

	mu     sync.Mutex
	random *rand.Rand
	// lastUsed holds the time of the last choice, by pool.
	lastUsed map[string]time.Time
	// idleRequestedAt is when the load of a pool without requests was last requested.
	idleRequestedAt time.Time
	servers         map[string]*server
	// subsets holds the backend servers that this entry prefers, by pool.
	subsets map[string][]*server
	// others holds the remaining backend servers, by pool.
	others map[string][]*server
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		entryID:  options.EntryID,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		lastUsed: map[string]time.Time{},
		servers:  map[string]*server{},
		subsets:  map[string][]*server{},
		others:   map[string][]*server{},
	}
}

// SetInstances replaces the instance list. A backend server that is missing or leaving gets no
// further work.
func (t *Table) SetInstances(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	updated := make(map[string]*server, len(t.servers))
	entries := 0
	for _, instance := range list {
		if instance.Role == platform.RoleEntry && instance.State != platform.InstanceLeaving {
			entries++
		}
		if instance.Role == platform.RoleSidecar {
			t.addInstance(updated, instance)
		}
	}
	t.servers = updated
	t.subsets, t.others = splitPools(t.entryID, max(entries, 1), updated)
}

func (t *Table) addInstance(updated map[string]*server, instance platform.Instance) {
	for _, backend := range instance.BackendServers {
		existing := t.servers[backend.ID]
		if existing == nil || existing.target.Address != instance.Address {
			existing = newServer(instance, backend)
		}
		existing.pool = backend.Pool
		existing.target.Version = backend.Version
		existing.leaving = instance.State == platform.InstanceLeaving
		if other, ok := updated[backend.ID]; ok && !other.leaving {
			continue
		}
		updated[backend.ID] = existing
	}
}

// Observe stores a load report received with a response.
func (t *Table) Observe(load *lanepb.Load, now time.Time) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[load.GetBackendServer()]; ok {
		s.observe(load, now)
	}
}

// Acknowledge removes an attempt whose sidecar has responded, as the load reports include it from
// then on.
func (t *Table) Acknowledge(backendServer, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[backendServer]; ok {
		s.acknowledge(id)
	}
}

// Fail counts a failure of a backend server or of its sidecar.
func (t *Table) Fail(backendServer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[backendServer]; ok {
		s.ejection.fail(now)
	}
}

// Succeed resets the consecutive failures of a backend server.
func (t *Table) Succeed(backendServer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[backendServer]; ok {
		s.ejection.succeed()
	}
}

// BootID returns the last reported boot id of a backend server's sidecar, or "".
func (t *Table) BootID(backendServer string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[backendServer]; ok {
		return s.load.GetBootId()
	}
	return ""
}

// Usable reports whether a backend server is listed and not leaving.
func (t *Table) Usable(backendServer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[backendServer]
	return ok && !s.leaving
}
