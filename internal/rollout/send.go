package rollout

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

// allRoutes is the route name under which the combined evidence of all routes is kept.
const allRoutes = ""

// otherVersions is the version name under which the evidence of all versions except the target
// is kept.
const otherVersions = ""

// minPacedEvents is the minimum number of events from which the pace of a stream is measured.
const minPacedEvents = 4

// Send is one send to a server. All methods accept a nil receiver.
type Send struct {
	controller *Controller
	versions   *versions
	// progress is that of the order that was open at the time of the send, nil if there was
	// none.
	progress *orderProgress
	route    string
	version  string
	target   bool
	// cold is set if the server was still warming up. Its times are not used as evidence.
	cold bool
	sent time.Time
	// counted is set once the send counts in the evidence: at its first event, when the first
	// event is overdue, or at its end. Failures end sooner than complete answers, so counting
	// only at the end would overstate the failure rate.
	counted bool
}

// SendResult is the result of a send.
type SendResult struct {
	// Unsent is set if nothing reached the server, Rejected if the server did not run the
	// request.
	Unsent, Rejected bool
	// Failed is set if the server answered with an error or not at all, Broken if its answer
	// was incomplete.
	Failed, Broken bool
	// Cancelled is set if the caller or its deadline ended the send.
	Cancelled  bool
	FirstEvent time.Duration
	Events     int
}

// BeginSend registers a send to a server. It returns nil on a nil receiver.
func (c *Controller) BeginSend(server fleet.Server, route string) *Send {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(server.Service)
	now := time.Now()
	s := &Send{controller: c, versions: v, route: route, version: server.Version, sent: now, cold: now.Before(server.ColdUntil)}
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

// ObserveFirstEvent records the time to the first event as evidence as soon as the event arrives.
func (s *Send) ObserveFirstEvent(elapsed time.Duration) {
	if s == nil {
		return
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	s.versions.recordAlive(s.version, time.Now())
	s.observeFirst(elapsed)
}

func (s *Send) observeFirst(elapsed time.Duration) {
	if s.counted || elapsed <= 0 {
		return
	}
	s.counted = true
	if s.cold {
		elapsed = 0
	}
	s.observe(health.Observation{FirstToken: elapsed})
}

// End records the result of a send as evidence.
func (s *Send) End(result SendResult) {
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
	if !result.Cancelled && !result.Failed && !result.Broken {
		s.versions.recordAlive(s.version, time.Now())
	}
	if !s.target {
		s.versions.duration(s.route).add(took)
	}
	if result.Cancelled {
		return
	}
	s.observeFirst(result.FirstEvent)
	o := health.Observation{Failed: result.Failed, BadAnswer: result.Broken, Partial: s.counted}
	if !s.cold && result.Events >= minPacedEvents {
		o.InterToken = (took - result.FirstEvent) / time.Duration(result.Events-1)
	}
	s.observe(o)
}

// remove removes the send from those in flight. An unsent one no longer counts as a send.
func (s *Send) remove(result SendResult) {
	if s.progress == nil {
		return
	}
	delete(s.progress.inFlight, s)
	if result.Unsent {
		s.progress.sends--
		s.progress.routeSends[s.route]--
	}
}

// observe adds an observation to the evidence of the send's version, for its route and for all
// routes.
func (s *Send) observe(o health.Observation) {
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

// observeOverdue records sends whose first event is overdue as evidence before their answers
// arrive.
func (p *orderProgress) observeOverdue(now time.Time) {
	for s := range p.inFlight {
		if s.counted || s.cold {
			continue
		}
		waited := now.Sub(s.sent)
		if limit, known := health.OverdueThreshold(p.evidence.Window(p.evidenceKey(false, s.route), evidenceWindow)); known && waited > limit {
			s.observeFirst(waited)
		}
	}
}

// otherInFlight returns the number of sends in flight at servers of other versions.
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
