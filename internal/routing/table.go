// Package routing owns the choice of version and of backend server: a table of
// the backend servers that the instance list shows and of the loads that they
// report. It knows no transport, starts no goroutine and reads no clock.
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

// Request is what the choice of a backend server depends on.
type Request struct {
	// ID names the attempt; Settle takes it back.
	ID      string
	Pool    string
	Version string
	// Rank is the tier's rank: 0 is the highest.
	Rank         uint32
	PromptTokens uint32
	OutputTokens uint32
	Prefixes     []uint64
	// Budget is the time left until the deadline.
	Budget time.Duration
	// KeepPrefix lets ChooseBeforeRefusal make no further copy of a cached prefix.
	KeepPrefix bool
	// Exclude holds the backend servers that may not be chosen.
	Exclude map[string]bool
}

func (r Request) work(cached uint32) uint64 {
	prompt := r.PromptTokens
	if cached < prompt {
		prompt -= cached
	} else {
		prompt = 0
	}
	return uint64(prompt) + OutputTokenWork*uint64(r.OutputTokens)
}

// Options configure a Table.
type Options struct {
	// Self is the id of this entry: it decides the subsets.
	Self string
	// Seed of the random choices.
	Seed uint64
}

// Table knows the backend servers of all pools. It is safe for concurrent use.
type Table struct {
	entryID string

	mu     sync.Mutex
	random *rand.Rand
	// lastUsed holds, by pool, when a backend server was last chosen.
	lastUsed map[string]time.Time
	// idleRequestedAt is when a pool without requests was last asked for a load.
	idleRequestedAt time.Time
	servers         map[string]*server
	// subsets holds, by pool, the backend servers that this entry sends to first.
	subsets map[string][]*server
	// others holds, by pool, the rest.
	others map[string][]*server
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		entryID:  options.Self,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		lastUsed: map[string]time.Time{},
		servers:  map[string]*server{},
		subsets:  map[string][]*server{},
		others:   map[string][]*server{},
	}
}

// SetInstances takes a new instance list. A backend server that is gone or
// leaving gets no new work from then on.
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

// Observe takes a load report that rode on a reply.
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

// Settle says that the sidecar has answered an attempt: its load reports count it.
func (t *Table) Settle(backendServer, id string) {
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

// Succeed ends a run of failures.
func (t *Table) Succeed(backendServer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[backendServer]; ok {
		s.ejection.succeed()
	}
}

// BootID returns the boot id that a backend server's sidecar last reported, or "".
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
