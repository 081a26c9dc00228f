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

// Flight is one send to a server during a roll-out. All methods accept nil.
type Flight struct {
	keeper *Keeper
	course *course
	route  string
	target bool
	// cold says that the server was still slow from its start: its times tell nothing.
	cold bool
	sent time.Time
	// firstSeen is set once the time to the first event is part of the evidence.
	firstSeen bool
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

// Begin notes a send. It returns nil when the service has no roll-out.
func (k *Keeper) Begin(server fleet.Server, route string) *Flight {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[server.Service]
	if v == nil || v.course == nil || !v.course.open() {
		return nil
	}
	c := v.course
	now := time.Now()
	f := &Flight{
		keeper: k, course: c, route: route, sent: now,
		target: server.Version == c.order.Target, cold: now.Before(server.ColdUntil),
	}
	c.sends++
	c.routeSends[route]++
	c.flights[f] = true
	k.metrics.sent(c, f.target)
	return f
}

// First takes the time to the first event as evidence, as soon as it comes.
func (f *Flight) First(after time.Duration) {
	if f == nil {
		return
	}
	f.keeper.mu.Lock()
	defer f.keeper.mu.Unlock()
	f.first(after)
}

func (f *Flight) first(after time.Duration) {
	if f.firstSeen || f.cold || after <= 0 {
		return
	}
	f.firstSeen = true
	f.observe(health.Observation{FirstToken: after, Partial: true})
}

// End takes the end of a send as evidence.
func (f *Flight) End(landing Landing) {
	if f == nil {
		return
	}
	f.keeper.mu.Lock()
	defer f.keeper.mu.Unlock()
	c := f.course
	delete(c.flights, f)
	took := time.Since(f.sent)
	switch {
	case landing.Unsent:
		c.sends--
		c.routeSends[f.route]--
		return
	case landing.Rejected:
		return
	}
	if !f.target {
		c.duration(f.route).add(took)
	}
	if landing.Cut {
		return
	}
	f.first(landing.FirstEvent)
	o := health.Observation{Failed: landing.Failed, BadAnswer: landing.Broken}
	if !f.cold && landing.Events >= minPacedEvents {
		o.InterToken = (took - landing.FirstEvent) / time.Duration(landing.Events-1)
	}
	f.observe(o)
}

// observe adds to the evidence of the flight's version, on its route and on all.
func (f *Flight) observe(o health.Observation) {
	o.Pool, o.Version = f.course.order.Service, otherVersions
	if f.target {
		o.Version = f.course.order.Target
	}
	for _, route := range []string{f.route, allRoutes} {
		o.Route = route
		f.course.evidence.Observe(o)
	}
}

func (c *course) duration(route string) *durations {
	d := c.durations[route]
	if d == nil {
		d = &durations{}
		c.durations[route] = d
	}
	return d
}

// observeOverdue takes the sends that wait for their first event for longer than usual
// as evidence, before their answers come.
func (c *course) observeOverdue(now time.Time) {
	for f := range c.flights {
		if f.firstSeen || f.cold {
			continue
		}
		waited := now.Sub(f.sent)
		if limit, known := health.Overdue(c.evidence.Window(c.key(false, f.route), evidenceWindow)); known && waited > limit {
			f.first(waited)
		}
	}
}

// otherFlights counts the sends that run at servers of other versions.
func (c *course) otherFlights() int {
	n := 0
	for f := range c.flights {
		if !f.target {
			n++
		}
	}
	return n
}

func (c *course) key(target bool, route string) health.Key {
	key := health.Key{Pool: c.order.Service, Version: otherVersions, Route: route}
	if target {
		key.Version = c.order.Target
	}
	return key
}
