package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// evaluationInterval is the time between two looks at the evidence and the clock.
const evaluationInterval = 200 * time.Millisecond

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
	// membership is the latest; it is read without the lock held, as whoever knows it may
	// call this keeper.
	membership Standing
	// ordersReadUntil is the moment up to which all orders are known; zero: none have been read.
	ordersReadUntil time.Time
}

// New returns a keeper that knows no orders.
func New(options Options) (*Keeper, error) {
	c := &Keeper{options: options, services: map[string]*versions{}}
	var err error
	c.metrics, err = newMetrics(options.Meter, c)
	return c, err
}

func (c *Keeper) serviceVersions(service string) *versions {
	v := c.services[service]
	if v == nil {
		v = newVersions()
		c.services[service] = v
	}
	return v
}

// Ordered takes the newest order of a service.
func (c *Keeper) Ordered(order Order) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setOrder(order, now, now, "store")
}

// OrdersKnown says that all orders that were given before a moment have been told.
func (c *Keeper) OrdersKnown(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.ordersReadUntil) {
		c.ordersReadUntil = until
	}
}

// Withdrawn says that the order of a service is no longer there.
func (c *Keeper) Withdrawn(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.serviceVersions(service).progress; p != nil && p.open() {
		c.contain(p, "the order was withdrawn", "operator")
	}
}

// setOrder takes an order that began at a moment at the latest.
func (c *Keeper) setOrder(order Order, began, now time.Time, source string) *orderProgress {
	v := c.serviceVersions(order.Service)
	if v.progress != nil && v.progress.order.ID >= order.ID {
		return v.progress
	}
	previous := v.progress
	p := newOrderProgress(order, began, v)
	// A process that has read the orders before this one has sent nothing under it.
	p.countedFromStart = !c.ordersReadUntil.IsZero()
	p.stateKnown = p.countedFromStart
	ready := c.options.Ready(order.Service, now)
	v.update(ready, c.ordersReadUntil, now)
	if previous != nil && previous.open() {
		c.supersede(v, previous, p)
	}
	p.noChange = v.trusted[order.Target] && len(otherVersionServers(ready, order.Target)) == 0
	if !p.noChange {
		delete(v.trusted, order.Target)
		delete(v.firstSeen, order.Target)
		delete(v.blocked, order.Target)
	}
	v.progress = p
	c.options.Logger.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).Str("from", source).
		Dur("duration_ms", order.Duration).Dur("age_ms", now.Sub(began)).Int("servers", len(ready)).Int("of_target", len(ready)-len(otherVersionServers(ready, order.Target))).
		Bool("whole", p.countedFromStart).Bool("idle", p.noChange).Bool("stopped", p.stopReason != "").Str("outcome", "ordered").Msg("roll-out")
	return p
}

// supersede lets a new order take the place of one that has not ended. The same target is
// the same trial: its deadline and what is held against it stay.
func (c *Keeper) supersede(v *versions, previous, next *orderProgress) {
	if previous.order.Target != next.order.Target {
		v.block(previous.order.Target, "another version was ordered during its roll-out")
		return
	}
	next.started, next.order.Duration = previous.started, min(previous.order.Duration, next.order.Duration)
	next.stopReason, next.countedFromStart = previous.stopReason, previous.countedFromStart
	next.sends, next.trials, next.routeSends = previous.sends, previous.trials, previous.routeSends
	next.reported, next.peers = previous.reported, previous.peers
}

// Recorded takes the newest record of a service.
func (c *Keeper) Recorded(record Record) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.serviceVersions(record.Service).progress
	if p == nil || !record.matches(p.order) {
		return
	}
	if !p.stateKnown && !record.Began.IsZero() {
		// Only this tells the order's age to a process that started after it, alone.
		age := min(max(now.Sub(record.Began), 0), p.order.Duration)
		p.started = now.Add(-age)
	}
	p.stateKnown = true
	c.applyState(p, record.State, "store")
}

// RecordsKnown says that all records have been told.
func (c *Keeper) RecordsKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.services {
		if v.progress != nil {
			v.progress.stateKnown = true
		}
	}
}

