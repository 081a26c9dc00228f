package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// tick is the time between two looks at the evidence and the clock.
const tick = 200 * time.Millisecond

// Options configure a Keeper. All but Meter are required.
type Options struct {
	ID     string
	Bounds Bounds
	Log    Log
	// Ready returns the servers of a service that take requests.
	Ready func(service string, now time.Time) []fleet.Server
	// Standing returns this entry's place among the entries.
	Standing func() Standing
	Logger   zerolog.Logger
	Meter    metric.Meter
}

// Keeper keeps each version to its share of a service's requests and takes orders to
// their end. It is safe for concurrent use.
type Keeper struct {
	options Options
	metrics *metrics

	mu       sync.Mutex
	services map[string]*versions
	// standing is the latest; it is read without the lock held, as whoever knows it may
	// call this keeper.
	standing Standing
	// known is the moment up to which all orders are known; zero: none have been read.
	known time.Time
}

// New returns a keeper that knows no orders.
func New(options Options) (*Keeper, error) {
	k := &Keeper{options: options, services: map[string]*versions{}}
	var err error
	k.metrics, err = newMetrics(options.Meter, k)
	return k, err
}

func (k *Keeper) versions(service string) *versions {
	v := k.services[service]
	if v == nil {
		v = newVersions()
		k.services[service] = v
	}
	return v
}

// Ordered takes the newest order of a service.
func (k *Keeper) Ordered(order Order) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordered(order, now, now, "store")
}

// OrdersKnown says that all orders that were given before a moment have been told.
func (k *Keeper) OrdersKnown(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until.After(k.known) {
		k.known = until
	}
}

// Withdrawn says that the order of a service is no longer there.
func (k *Keeper) Withdrawn(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.versions(service).course; c != nil && c.open() {
		k.stop(c, "the order was withdrawn", "operator")
	}
}

// ordered takes an order that began at a moment at the latest.
func (k *Keeper) ordered(order Order, began, now time.Time, from string) *course {
	v := k.versions(order.Service)
	if v.course != nil && v.course.order.ID >= order.ID {
		return v.course
	}
	before := v.course
	c := newCourse(order, began, v)
	// A process that has read the orders before this one has sent nothing under it.
	c.whole = !k.known.IsZero()
	c.informed = c.whole
	ready := k.options.Ready(order.Service, now)
	v.see(ready, k.known, now)
	if before != nil && before.open() {
		k.replace(v, before, c)
	}
	c.idle = v.trusted[order.Target] && len(othersOf(ready, order.Target)) == 0
	if !c.idle {
		delete(v.trusted, order.Target)
		delete(v.fresh, order.Target)
		delete(v.blocked, order.Target)
	}
	v.course = c
	k.options.Logger.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).Str("from", from).
		Dur("duration_ms", order.Duration).Dur("age_ms", now.Sub(began)).Int("servers", len(ready)).Int("of_target", len(ready)-len(othersOf(ready, order.Target))).
		Bool("whole", c.whole).Bool("idle", c.idle).Bool("stopped", c.stopped != "").Str("outcome", "ordered").Msg("roll-out")
	return c
}

// replace lets a new order take the place of one that has not ended. The same target is
// the same trial: its deadline and what is held against it stay.
func (k *Keeper) replace(v *versions, before, next *course) {
	if before.order.Target != next.order.Target {
		v.block(before.order.Target, "another version was ordered during its roll-out")
		return
	}
	next.began, next.order.Duration = before.began, min(before.order.Duration, next.order.Duration)
	next.stopped, next.whole = before.stopped, before.whole
	next.sends, next.trials, next.routeSends = before.sends, before.trials, before.routeSends
	next.told, next.peers = before.told, before.peers
}

// Recorded takes the newest record of a service.
func (k *Keeper) Recorded(record Record) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.versions(record.Service).course
	if c == nil || !record.of(c.order) {
		return
	}
	if !c.informed && !record.Began.IsZero() {
		// Only this tells the order's age to a process that started after it, alone.
		age := min(max(now.Sub(record.Began), 0), c.order.Duration)
		c.began = now.Add(-age)
	}
	c.informed = true
	k.settle(c, record.State, "store")
}

// RecordsKnown says that all records have been told.
func (k *Keeper) RecordsKnown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.services {
		if v.course != nil {
			v.course.informed = true
		}
	}
}

