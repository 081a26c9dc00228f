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
	keeper   *Keeper
	versions *versions
	// course is that of the order that was open at the send; nil if there was none.
	course *course
	route  string
	target bool
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
func (k *Keeper) Begin(server fleet.Server, route string) *Flight {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.versions(server.Service)
	now := time.Now()
	f := &Flight{keeper: k, versions: v, route: route, sent: now, cold: now.Before(server.ColdUntil)}
	c := v.course
	if c == nil || !c.open() {
		return f
	}
	f.course, f.target = c, server.Version == c.order.Target
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
	if f.counted || after <= 0 {
		return
	}
	f.counted = true
	if f.cold {
		after = 0
	}
	f.observe(health.Observation{FirstToken: after})
}

// End takes the end of a send as evidence.
func (f *Flight) End(landing Landing) {
	if f == nil {
		return
	}
	f.keeper.mu.Lock()
	defer f.keeper.mu.Unlock()
	took := time.Since(f.sent)
	f.leave(landing)
	if landing.Unsent || landing.Rejected {
		return
	}
	if !f.target {
		f.versions.duration(f.route).add(took)
	}
	if landing.Cut {
		return
	}
	f.first(landing.FirstEvent)
	o := health.Observation{Failed: landing.Failed, BadAnswer: landing.Broken, Partial: f.counted}
	if !f.cold && landing.Events >= minPacedEvents {
		o.InterToken = (took - landing.FirstEvent) / time.Duration(landing.Events-1)
	}
	f.observe(o)
}

// leave takes the flight out of those of its order.
func (f *Flight) leave(landing Landing) {
	if f.course == nil {
		return
	}
	delete(f.course.flights, f)
	if landing.Unsent {
		f.course.sends--
		f.course.routeSends[f.route]--
	}
}

// observe adds to the evidence of the flight's version, on its route and on all.
func (f *Flight) observe(o health.Observation) {
	o.Version = otherVersions
	if f.target {
		o.Version = f.course.order.Target
	}
	for _, route := range []string{f.route, allRoutes} {
		o.Route = route
		f.versions.evidence.Observe(o)
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
func (c *course) observeOverdue(now time.Time) {
	for f := range c.flights {
		if f.counted || f.cold {
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
	key := health.Key{Version: otherVersions, Route: route}
	if target {
		key.Version = c.order.Target
	}
	return key
}