// applyState takes over what is recorded of an order. The first final state stands.
func (c *Keeper) applyState(p *orderProgress, state State, source string) {
	if p.state.Final() || state <= p.state {
		return
	}
	p.state = state
	if state.Final() {
		c.services[p.order.Service].applyFinalState(p)
	}
	c.options.Logger.Info().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Dur("age_ms", time.Since(p.started)).Uint64("sends", p.sends).Uint64("trials", p.trials).Str("source", source).
		Str("outcome", state.String()).Msg("roll-out")
}

// contain lets the target get nothing more, whatever the store says of the order.
func (c *Keeper) contain(p *orderProgress, reason, source string) {
	if p.stopReason != "" {
		return
	}
	p.stopReason, p.stoppedAt = reason, time.Now()
	c.metrics.countContainment(p)
	c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Dur("age_ms", time.Since(p.started)).Uint64("sends", p.sends).Uint64("trials", p.trials).Str("source", source).
		Str("reason", reason).Str("outcome", "contained").Msg("roll-out")
}

func splitByVersion(ready []fleet.Server, target string) (matching, others []fleet.Server) {
	for _, server := range ready {
		if server.Version == target {
			matching = append(matching, server)
			continue
		}
		others = append(others, server)
	}
	return matching, others
}

func otherVersionServers(ready []fleet.Server, target string) []fleet.Server {
	_, others := splitByVersion(ready, target)
	return others
}

// Choice names the servers that one send may go to.
type Choice struct {
	// First are asked first. Rest may take the request when none of First can.
	First, Rest []fleet.Server
	// Patience bounds the wait for a slot at First; 0: as long as the request lasts.
	Patience time.Duration

	controller *Keeper
	// progress is set when First are of a version on trial: the send is counted for it.
	progress *orderProgress
}

// Trial reports whether First are servers of a version on trial.
func (c Choice) Trial() bool { return c.progress != nil }

// Return says that the send goes to none of First.
func (c Choice) Return() {
	if c.progress == nil {
		return
	}
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.progress.trials--
}

// Choose returns the servers for one send of a request. Repeats, sends after the first
// one, go to servers that are known to be good.
func (c *Keeper) Choose(service, route string, ready []fleet.Server, repeat bool, now time.Time) Choice {
	if c == nil {
		return Choice{First: ready}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(service)
	v.update(ready, c.ordersReadUntil, now)
	p := v.progress
	if p == nil || !p.open() {
		return Choice{First: v.trustedServers(ready)}
	}
	target, others := splitByVersion(ready, p.order.Target)
	others = v.trustedServers(others)
	if !p.stateKnown && len(others) == 0 && !now.Before(p.deadline()) {
		// The order has ended, whichever way: the servers that are left are those that stay.
		return Choice{First: target}
	}
	if p.stopReason != "" || !p.stateKnown || len(target) == 0 || !now.Before(p.deadline()) {
		return Choice{First: others}
	}
	entries := c.membership.Known
	if p.mayMove(route, c.options.Bounds, entries, now) {
		p.trials++
		return Choice{First: target, Rest: others, Patience: trialSlotWait, controller: c, progress: p}
	}
	if warm := p.warmServers(target, now); !repeat && len(warm) > 0 && p.mayTry(route, c.options.Bounds, entries) {
		p.trials++
		return Choice{First: warm, Rest: others, Patience: trialSlotWait, controller: c, progress: p}
	}
	return Choice{First: others}
}

// Stopped reports whether a server is of a version that gets nothing more.
func (c *Keeper) Stopped(server fleet.Server) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(server.Service)
	target, onTrial := v.target()
	return v.blocked[server.Version] != "" || (onTrial && server.Version == target && v.progress.stopReason != "")
}

// WhileOpen runs something whenever an order has not ended, until ctx is done.
func (c *Keeper) WhileOpen(ctx context.Context, run func(context.Context) error) error {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	var cancel context.CancelFunc
	var done chan struct{}
	for {
		open := c.anyOpen() && ctx.Err() == nil
		if open && cancel == nil {
			var bounded context.Context
			bounded, cancel = context.WithCancel(ctx)
			ended := make(chan struct{})
			done = ended
			go func() {
				defer close(ended)
				if err := run(bounded); err != nil && bounded.Err() == nil {
					c.options.Logger.Error().Err(err).Msg("the records of roll-outs are no longer read")
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

func (c *Keeper) anyOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.services {
		if v.progress != nil && !v.progress.state.Final() {
			return true
		}
	}
	return false
}
