package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// Client accounts: one without a limit, one with a limit, and one whose key is replaced.
	accountOpen    = "open"
	accountLimited = "limited"
	accountRotated = "changed"

	limitedRate  = 4000
	limitedBurst = 4000
	plainTokens  = 200
)

// keyLifetime is the account of a key and the period in which the key is valid.
type keyLifetime struct {
	account string
	from    time.Time
	// until is zero while the key is valid.
	until time.Time
}

// manifestHistory publishes versions of the manifest and remembers their keys. It is safe for
// concurrent use.
type manifestHistory struct {
	mu      sync.Mutex
	version int
	keys    map[string]keyLifetime
	// rotatedKey is the current key of accountRotated.
	rotatedKey string
}

// publish writes the next version to the store. Each version has its own route and drops that of
// the previous version. If newKey is set, it replaces the key of accountRotated.
func (m *manifestHistory) publish(store *standin.Store, newKey func() string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	if m.keys == nil {
		m.keys = map[string]keyLifetime{
			"key-open": {account: accountOpen, from: time.Now()}, "key-limited": {account: accountLimited, from: time.Now()},
			"key-0": {account: accountRotated, from: time.Now()},
		}
		m.rotatedKey = "key-0"
	}
	replacedKey := ""
	if newKey != nil {
		replacedKey, m.rotatedKey = m.rotatedKey, newKey()
		m.keys[m.rotatedKey] = keyLifetime{account: accountRotated, from: time.Now()}
	}
	route := func(name, kind, service string, maxServers, timeout, objective int) standin.Route {
		return standin.Route{Name: name, Host: standin.Host, PathPrefix: "/" + name + "/", Kind: kind, Service: service, MaxServers: maxServers, TimeoutMS: timeout, ObjectiveMS: objective}
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
			{Name: accountRotated, Keys: []string{m.rotatedKey}, Unit: "token_count", DefaultTokens: plainTokens},
		},
	})
	if replacedKey != "" {
		// The bound on revocation counts from the time at which the store has the new version.
		lifetime := m.keys[replacedKey]
		lifetime.until = time.Now()
		m.keys[replacedKey] = lifetime
	}
}

// current returns the newest version and the current key of accountRotated.
func (m *manifestHistory) current() (version int, rotatedKey string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.rotatedKey
}

func (m *manifestHistory) lifetime(key string) keyLifetime {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys[key]
}
