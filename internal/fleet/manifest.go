// Package fleet models what an entry serves: routes, services, client accounts and the backend
// servers behind them. It depends on no transport, wire format or clock; callers pass the time.
package fleet

import (
	"crypto/sha256"
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// RouteKind determines which requests of a route may be repeated.
type RouteKind int

// Kinds of a route.
const (
	// KindUnsafe requests run at most once for each client attempt.
	KindUnsafe RouteKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered with a stream of events. They run once unless
	// resumable.
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

// Share is the fraction of a route's requests that is sent to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time until a caller is answered.
	Timeout time.Duration
	// Objective is the time within which callers expect the answer, or the first event of a
	// stream.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// FirstEventWait is how long callers wait for the first event of a stream before they
	// disconnect. If 0, it is as long as for the whole answer.
	FirstEventWait time.Duration
	// Rank is the rank of the tier; 0 is the highest.
	Rank int
	// MaxServers is the maximum number of backend servers to which one request may be sent.
	MaxServers int
	// Anonymous routes require no API key.
	Anonymous bool
	// PrefixAffinity is set for routes whose requests have common prompt prefixes.
	PrefixAffinity bool
	// Resumable streams may continue at another backend server.
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
	// MaxConnections is the number of connections that one backend server accepts from all
	// callers together.
	MaxConnections int
	// ColdRequestsPerSecond is the rate of requests from all callers that one backend server tolerates while it is
	// cold; 0 means any.
	ColdRequestsPerSecond float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// MemoryTokens is the memory, in tokens, shared by running requests and cached prompt
	// prefixes.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Rank takes precedence over that of the route if HasRank is set.
	Rank    int
	HasRank bool
	// TokensPerSecond and TokenBurst limit the account over all entries. 0 means unlimited.
	TokensPerSecond float64
	TokenBurst      float64
	// DefaultTokens is the number of tokens charged for a request without a token count.
	DefaultTokens int
}

type keyHash [sha256.Size]byte

// ClientLimits limit the size of requests and the time in which callers must send them.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Manifest is one complete version of the configuration. It is immutable.
type Manifest struct {
	Version  int64
	Services map[string]*Service
	Limits   ClientLimits
	// HasAccounts is false if requests require no key.
	HasAccounts bool

	accounts map[keyHash]*Account
	// routes holds the routes of each host, those with the longest prefixes first.
	routes map[string][]*Route
}

// ManifestError is returned for a manifest that cannot be used.
type ManifestError struct {
	Version int64
	Problem string
}

func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest version %d: %s", e.Version, e.Problem)
}

// AccountSpec is an account with its keys in clear text, as configured by the operator.
type AccountSpec struct {
	Account Account
	Keys    []string
}

// NewManifest validates and indexes a manifest. It returns *ManifestError if it is invalid.
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
		return "route " + r.Name + ": path prefix must begin and end with a slash: " + r.PathPrefix
	case len(r.Shares) == 0:
		return "route " + r.Name + ": no service"
	case r.Timeout <= 0:
		return "route " + r.Name + ": timeout must be positive"
	}
	for _, share := range r.Shares {
		if services[share.Service] == nil {
			return "route " + r.Name + ": unknown service " + share.Service
		}
	}
	return ""
}

// Match returns the route of a request: the one with the longest matching path prefix among
// those of the host. It returns nil if there is none.
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

// Account returns the account that owns a key, or nil.
func (m *Manifest) Account(key string) *Account {
	return m.accounts[sha256.Sum256([]byte(key))]
}

// HasRoute reports whether there is a route of a name.
func (m *Manifest) HasRoute(name string) bool {
	for _, list := range m.routes {
		if slices.ContainsFunc(list, func(r *Route) bool { return r.Name == name }) {
			return true
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (m *Manifest) RouteCount() int {
	n := 0
	for _, list := range m.routes {
		n += len(list)
	}
	return n
}