// settle takes over what is recorded of an order. The first final state stands.
func (k *Keeper) settle(c *course, state State, source string) {
	if c.state.Final() || state <= c.state {
		return
	}
	c.state = state
	if state.Final() {
		k.services[c.order.Service].ended(c)
	}
	k.options.Logger.Info().Str("service", c.order.Service).Str("target", c.order.Target).Uint64("order", c.order.ID).
		Dur("age_ms", time.Since(c.began)).Uint64("sends", c.sends).Uint64("trials", c.trials).Str("source", source).
		Str("outcome", state.String()).Msg("roll-out")
}

// stop lets the target get nothing more, whatever the store says of the order.
func (k *Keeper) stop(c *course, why, source string) {
	if c.stopped != "" {
		return
	}
	c.stopped, c.stoppedAt = why, time.Now()
	k.metrics.stopped(c)
	k.options.Logger.Warn().Str("service", c.order.Service).Str("target", c.order.Target).Uint64("order", c.order.ID).
		Dur("age_ms", time.Since(c.began)).Uint64("sends", c.sends).Uint64("trials", c.trials).Str("source", source).
		Str("reason", why).Str("outcome", "contained").Msg("roll-out")
}

func split(ready []fleet.Server, target string) (of, others []fleet.Server) {
	for _, server := range ready {
		if server.Version == target {
			of = append(of, server)
			continue
		}
		others = append(others, server)
	}
	return of, others
}

func othersOf(ready []fleet.Server, target string) []fleet.Server {
	_, others := split(ready, target)
	return others
}

// Choice names the servers that one send may go to.
type Choice struct {
	// First are asked first. Rest may take the request when none of First can.
	First, Rest []fleet.Server
	// Patience bounds the wait for a slot at First; 0: as long as the request lasts.
	Patience time.Duration

	keeper *Keeper
	// course is set when First are of a version on trial: the send is counted for it.
	course *course
}

// Trial reports whether First are servers of a version on trial.
func (c Choice) Trial() bool { return c.course != nil }

// Return says that the send goes to none of First.
func (c Choice) Return() {
	if c.course == nil {
		return
	}
	c.keeper.mu.Lock()
	defer c.keeper.mu.Unlock()
	c.course.trials--
}

// Choose returns the servers for one send of a request. Repeats, sends after the first
// one, go to servers that are known to be good.
func (k *Keeper) Choose(service, route string, ready []fleet.Server, repeat bool, now time.Time) Choice {
	if k == nil {
		return Choice{First: ready}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.versions(service)
	v.see(ready, k.known, now)
	c := v.course
	if c == nil || !c.open() {
		return Choice{First: v.usual(ready)}
	}
	target, others := split(ready, c.order.Target)
	others = v.usual(others)
	if !c.informed && len(others) == 0 && !now.Before(c.deadline()) {
		// The order has ended, whichever way: the servers that are left are those that stay.
		return Choice{First: target}
	}
	if c.stopped != "" || !c.informed || len(target) == 0 || !now.Before(c.deadline()) {
		return Choice{First: others}
	}
	entries := k.standing.Known
	if c.mayMove(route, k.options.Bounds, entries, now) {
		c.trials++
		return Choice{First: target, Rest: others, Patience: trialPatience, keeper: k, course: c}
	}
	if warm := c.warm(target, now); !repeat && len(warm) > 0 && c.mayTry(route, k.options.Bounds, entries) {
		c.trials++
		return Choice{First: warm, Rest: others, Patience: trialPatience, keeper: k, course: c}
	}
	return Choice{First: others}
}

// Stopped reports whether a server is of a version that gets nothing more.
func (k *Keeper) Stopped(server fleet.Server) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.versions(server.Service)
	target, onTrial := v.target()
	return v.blocked[server.Version] != "" || (onTrial && server.Version == target && v.course.stopped != "")
}

// WhileOpen runs something whenever an order has not ended, until ctx is done.
func (k *Keeper) WhileOpen(ctx context.Context, run func(context.Context) error) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var cancel context.CancelFunc
	var done chan struct{}
	for {
		open := k.anyOpen() && ctx.Err() == nil
		if open && cancel == nil {
			var bounded context.Context
			bounded, cancel = context.WithCancel(ctx)
			ended := make(chan struct{})
			done = ended
			go func() {
				defer close(ended)
				if err := run(bounded); err != nil && bounded.Err() == nil {
					k.options.Logger.Error().Err(err).Msg("the records of roll-outs are no longer read")
				}
			}()
		}
		if !open && cancel != nil {
			cancel()
			<-done
			cancel = nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (k *Keeper) anyOpen() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.services {
		if v.course != nil && !v.course.state.Final() {
			return true
		}
	}
	return false
}
