package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// Client accounts: one without a limit, one with, and one whose key changes.
	accountOpen    = "open"
	accountLimited = "limited"
	accountChanged = "changed"

	limitedRate  = 4000
	limitedBurst = 4000
	plainTokens  = 200
)

// keyLife is when a key was put in force and taken away.
type keyLife struct {
	account string
	from    time.Time
	// until is zero while the key is in force.
	until time.Time
}

// manifests are the versions that the operator has written. It is safe for concurrent use.
type manifests struct {
	mu      sync.Mutex
	version int
	keys    map[string]keyLife
	// changedKey is the present key of accountChanged.
	changedKey string
}

// publish writes the next version. Each version has a route of its own and drops that of
// the one before. With newKey set the key of accountChanged is replaced.
func (m *manifests) publish(store *standin.Store, newKey func() string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	if m.keys == nil {
		m.keys = map[string]keyLife{
			"key-open": {account: accountOpen, from: time.Now()}, "key-limited": {account: accountLimited, from: time.Now()},
			"key-0": {account: accountChanged, from: time.Now()},
		}
		m.changedKey = "key-0"
	}
	before := ""
	if newKey != nil {
		before, m.changedKey = m.changedKey, newKey()
		m.keys[m.changedKey] = keyLife{account: accountChanged, from: time.Now()}
	}
	route := func(name, kind, service string, servers, timeout, aim int) standin.Route {
		return standin.Route{Name: name, Host: standin.Host, PathPrefix: "/" + name + "/", Kind: kind, Service: service, MaxServers: servers, TimeoutMS: timeout, ObjectiveMS: aim}
	}
	stream, resumable := route("stream", "streaming", serviceEngine, 1, 4000, 600), route("resume", "streaming", serviceEngine, 2, 4000, 600)
	stream.GapTargetMS, resumable.GapTargetMS, resumable.Resumable = 300, 300, true
	stream.Rank, resumable.Rank = 1, 0
	store.PutManifest(standin.Manifest{
		Version: m.version,
		Routes: []standin.Route{
			route("unsafe", "unsafe", servicePlain, 1, 1500, 300), route("safe", "safe", servicePlain, 2, 1500, 300), stream, resumable,
			route(fmt.Sprint("v", m.version), "unsafe", servicePlain, 1, 1500, 300),
		},
		Services: []standin.Service{{Name: servicePlain}, {Name: serviceEngine, Slots: engineSlots}},
		Accounts: []standin.Account{
			{Name: accountOpen, Keys: []string{"key-open"}, Unit: "token_count", DefaultTokens: plainTokens},
			{Name: accountLimited, Keys: []string{"key-limited"}, Unit: "token_count", DefaultTokens: plainTokens, Rate: limitedRate, Burst: limitedBurst},
			{Name: accountChanged, Keys: []string{m.changedKey}, Unit: "token_count", DefaultTokens: plainTokens},
		},
	})
	if before != "" {
		// The bound counts from the moment at which the store has the new version.
		life := m.keys[before]
		life.until = time.Now()
		m.keys[before] = life
	}
}

// current returns the newest version and the present key of accountChanged.
func (m *manifests) current() (version int, changedKey string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.changedKey
}

func (m *manifests) life(key string) keyLife {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys[key]
}
