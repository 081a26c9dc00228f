package rollout

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

// allRoutes is the route under which the evidence of all routes together is kept.
const allRoutes = ""

// otherVersions is the version under which the evidence of all versions but the target is kept.
const otherVersions = ""

// minPacedEvents is the number of events from which on a stream tells its pace.
const minPacedEvents = 4

// Flight is one send to a server. All methods accept nil.
type Flight struct {
	controller *Keeper
	versions   *versions
	// progress is that of the order that was open at the send; nil if there was none.
	progress *orderProgress
	route    string
	target   bool
	// cold says that the server was still slow from its start: its times tell nothing.
	cold bool
	sent time.Time
	// counted is set once the send counts in the evidence: at its first event, when that is
	// overdue, or at its end. Failures come sooner than whole answers do; counted at the
	// end only, they would seem more frequent than they are.
	counted bool
}

// Landing is how a send ended.
type Landing struct {
	// Unsent says that nothing reached the server, Rejected that it didn't run the request.
	Unsent, Rejected bool
	// Failed says that the server answered with an error or not at all, Broken that its
	// answer broke off.
	Failed, Broken bool
	// Cut says that the caller or its deadline ended the send.
	Cut        bool
	FirstEvent time.Duration
	Events     int
}

// Begin notes a send.
func (c *Keeper) Begin(server fleet.Server, route string) *Flight {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(server.Service)
	now := time.Now()
	s := &Flight{controller: c, versions: v, route: route, sent: now, cold: now.Before(server.ColdUntil)}
	p := v.progress
	if p == nil || !p.open() {
		return s
	}
	s.progress, s.target = p, server.Version == p.order.Target
	p.sends++
	p.routeSends[route]++
	p.inFlight[s] = true
	c.metrics.countSend(p, s.target)
	return s
}

// First takes the time to the first event as evidence, as soon as it comes.
func (s *Flight) First(elapsed time.Duration) {
	if s == nil {
		return
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	s.observeFirst(elapsed)
}

func (s *Flight) observeFirst(elapsed time.Duration) {
	if s.counted || elapsed <= 0 {
		return
	}
	s.counted = true
	if s.cold {
		elapsed = 0
	}
	s.observe(health.Observation{FirstToken: elapsed})
}

// End takes the end of a send as evidence.
func (s *Flight) End(result Landing) {
	if s == nil {
		return
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	took := time.Since(s.sent)
	s.remove(result)
	if result.Unsent || result.Rejected {
		return
	}
	if !s.target {
		s.versions.duration(s.route).add(took)
	}
	if result.Cut {
		return
	}
	s.observeFirst(result.FirstEvent)
	o := health.Observation{Failed: result.Failed, BadAnswer: result.Broken, Partial: s.counted}
	if !s.cold && result.Events >= minPacedEvents {
		o.InterToken = (took - result.FirstEvent) / time.Duration(result.Events-1)
	}
	s.observe(o)
}

// remove takes the flight out of those of its order.
func (s *Flight) remove(result Landing) {
	if s.progress == nil {
		return
	}
	delete(s.progress.inFlight, s)
	if result.Unsent {
		s.progress.sends--
		s.progress.routeSends[s.route]--
	}
}

// observe adds to the evidence of the flight's version, on its route and on all.
func (s *Flight) observe(o health.Observation) {
	o.Version = otherVersions
	if s.target {
		o.Version = s.progress.order.Target
	}
	for _, route := range []string{s.route, allRoutes} {
		o.Route = route
		s.versions.evidence.Observe(o)
	}
}

func (v *versions) duration(route string) *durations {
	d := v.durations[route]
	if d == nil {
		d = &durations{}
		v.durations[route] = d
	}
	return d
}

// observeOverdue takes the sends that wait for their first event for longer than usual
// as evidence, before their answers come.
func (p *orderProgress) observeOverdue(now time.Time) {
	for s := range p.inFlight {
		if s.counted || s.cold {
			continue
		}
		waited := now.Sub(s.sent)
		if limit, known := health.Overdue(p.evidence.Window(p.evidenceKey(false, s.route), evidenceWindow)); known && waited > limit {
			s.observeFirst(waited)
		}
	}
}

// otherInFlight counts the sends that run at servers of other versions.
func (p *orderProgress) otherInFlight() int {
	n := 0
	for s := range p.inFlight {
		if !s.target {
			n++
		}
	}
	return n
}

func (p *orderProgress) evidenceKey(target bool, route string) health.Key {
	key := health.Key{Version: otherVersions, Route: route}
	if target {
		key.Version = p.order.Target
	}
	return key
}
