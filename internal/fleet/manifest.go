// Package fleet owns the model of what an entry serves: routes, services, client
// accounts and the backend servers behind them. It knows no transport, no wire
// format and no clock; callers pass the time in.
package fleet

import (
	"crypto/sha256"
	"fmt"
	"net"
	"sort"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind int

// Kinds of a route.
const (
	// KindUnsafe requests run at most once for each client attempt.
	KindUnsafe RouteKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming answers are series of events; they run once unless resumable.
	KindStreaming
)

func (k RouteKind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindStreaming:
		return "streaming"
	}
	return "unsafe"
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route maps a host and a path prefix to a service.
type Route struct {
	Name string
	// Host is without a port, in lower case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// that callers expect.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// FirstEventPatience is how long callers wait for the first event of a stream
	// before they leave; 0: as long as for the whole answer.
	FirstEventPatience time.Duration
	// Rank is the tier: 0 is the highest.
	Rank int
	// MaxServers bounds the backend servers that one request may be sent to.
	MaxServers int
	// Anonymous routes need no API key.
	Anonymous bool
	// PrefixAffinity marks routes whose requests share leading parts of prompts.
	PrefixAffinity bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// MemoryTokens is what running requests and cached prompt parts share.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Rank takes precedence over the route's if HasRank is set.
	Rank    int
	HasRank bool
	// TokensPerSecond and TokenBurst bound the account over all entries; 0 is unlimited.
	TokensPerSecond float64
	TokenBurst      float64
	// DefaultTokens is what a request without a token count uses.
	DefaultTokens int
}

type keyHash [sha256.Size]byte

// ClientLimits bound what callers may send and how long they may take.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Manifest is one version of the configuration, whole. It is immutable.
type Manifest struct {
	Version  int64
	Services map[string]*Service
	Limits   ClientLimits
	// HasAccounts is false when requests need no key.
	HasAccounts bool

	accounts map[keyHash]*Account
	// routes holds the routes of a host, the longest prefix first.
	routes map[string][]*Route
}

// ManifestError says why a manifest can't be used.
type ManifestError struct {
	Version int64
	Problem string
}

func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest version %d: %s", e.Version, e.Problem)
}

// AccountSpec is an account with its keys in clear, as the operator gave them.
type AccountSpec struct {
	Account Account
	Keys    []string
}

// NewManifest checks and indexes a manifest. It fails with *ManifestError.
func NewManifest(version int64, routes []*Route, services []*Service, accounts []AccountSpec, limits ClientLimits) (*Manifest, error) {
	m := &Manifest{
		Version:     version,
		Services:    map[string]*Service{},
		Limits:      limits,
		HasAccounts: len(accounts) > 0,
		accounts:    map[keyHash]*Account{},
		routes:      map[string][]*Route{},
	}
	for _, s := range services {
		m.Services[s.Name] = s
	}
	for _, r := range routes {
		if problem := checkRoute(r, m.Services); problem != "" {
			return nil, &ManifestError{Version: version, Problem: problem}
		}
		r.Host = strings.ToLower(r.Host)
		m.routes[r.Host] = append(m.routes[r.Host], r)
	}
	for _, list := range m.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, spec := range accounts {
		account := spec.Account
		for _, key := range spec.Keys {
			m.accounts[sha256.Sum256([]byte(key))] = &account
		}
	}
	return m, nil
}

func checkRoute(r *Route, services map[string]*Service) string {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return "route " + r.Name + " has the path prefix " + r.PathPrefix
	case len(r.Shares) == 0:
		return "route " + r.Name + " has no service"
	case r.Timeout <= 0:
		return "route " + r.Name + " has no timeout"
	}
	for _, share := range r.Shares {
		if services[share.Service] == nil {
			return "route " + r.Name + " names the unknown service " + share.Service
		}
	}
	return ""
}

// Match returns the route of a request: among those of the host, the one with
// the longest prefix of the path. It returns nil if there is none.
func (m *Manifest) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range m.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key, or nil.
func (m *Manifest) Account(key string) *Account {
	return m.accounts[sha256.Sum256([]byte(key))]
}

// Routes returns the number of routes.
func (m *Manifest) Routes() int {
	n := 0
	for _, list := range m.routes {
		n += len(list)
	}
	return n
}
