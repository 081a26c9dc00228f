package move

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// GuardOptions configure a Guard. Config, Log, Evidence and Peer are required.
type GuardOptions struct {
	ID     string
	Config config.View
	// Log learns of containments; it may be down for long.
	Log       Log
	Evidence  Evidence
	Peer      Containments
	Logger    zerolog.Logger
	Meter     metric.Meter
	Timing    Timing
	Tolerance health.Tolerance
}

// Guard contains a faulty version as soon as the evidence at this process
// suffices: here at once, then at the peers, then in the log. It needs no lease.
type Guard struct {
	options          GuardOptions
	timing           Timing
	baselines        map[string]baseline
	containmentCount metric.Int64Counter
}

// guardWindows are the times over which the guard reads evidence: short ones to
// see a fault that has just begun, long ones to see a rare one.
var guardWindows = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute}

const (
	// baselineWindow is the time over which the old version's evidence is read.
	baselineWindow = time.Minute
	// baselineRefreshInterval is the time between two readings of the old version's evidence.
	baselineRefreshInterval = time.Second
	// pairedFalseAlarm is the false alarm bound of the comparison with the old
	// version's evidence over just the same time as the new one's.
	pairedFalseAlarm = 1e-4
	// pairedSliceCount is the number of parts in which it is compared.
	pairedSliceCount = 12
	// minBaselineRequests is the evidence of the old version that makes a baseline,
	// used when the old version gets too few requests to compare with.
	minBaselineRequests = 200
	// unpairedExtraBuckets widens the tolerance of latencies when the old version has
	// too few requests at the same time: the load may have changed since.
	unpairedExtraBuckets = 3
	// toleratedStall is how long a good version may stand still in any window.
	toleratedStall = 700 * time.Millisecond
)

// NewGuard returns a Guard that does nothing before Run.
func NewGuard(options GuardOptions) *Guard {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	containmentCount, _ := options.Meter.Int64Counter("lagoonlane.move.containments",
		metric.WithDescription("Versions that this process contained."))
	return &Guard{
		options: options, timing: options.Timing.withDefaults(),
		baselines: map[string]baseline{}, containmentCount: containmentCount,
	}
}

// Run guards until ctx ends, and returns its error.
func (g *Guard) Run(ctx context.Context) error {
	var recorder sync.WaitGroup
	defer recorder.Wait()
	recorder.Go(func() { g.recordContainments(ctx) })
	for {
		for _, move := range g.options.Config.Current().GetMoves() {
			g.guardMove(ctx, move)
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(g.timing.Tick):
		}
	}
}

// guardMove contains the new version of a move if it is faulty, or late.
func (g *Guard) guardMove(ctx context.Context, move *configpb.Move) {
	if !exposed(move) || g.options.Peer.Contained(move.GetPool(), move.GetToVersion(), "") {
		return
	}
	if overdue(move, time.Now()) {
		g.contain(ctx, move, "", "the move was not finished by its time")
		return
	}
	for _, route := range move.GetRoutes() {
		if reason := g.faultReason(move, []string{route}); reason != "" {
			g.contain(ctx, move, route, reason)
			return
		}
	}
	if len(move.GetRoutes()) == 1 {
		return
	}
	if reason := g.faultReason(move, move.GetRoutes()); reason != "" {
		g.contain(ctx, move, "", reason)
	}
}

// exposed reports whether the new version of a move gets requests, and the old
// one can still take them all back.
func exposed(move *configpb.Move) bool {
	switch move.GetState() {
	case canary, ramping, watching, reversing:
		return !decisionInput{move: move}.unloading()
	}
	return false
}

// overdue reports whether a move that is neither done nor at 100 % has run out of
// time. Every process sees that by itself, so that it holds while the log is down.
func overdue(move *configpb.Move, now time.Time) bool {
	late := !now.Before(time.UnixMilli(move.GetFinishByUnixMs()).Add(-sharePropagationTime))
	return late && move.GetState() != watching && move.GetShareBp() > 0
}

// faultReason returns why the new version is faulty on some routes together, if it is.
func (g *Guard) faultReason(move *configpb.Move, routes []string) string {
	old := evidenceScope{g.options.Evidence, move.GetPool(), move.GetFromVersion(), routes}
	new := evidenceScope{g.options.Evidence, move.GetPool(), move.GetToVersion(), routes}
	observed := health.Seen(new.window(maxEvidenceWindow))
	if observed == 0 {
		return ""
	}
	baseline := g.baseline(old)
	for _, window := range guardWindows {
		tolerance := g.options.Tolerance
		tolerance.StalledPart = health.DefaultStalledPart + toleratedStall.Seconds()/window.Seconds()
		if old.requests(window) < tolerance.Requests() {
			tolerance.SlowBuckets = health.DefaultSlowBuckets + unpairedExtraBuckets
		}
		verdict := health.Judge(baseline.evidence, new.window(window), tolerance.After(observed))
		if verdict.Decision == health.Faulty && g.worseInPairedSlices(old, new, window) {
			return verdict.Reason
		}
	}
	return ""
}

// baseline is what a new version is compared with.
type baseline struct {
	evidence *lanepb.Evidence
	// lastSufficient is the last evidence that was enough.
	lastSufficient *lanepb.Evidence
	readAt         time.Time
}

// baseline returns the old version's evidence over a long window, or the last
// that was enough when it gets too few requests by now. It reads the evidence
// anew once in baselineRefreshInterval.
func (g *Guard) baseline(old evidenceScope) baseline {
	current := g.baselines[old.name()]
	if time.Since(current.readAt) < baselineRefreshInterval {
		return current
	}
	current.readAt = time.Now()
	current.evidence = old.window(baselineWindow)
	switch {
	case current.evidence.GetRequests() >= minBaselineRequests:
		current.lastSufficient = current.evidence
	case current.lastSufficient != nil:
		current.evidence = current.lastSufficient
	}
	g.baselines[old.name()] = current
	return current
}

// worseInPairedSlices reports whether the new version is also worse than the old one over
// the same time, so that what befalls both is no fault of the new one.
func (g *Guard) worseInPairedSlices(old, new evidenceScope, window time.Duration) bool {
	tolerance := g.options.Tolerance
	tolerance.FalseAlarm = pairedFalseAlarm
	return health.WorseAtTheSameTime(old.slices(window), new.slices(window), tolerance)
}

func (g *Guard) contain(ctx context.Context, move *configpb.Move, route, reason string) {
	notice := &lanepb.ContainmentNotice{
		Pool: move.GetPool(), Version: move.GetToVersion(), Route: route, Reason: reason, Reporter: g.options.ID,
	}
	if g.options.Peer.Contain(notice) {
		g.containmentCount.Add(ctx, 1)
	}
}
