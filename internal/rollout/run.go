package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// recordTimeout bounds one attempt to record a state.
	recordTimeout = 700 * time.Millisecond
	// recordRetryInterval is the delay between two attempts.
	recordRetryInterval = 250 * time.Millisecond
	// completionCutoff is the time before the deadline after which a completion is no longer
	// attempted, because a completion recorded after the deadline does not count.
	completionCutoff = 150 * time.Millisecond
	// soleVersionTime is how long the servers of one version must be the only ones before no others are expected.
	// Registrations that lapsed in an outage of the store are back sooner.
	soleVersionTime = 3 * time.Second
	// aliveDelay is how long after the start of a process, or a return of the store from an older copy, a server is not
	// yet counted as alive: the platform may just be ending it because of a completion that this process doesn't know.
	aliveDelay = 3 * time.Second
	// activeRankDelay and finalRankDelay are the delays per rank before an entry records a
	// state in place of the entries ranked before it. decideRankDelay is the corresponding
	// delay before it decides whether requests move.
	activeRankDelay = time.Second
	finalRankDelay  = 200 * time.Millisecond
	decideRankDelay = 300 * time.Millisecond
)

// Run evaluates the evidence and drives all orders to their end until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			membership := c.options.Membership()
			for _, pending := range c.evaluate(membership, now) {
				go c.record(ctx, pending)
			}
		}
	}
}

// pendingRecord is a state that is to be recorded.
type pendingRecord struct {
	progress *orderProgress
	state    State
	// era is that of the store when the state was decided. What was known then says nothing about an order in a later
	// era, so the state isn't recorded there.
	era uint64
}

// evaluate evaluates all open orders and returns the states that are to be recorded.
func (c *Controller) evaluate(membership Membership, now time.Time) []pendingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership = membership
	var list []pendingRecord
	for _, v := range c.services {
		p := v.progress
		if p == nil || (p.state.Final() && p.recordLostAt.IsZero()) {
			continue
		}
		c.observeRenewals(v, p, now)
		if p.open() {
			p.observeOverdue(now)
			p.coverage = p.measureCoverage()
			c.updateReportedEvidence(p)
			c.evaluateTarget(v, p, membership, now)
			if !c.hasAlternative(v, p) {
				c.completeIfAlone(v, p, now)
			}
		}
		state, dueSince, rankDelay := p.nextState(now)
		if state == StateReverted && p.recordLostAt.IsZero() && !c.hasAlternative(v, p) {
			c.logUnreverted(p)
			continue
		}
		if state == StateCompleted && !v.mayComplete(p) {
			continue
		}
		if state == StateNone || !p.stateKnown || now.Before(p.nextRecord) || now.Sub(dueSince) < time.Duration(membership.Rank)*rankDelay {
			continue
		}
		p.nextRecord = now.Add(recordTimeout)
		list = append(list, pendingRecord{p, state, c.era})
	}
	return list
}

// hasAlternative reports whether a server of another version than the target was alive since this process has known the
// orders. Otherwise the order may have been completed before, which ends the servers of other versions: a copy from which
// the store came back may lack the completion and list servers that have ended. Reverting the order would then take the
// last servers of the service.
func (c *Controller) hasAlternative(v *versions, p *orderProgress) bool {
	for version, at := range v.aliveAt {
		if version != p.order.Target && at.Sub(c.knowsSince) >= aliveDelay {
			return true
		}
	}
	return false
}

// observeRenewals records the servers that have renewed their registrations as alive.
func (c *Controller) observeRenewals(v *versions, p *orderProgress, now time.Time) {
	for _, server := range c.options.Registered(p.order.Service, now) {
		if server.RenewedAt.After(c.knowsSince) {
			v.recordAlive(server.Version, server.RenewedAt)
		}
	}
}

// completeIfAlone takes an order as completed if no server of another version was known to be alive, and only servers of
// the target are registered for soleVersionTime: there is no version to go back to.
func (c *Controller) completeIfAlone(v *versions, p *orderProgress, now time.Time) {
	target, others := splitByVersion(c.options.Registered(p.order.Service, now), p.order.Target)
	switch {
	case len(others) > 0 || len(target) == 0:
		p.aloneSince = time.Time{}
	case p.aloneSince.IsZero():
		p.aloneSince = now
	case now.Sub(p.aloneSince) >= soleVersionTime:
		p.noChange, p.stopReason = true, ""
		v.trust(p.order.Target)
		c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
			Int("servers", len(target)).Str("reason", "no other version is left").Str("outcome", "taken as completed").Msg("roll-out")
	}
}

// logUnreverted logs, once an order, that its reversal isn't recorded.
func (c *Controller) logUnreverted(p *orderProgress) {
	if p.unrevertedLogged {
		return
	}
	p.unrevertedLogged = true
	c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Str("reason", "no other version is known to be alive").Str("outcome", "not reverted yet").Msg("roll-out")
}

