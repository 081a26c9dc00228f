package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// evaluationInterval is the time between two evaluations of the evidence and the deadlines.
const evaluationInterval = 200 * time.Millisecond

// Options configure a Controller. All fields but Meter are required.
type Options struct {
	ID     string
	Bounds Bounds
	Log    Log
	// Ready returns the servers of a service that accept requests, Registered also those that get none because their
	// data centre is evacuated.
	Ready, Registered func(service string, now time.Time) []fleet.Server
	// Membership returns the rank of this entry and the state of its peers.
	Membership func() Membership
	Logger     zerolog.Logger
	Meter      metric.Meter
}

// Controller limits each version to its share of a service's requests and drives orders to their
// end. It is safe for concurrent use.
type Controller struct {
	options Options
	metrics *metrics

	mu       sync.Mutex
	services map[string]*versions
	// membership is the latest result of Options.Membership, which is called without mu held,
	// because its implementation may call the controller.
	membership Membership
	// ordersReadUntil is the time up to which all orders have been read. If zero, none have
	// been read.
	ordersReadUntil time.Time
	// era is that of the store in which the orders were read.
	era uint64
	// knowsSince is the start of the process, or when the store last came back from an older copy. Orders that ended
	// before then may look open.
	knowsSince time.Time
}

// New returns a controller without orders.
func New(options Options) (*Controller, error) {
	c := &Controller{options: options, services: map[string]*versions{}, knowsSince: time.Now()}
	var err error
	c.metrics, err = newMetrics(options.Meter, c)
	return c, err
}

// serviceVersions returns the versions of a service, created on first use. The caller holds mu.
func (c *Controller) serviceVersions(service string) *versions {
	v := c.services[service]
	if v == nil {
		v = newVersions()
		c.services[service] = v
	}
	return v
}

// maxPastOrders bounds the earlier orders that are kept of a service. A store comes back from a copy that is some
// seconds old, in which few orders are given.
const maxPastOrders = 16

// Rewound sets the era of the store from which the orders are read. If this process knew an earlier era, the store came
// back from an older copy, which may lack the states of the orders: each known state is recorded again by the first entry
// in rank, unless the log still holds it, and an order that looks open may have ended.
func (c *Controller) Rewound(era uint64, known bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = era
	if !known {
		return
	}
	c.knowsSince = now
	for _, v := range c.services {
		clear(v.aliveAt)
		if p := v.progress; p != nil {
			p.aloneSince = time.Time{}
			if p.state != StateNone {
				p.recordLostAt = now
			}
		}
	}
}

// SetOrder sets the newest order of a service.
func (c *Controller) SetOrder(order Order) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setOrder(order, now, now, "store")
}

// MarkOrdersRead records that all orders given before a time have been read and set.
func (c *Controller) MarkOrdersRead(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.ordersReadUntil) {
		c.ordersReadUntil = until
	}
}

// WithdrawOrder contains the target of a service whose order no longer exists.
func (c *Controller) WithdrawOrder(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.serviceVersions(service).progress; p != nil && p.open() {
		c.contain(p, "the order was withdrawn", "operator")
	}
}

// setOrder makes an order that was written by the time began the current one of its service,
// unless the current one has the same or a higher ID. It returns the progress of the current
// order.
func (c *Controller) setOrder(order Order, began, now time.Time, source string) *orderProgress {
	v := c.serviceVersions(order.Service)
	if v.progress != nil && v.progress.order.ID >= order.ID {
		return v.progress
	}
	previous := v.progress
	if previous != nil && v.readAgain(order, now) {
		return v.progress
	}
	p := newOrderProgress(order, began, v)
	// A process that had read all orders before this one has sent nothing to its target yet.
	p.countedFromStart = !c.ordersReadUntil.IsZero()
	p.stateKnown = p.countedFromStart
	ready := c.options.Ready(order.Service, now)
	v.update(ready, c.ordersReadUntil, now)
	if previous != nil && previous.open() {
		c.supersede(v, previous, p, now)
	}
	if c.runsAlready(v, order, now) {
		c.keepRunning(v, p, now)
	} else {
		delete(v.trusted, order.Target)
		delete(v.firstSeen, order.Target)
		delete(v.blocked, order.Target)
		delete(v.superseded, order.Target)
	}
	if previous != nil {
		v.past = append(v.past, previous.order)
		v.past = v.past[max(0, len(v.past)-maxPastOrders):]
	}
	v.progress = p
	c.options.Logger.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).Str("from", source).
		Dur("duration_ms", order.Duration).Dur("age_ms", now.Sub(began)).Int("servers", len(ready)).Int("of_target", len(ready)-len(otherVersionServers(ready, order.Target))).
		Bool("whole", p.countedFromStart).Bool("idle", p.noChange).Bool("stopped", p.stopReason != "").Str("outcome", "ordered").Msg("roll-out")
	return p
}

// supersede lets a new order replace one that has not ended. An order with the same target
// continues the same trial: it keeps the earlier deadline, the counts and the reason for a
// containment.
func (c *Controller) supersede(v *versions, previous, next *orderProgress, now time.Time) {
	if target := previous.order.Target; target != next.order.Target {
		v.block(target, "another version was ordered during its roll-out")
		// From here on the previous order may have been completed, and its end is superseded in the store.
		v.superseded[target] = !now.Before(previous.completeAt())
		return
	}
	next.started, next.order.Duration = previous.started, min(previous.order.Duration, next.order.Duration)
	next.stopReason, next.countedFromStart = previous.stopReason, previous.countedFromStart
	next.sends, next.trials, next.routeSends = previous.sends, previous.trials, previous.routeSends
	next.reported, next.peers = previous.reported, previous.peers
}

