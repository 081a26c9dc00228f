package move

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// maxEvidenceWindow is the longest window over which the evidence of a step is evaluated.
const maxEvidenceWindow = 30 * time.Minute

// runUnderLease continues a move from the step recorded in the log while the lease is valid and
// the move is active.
func (d *Driver) runUnderLease(ctx context.Context, id string, lease *logstream.Lease) {
	for lease.Valid() && d.active(id) {
		changed := d.options.Config.Changed()
		d.tick(ctx, id, lease)
		select {
		case <-ctx.Done():
			return
		case <-lease.Done():
			return
		case <-changed:
		case <-time.After(d.timing.Tick):
		}
	}
}

// tick evaluates the move once and performs the action that is due, if any.
func (d *Driver) tick(ctx context.Context, id string, lease *logstream.Lease) {
	state := d.options.Config.Current()
	move := state.GetMoves()[id]
	if !config.MoveActive(move) {
		return
	}
	input := decisionInput{
		now:               time.Now(),
		move:              move,
		timing:            d.timing,
		containmentReason: d.containmentReason(state, move),
	}
	input.health, input.healthReason = d.worstHealth(move)
	next := decide(input)
	if d.overrideAction != nil {
		next = d.overrideAction(input, next)
	}
	switch next.kind {
	case actionLoad, actionUnload:
		next = d.executeOrders(ctx, state, move, lease, next)
	}
	if next.progress != nil {
		d.appendProgress(ctx, lease, next.progress)
	}
}

// containmentReason returns why the new version is contained, or "" if it is not.
func (d *Driver) containmentReason(state *configpb.State, move *configpb.Move) string {
	version := state.GetVersions()[config.VersionKey(move.GetPool(), move.GetToVersion())]
	if version.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
		return "contained: " + version.GetReason()
	}
	if !d.options.Peer.Contained(move.GetPool(), move.GetToVersion(), "") {
		return ""
	}
	for _, notice := range d.options.Peer.Containments() {
		if notice.GetPool() == move.GetPool() && notice.GetVersion() == move.GetToVersion() {
			return "contained: " + notice.GetReason()
		}
	}
	return "contained"
}

// worstHealth returns the worst decision over the routes of a move and its reason, based on
// evidence no older than the step in progress. An idle route is ignored as long as other routes
// have evidence.
func (d *Driver) worstHealth(move *configpb.Move) (worst health.Decision, reason string) {
	window := min(time.Since(time.UnixMilli(move.GetChangedUnixMs())), maxEvidenceWindow)
	insufficient := ""
	worst, reason = health.Undecided, "no route has had requests"
	for _, route := range move.GetRoutes() {
		old := d.options.Evidence.Window(health.Key{Pool: move.GetPool(), Version: move.GetFromVersion(), Route: route}, window)
		new := d.options.Evidence.Window(health.Key{Pool: move.GetPool(), Version: move.GetToVersion(), Route: route}, window)
		verdict := health.Judge(old, new, d.delayTolerance())
		switch {
		case verdict.Decision == health.Faulty:
			return health.Faulty, "route " + route + ", " + verdict.Reason
		case verdict.Decision == health.Undecided && old.GetRequests()+new.GetRequests() > 0:
			insufficient = fmt.Sprintf("route %s has had %d of %d requests", route, new.GetRequests(), d.options.Tolerance.RequiredRequests())
		case verdict.Decision == health.Healthy:
			worst, reason = health.Healthy, ""
		}
	}
	if insufficient != "" {
		return health.Undecided, insufficient
	}
	return worst, reason
}

// delayFalseAlarm bounds the false alarm probability of an evaluation that can only delay a step.
const delayFalseAlarm = 1e-3

// delayTolerance returns the tolerance of evaluations that can delay a step but not contain a
// version.
func (d *Driver) delayTolerance() health.Tolerance {
	t := d.options.Tolerance
	t.FalseAlarm = delayFalseAlarm
	return t
}

// appendProgress appends a step of a move if the lease is valid at this time, and waits until it
// is applied. Failures are only logged, as the next tick starts from the state in the log.
func (d *Driver) appendProgress(ctx context.Context, lease *logstream.Lease, progress *configpb.MoveProgress) {
	if !lease.Valid() {
		return
	}
	progress.Fencing = lease.Fencing()
	record := &configpb.Record{Body: &configpb.Record_Progress{Progress: progress}}
	appendCtx, cancel := context.WithTimeout(ctx, d.timing.LeaseTTL/2)
	defer cancel()
	offset, err := d.options.Log.Append(appendCtx, record)
	if err == nil {
		err = d.options.Log.WaitFor(appendCtx, offset)
	}
	event := d.options.Logger.Info()
	if err != nil {
		event = d.options.Logger.Warn().Err(err)
	}
	event.Str("move", progress.GetMoveId()).Stringer("state", progress.GetState()).Uint32("step", progress.GetStep()).
		Uint32("share_bp", progress.GetShareBp()).Str("reason", progress.GetReason()).Msg("move progress")
	d.metrics.recordProgress(ctx, progress, err)
}