// evaluateTarget contains a faulty target, and decides in time whether requests move to it.
func (c *Controller) evaluateTarget(v *versions, p *orderProgress, membership Membership, now time.Time) {
	if p.stopReason != "" {
		return
	}
	if reason := p.faultReason(now); reason != "" {
		c.contain(p, reason, "evidence")
		return
	}
	if !c.hasAlternative(v, p) {
		// The clock says nothing about an order that may have ended.
		return
	}
	if p.moving {
		if now.After(p.deadline().Add(-completionCutoff)) {
			c.contain(p, "not completed by its time", "clock")
		}
		return
	}
	if now.Sub(p.moveStart()) < time.Duration(membership.Rank)*decideRankDelay {
		return
	}
	decision, why := p.assess(now)
	switch {
	case decision != health.Healthy:
		c.contain(p, "not proven by its time: "+why, "clock")
	case !membership.HasQuorum:
		c.contain(p, "most other entries are out of reach when it must move", "clock")
	default:
		c.startMove(p, "evidence: "+why)
	}
}

// startMove lets requests move to the target.
func (c *Controller) startMove(p *orderProgress, source string) {
	p.moving = true
	p.scaleMove(c.options.Bounds, c.membership.Entries, time.Now())
	c.options.Logger.Info().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Dur("age_ms", time.Since(p.started)).Uint64("sends", p.sends).Uint64("trials", p.trials).Str("source", source).
		Float64("scale", p.moveScale).Int("running_elsewhere", p.otherInFlight()).Dur("completion_in_ms", time.Until(p.completeAt())).Str("outcome", "moving").Msg("roll-out")
}

// nextState returns the state that is to be recorded next, the time since which it is due, and
// the delay per rank before another entry records it. The state is StateNone if there is
// nothing to record.
func (p *orderProgress) nextState(now time.Time) (state State, dueSince time.Time, rankDelay time.Duration) {
	switch {
	case !p.recordLostAt.IsZero():
		return p.state, p.recordLostAt, finalRankDelay
	case p.replacesTrial:
		return StateCompleted, p.keptUntil, activeRankDelay
	case p.noChange:
		return StateCompleted, p.started, activeRankDelay
	case p.stopReason != "":
		return StateReverted, p.stoppedAt, finalRankDelay
	case p.moving && !now.Before(p.completeAt()):
		return StateCompleted, p.completeAt(), finalRankDelay
	case p.state == StateNone:
		return StateActive, p.started, activeRankDelay
	}
	return StateNone, now, 0
}

// record records a state unless the log already holds a final, equal or later state of the order.
func (c *Controller) record(ctx context.Context, pending pendingRecord) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := c.appendRecord(ctx, pending)
	p := pending.progress
	c.mu.Lock()
	defer c.mu.Unlock()
	p.nextRecord = time.Now().Add(recordRetryInterval)
	if err != nil {
		c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
			Str("state", pending.state.String()).Err(err).Str("outcome", "not recorded").Msg("roll-out")
		return
	}
	c.applyState(p, recorded, "recorded by this entry or before")
	p.recordLostAt = time.Time{}
	if c.era != pending.era && p.state != StateNone {
		// The store came back from an older copy meanwhile, which may lack the record.
		p.recordLostAt = time.Now()
	}
}

// appendRecord appends a state and returns the state that the log holds afterwards. It returns
// StateNone if a later order has superseded this one.
func (c *Controller) appendRecord(ctx context.Context, pending pendingRecord) (State, error) {
	p, state := pending.progress, pending.state
	current, end, err := c.options.Log.Current(ctx, p.order.Service)
	if err != nil {
		return StateNone, err
	}
	if end.Era != pending.era {
		return StateNone, errors.WithStack(&EraError{Known: pending.era, Log: end.Era})
	}
	if current.Order > p.order.ID {
		// A later order is in progress and will reach this entry through the store or a peer.
		return StateNone, nil
	}
	if current.matches(p.order) && (current.State.Final() || current.State >= state) {
		// A final state stands, whichever it is: a process that was cut off while another one ended
		// the order adopts it.
		return current.State, nil
	}
	c.mu.Lock()
	if !current.matches(p.order) {
		c.applyEarlierRecord(c.services[p.order.Service], p, current, time.Now())
	}
	if next, _, _ := p.nextState(time.Now()); next != state {
		c.mu.Unlock()
		return StateNone, nil
	}
	record := Record{Service: p.order.Service, Target: p.order.Target, Order: p.order.ID, State: state, FirstSeen: p.started}
	c.mu.Unlock()
	// An earlier attempt whose reply was lost is resolved here: either its record is in the
	// log, which Current returned, or end has changed and its condition no longer holds.
	return state, c.options.Log.Append(ctx, record, end)
}
