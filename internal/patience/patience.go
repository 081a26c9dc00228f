// Package patience estimates how long the caller of a request has been waiting already, in attempts that were refused
// before. Callers state in each attempt how much longer they wait; where the callers of a route start with the same
// time, a shorter one tells how long ago the first attempt was. The package knows no transport and no clock.
package patience

import (
	"math"
	"sync"
	"time"
)

const (
	// tolerance is the relative difference up to which two times count as the same.
	tolerance = 0.02
	// minShare is the share of a route's requests that must state its full time for ages to be derived from it.
	// Attempts after the first one are fewer than half unless nearly all are refused.
	minShare = 0.25
	// memory is the number of requests after which an old one has lost most of its weight.
	memory = 200
	// minRequests is the number of requests of a route before ages are derived.
	minRequests = 10
	// maxRoutes bounds the routes with kept state; further ones have no ages.
	maxRoutes = 4096
)

// Estimator learns the full time of each route. It is safe for concurrent use. A nil Estimator knows no ages.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route is what is known of the callers of one route. Counts decay with each request.
type route struct {
	// full is the longest time that callers state, in seconds.
	full float64
	// requests is the number of requests, atFull of those that stated the full time.
	requests, atFull float64
}

// New returns an Estimator that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe learns from a request that states how much longer its caller waits, and returns how long the caller has been
// waiting; 0 if that is unknown.
func (e *Estimator) Observe(name string, stated time.Duration) time.Duration {
	if e == nil || stated <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			return 0
		}
		r = &route{}
		e.routes[name] = r
	}
	return time.Duration(r.observe(stated.Seconds()) * float64(time.Second))
}

func (r *route) observe(stated float64) (age float64) {
	keep := 1 - 1.0/memory
	r.requests, r.atFull = keep*r.requests+1, keep*r.atFull
	switch {
	case math.Abs(stated-r.full) <= tolerance*r.full:
		r.atFull++
		return 0
	case stated > r.full, r.atFull < minShare*r.requests:
		// A longer time than known, or callers that no longer state the known one.
		r.full, r.requests, r.atFull = stated, 1, 1
		return 0
	case r.requests < minRequests:
		return 0
	}
	return r.full - stated
}

// Retain forgets the routes that are no longer configured.
func (e *Estimator) Retain(configured func(name string) bool) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.routes {
		if !configured(name) {
			delete(e.routes, name)
		}
	}
}