// ApplyRecord processes the newest record of a service.
func (c *Controller) ApplyRecord(record Record) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(record.Service)
	p := v.progress
	if p == nil {
		return
	}
	if !record.matches(p.order) {
		c.applyEarlierRecord(v, p, record, now)
		return
	}
	if !p.stateKnown && !record.FirstSeen.IsZero() {
		// For a process that started after the order and has no peers, the record is the only
		// source of the order's age.
		age := min(max(now.Sub(record.FirstSeen), 0), p.order.Duration)
		p.started = now.Add(-age)
	}
	p.stateKnown = true
	c.applyState(p, record.State, "store")
}

// MarkRecordsRead notes that all records have been read, so that the states of all orders are
// known.
func (c *Controller) MarkRecordsRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.services {
		if v.progress != nil {
			v.progress.stateKnown = true
		}
	}
}

// applyState applies a recorded state of an order. The first final state is kept.
func (c *Controller) applyState(p *orderProgress, state State, source string) {
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

// contain stops all further requests to the target, independent of the state in the store.
func (c *Controller) contain(p *orderProgress, reason, source string) {
	if p.stopReason != "" {
		return
	}
	p.stopReason, p.stoppedAt = reason, time.Now()
	c.metrics.countContainment(p)
	c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Dur("age_ms", time.Since(p.started)).Uint64("sends", p.sends).Uint64("trials", p.trials).Str("source", source).
		Str("reason", reason).Str("outcome", "contained").Msg("roll-out")
}

// splitByVersion separates the servers of the target version from the others.
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

// Choice holds the servers to which one send may go.
type Choice struct {
	// Preferred are tried first. Fallback may take the request if none of Preferred can.
	Preferred, Fallback []fleet.Server
	// SlotWait bounds the wait for a slot at Preferred. If 0, only the request's own deadline
	// applies.
	SlotWait time.Duration

	controller *Controller
	// progress is set if Preferred are servers of a version on trial, for which the send is
	// counted.
	progress *orderProgress
}

// Trial reports whether Preferred are servers of a version on trial.
func (c Choice) Trial() bool { return c.progress != nil }

// Release reports that the send uses none of Preferred, so that it does not count as a trial.
func (c Choice) Release() {
	if c.progress == nil {
		return
	}
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.progress.trials--
}

// Choose returns the servers for one send of a request. Repeats, which are sends after the
// first one, are not used as trials. They go to the target only while requests move to it.
func (c *Controller) Choose(service, route string, ready []fleet.Server, repeat bool, now time.Time) Choice {
	if c == nil {
		return Choice{Preferred: ready}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(service)
	v.update(ready, c.ordersReadUntil, now)
	p := v.progress
	if p == nil || !p.open() {
		return Choice{Preferred: v.trustedServers(ready)}
	}
	target, others := splitByVersion(ready, p.order.Target)
	others = v.trustedServers(others)
	if !p.stateKnown && len(others) == 0 && !now.Before(p.deadline()) {
		// The order has ended with either result, and only the servers of the resulting version
		// remain.
		return Choice{Preferred: target}
	}
	if p.stopReason != "" || !p.stateKnown || len(target) == 0 || !now.Before(p.deadline()) {
		return Choice{Preferred: others}
	}
	entries := c.membership.Entries
	if p.mayMove(route, c.options.Bounds, entries, now) {
		p.trials++
		return Choice{Preferred: target, Fallback: others, SlotWait: trialSlotWait, controller: c, progress: p}
	}
	if eligible := p.trialServers(target, now); !repeat && len(eligible) > 0 && p.mayTry(route, c.options.Bounds, entries) {
		p.trials++
		return Choice{Preferred: eligible, Fallback: others, SlotWait: trialSlotWait, controller: c, progress: p}
	}
	return Choice{Preferred: others}
}

// Blocked reports whether a server has a version that gets no more requests.
func (c *Controller) Blocked(server fleet.Server) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.serviceVersions(server.Service)
	target, onTrial := v.target()
	return v.blocked[server.Version] != "" || (onTrial && server.Version == target && v.progress.stopReason != "")
}

// RunWhileOpen calls run whenever an order has not ended and cancels its context when all have,
// until ctx is done.
func (c *Controller) RunWhileOpen(ctx context.Context, run func(context.Context) error) error {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	var cancel context.CancelFunc
	var done chan struct{}
	for {
		open := c.hasOpenOrder() && ctx.Err() == nil
		if open && cancel == nil {
			var bounded context.Context
			bounded, cancel = context.WithCancel(ctx)
			ended := make(chan struct{})
			done = ended
			go func() {
				defer close(ended)
				if err := run(bounded); err != nil && bounded.Err() == nil {
					c.options.Logger.Error().Err(err).Msg("reading roll-out records stopped")
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

func (c *Controller) hasOpenOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.services {
		if v.progress != nil && !v.progress.state.Final() {
			return true
		}
	}
	return false
}
