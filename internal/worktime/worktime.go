// Package worktime bounds how long a request will take at a backend server, by what the latest requests of its route
// took. A process that stops must know that before it takes one more. The package knows no transport and no clock.
package worktime

import (
	"sync"
	"time"
)

const (
	// samples is the number of requests of a route that are remembered.
	samples = 64
	// margin is how many times longer than the slowest of these a request may take.
	margin = 2
	// maxRoutes bounds the routes with kept state; of further ones nothing is known.
	maxRoutes = 4096
)

// Work is what one request took.
type Work struct {
	// Start is the time to the first event of a stream, or to the whole answer of any other request.
	Start time.Duration
	// Rest is the time from there to the end of the answer.
	Rest time.Duration
	// Tokens is the largest number of tokens that the request allowed, 0 if it named none.
	Tokens int
}

// Estimator learns from the requests of each route. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*route
}

type route struct {
	latest [samples]Work
	count  int
}

// New returns an Estimator that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe learns from a request that was answered.
func (e *Estimator) Observe(name string, work Work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		r = &route{}
		e.routes[name] = r
	}
	r.latest[r.count%samples] = work
	r.count++
}

// Longest returns a time within which a request with at most so many tokens has its whole answer, 0 if nothing is known
// of the route. Answers without a number of tokens count as if they had as many as the request.
func (e *Estimator) Longest(name string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[name]
	if r == nil {
		return 0
	}
	var start, rest time.Duration
	for _, work := range r.latest[:min(r.count, samples)] {
		start = max(start, work.Start)
		scaled := work.Rest
		if work.Tokens > 0 {
			scaled = time.Duration(float64(work.Rest) * float64(tokens) / float64(work.Tokens))
		}
		rest = max(rest, scaled)
	}
	return margin * (start + rest)
}

// Retain forgets the routes for which keep returns false.
func (e *Estimator) Retain(keep func(name string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.routes {
		if !keep(name) {
			delete(e.routes, name)
		}
	}
}
