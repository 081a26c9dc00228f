package rollout

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// recordTimeout bounds one try to record a state.
	recordTimeout = 700 * time.Millisecond
	// recordRetry is the time between two tries.
	recordRetry = 250 * time.Millisecond
	// lastCall is the time before the deadline from which on a completion is no longer
	// tried: a late one would count as none.
	lastCall = 150 * time.Millisecond
	// activeTurn and finalTurn are how long each entry leaves it to the one before it to
	// record a state, and decideTurn to decide whether requests move.
	activeTurn = time.Second
	finalTurn  = 200 * time.Millisecond
	decideTurn = 300 * time.Millisecond
)

// Run looks at the evidence and takes orders to their end until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			standing := k.options.Standing()
			for _, c := range k.turn(standing, now) {
				go k.record(ctx, c.course, c.state)
			}
		}
	}
}

// due is a state that is to be recorded.
type due struct {
	course *course
	state  State
}

// turn looks at all orders and returns what is to be recorded.
func (k *Keeper) turn(standing Standing, now time.Time) []due {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.standing = standing
	var list []due
	for _, v := range k.services {
		c := v.course
		if c == nil || c.state.Final() {
			continue
		}
		if c.open() {
			c.observeOverdue(now)
			c.seen = c.cover()
			k.tell(c)
			k.look(c, standing, now)
		}
		state, since, each := c.wants(now)
		if state == StateNone || !c.informed || now.Before(c.due) || now.Sub(since) < time.Duration(standing.Rank)*each {
			continue
		}
		c.due = now.Add(recordTimeout)
		list = append(list, due{c, state})
	}
	return list
}

// look judges the target, and decides in time whether requests move to it.
func (k *Keeper) look(c *course, standing Standing, now time.Time) {
	if c.stopped != "" {
		return
	}
	if reason := c.fault(); reason != "" {
		k.stop(c, reason, "evidence")
		return
	}
	if c.moving {
		if now.After(c.deadline().Add(-lastCall)) {
			k.stop(c, "not completed by its time", "clock")
		}
		return
	}
	if now.Sub(c.moveFrom()) < time.Duration(standing.Rank)*decideTurn {
		return
	}
	decision, why := c.proof()
	switch {
	case decision != health.Healthy:
		k.stop(c, "not proven by its time: "+why, "clock")
	case !standing.Quorate:
		k.stop(c, "most other entries are out of reach when it must move", "clock")
	default:
		k.move(c, "evidence: "+why)
	}
}

// move lets requests move to the target.
func (k *Keeper) move(c *course, source string) {
	c.moving = true
	c.planMove(k.options.Bounds, k.standing.Known, time.Now())
	k.options.Logger.Info().Str("service", c.order.Service).Str("target", c.order.Target).Uint64("order", c.order.ID).
		Dur("age_ms", time.Since(c.began)).Uint64("sends", c.sends).Uint64("trials", c.trials).Str("source", source).
		Float64("scale", c.moveScale).Int("running_elsewhere", c.otherFlights()).Dur("completion_in_ms", time.Until(c.completeAt())).Str("outcome", "moving").Msg("roll-out")
}

// wants returns the state that is to be recorded, since when, and how long each entry
// leaves it to the one before.
func (c *course) wants(now time.Time) (state State, since time.Time, each time.Duration) {
	switch {
	case c.idle:
		return StateCompleted, c.began, activeTurn
	case c.stopped != "":
		return StateReverted, c.stoppedAt, finalTurn
	case c.moving && !now.Before(c.completeAt()):
		return StateCompleted, c.completeAt(), finalTurn
	case c.state == StateNone:
		return StateActive, c.began, activeTurn
	}
	return StateNone, now, 0
}

// record records a state, unless the order has ended already.
func (k *Keeper) record(ctx context.Context, c *course, state State) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := k.append(ctx, c, state)
	k.mu.Lock()
	defer k.mu.Unlock()
	c.due = time.Now().Add(recordRetry)
	if err != nil {
		k.options.Logger.Warn().Str("service", c.order.Service).Str("target", c.order.Target).Uint64("order", c.order.ID).
			Str("state", state.String()).Err(err).Str("outcome", "not recorded").Msg("roll-out")
		return
	}
	k.settle(c, recorded, "recorded by this entry or before")
}

// append returns the state that the log holds afterwards.
func (k *Keeper) append(ctx context.Context, c *course, state State) (State, error) {
	current, end, err := k.options.Log.Current(ctx, c.order.Service)
	if err != nil {
		return StateNone, err
	}
	if current.Order > c.order.ID {
		// A later order is under way; this entry will hear of it.
		return StateNone, nil
	}
	if current.of(c.order) && current.State >= state {
		return current.State, nil
	}
	k.mu.Lock()
	record := Record{Service: c.order.Service, Target: c.order.Target, Order: c.order.ID, State: state, Began: c.began}
	k.mu.Unlock()
	// The order of a state that an earlier try got no answer for is settled here: it is
	// in the log by now, or its condition no longer holds.
	return state, k.options.Log.Append(ctx, record, end)
}
