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

// GuardOptions configures a Guard. Config, Log, Evidence and Peer are required.
type GuardOptions struct {
	ID     string
	Config config.View
	// Log stores containments. It may be unavailable for long.
	Log       Log
	Evidence  Evidence
	Peer      Containments
	Logger    zerolog.Logger
	Meter     metric.Meter
	Timing    Timing
	Tolerance health.Tolerance
}

// Guard contains a faulty version as soon as the evidence at this process suffices: first
// locally, then at the peers, then in the log. It needs no lease.
type Guard struct {
	options          GuardOptions
	timing           Timing
	baselines        map[string]baseline
	containmentCount metric.Int64Counter
}

// guardWindows are the windows over which the guard evaluates evidence. Short windows detect a
// fault that has just begun, long ones detect a rare fault.
var guardWindows = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute}

const (
	// baselineWindow is the window of the old version's evidence.
	baselineWindow = time.Minute
	// baselineRefreshInterval is the time between two evaluations of the old version's evidence.
	baselineRefreshInterval = time.Second
	// pairedFalseAlarm bounds the false alarm probability of the comparison with the old
	// version's evidence of the same time slices.
	pairedFalseAlarm = 1e-4
	// pairedSliceCount is the number of time slices of this comparison.
	pairedSliceCount = 12
	// minBaselineRequests is the number of requests from which the old version's evidence is kept
	// as a baseline, for the time when it gets too few requests for a comparison.
	minBaselineRequests = 200
	// unpairedExtraBuckets widens the latency tolerance if the old version gets too few requests
	// in the same window, as the load may have changed since its evidence was collected.
	unpairedExtraBuckets = 3
	// toleratedStall is how long a healthy version may stall within any window.
	toleratedStall = 700 * time.Millisecond
)

// NewGuard returns a Guard, which is idle until Run is called.
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

// Run monitors all moves until ctx ends, and returns the error of ctx.
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

// guardMove contains the new version of a move if it is faulty or the move is overdue.
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

// exposed reports whether the new version of a move gets requests and the old version is still
// loaded and can serve all of them.
func exposed(move *configpb.Move) bool {
	switch move.GetState() {
	case canary, ramping, watching, reversing:
		return !decisionInput{move: move}.unloading()
	}
	return false
}

// overdue reports whether the finish time of a move, less sharePropagationTime, has come while
// its share is above 0 and it has not reached the watch step. Every process decides this
// locally, so that it also applies while the log is unavailable.
func overdue(move *configpb.Move, now time.Time) bool {
	late := !now.Before(time.UnixMilli(move.GetFinishByUnixMs()).Add(-sharePropagationTime))
	return late && move.GetState() != watching && move.GetShareBp() > 0
}

// faultReason returns why the new version is faulty on the given routes combined, or "".
func (g *Guard) faultReason(move *configpb.Move, routes []string) string {
	old := evidenceScope{g.options.Evidence, move.GetPool(), move.GetFromVersion(), routes}
	new := evidenceScope{g.options.Evidence, move.GetPool(), move.GetToVersion(), routes}
	observed := health.ObservedRequests(new.window(maxEvidenceWindow))
	if observed == 0 {
		return ""
	}
	baseline := g.baseline(old)
	for _, window := range guardWindows {
		tolerance := g.options.Tolerance
		tolerance.StalledFraction = health.DefaultStalledFraction + toleratedStall.Seconds()/window.Seconds()
		if old.requests(window) < tolerance.RequiredRequests() {
			tolerance.SlowBuckets = health.DefaultSlowBuckets + unpairedExtraBuckets
		}
		verdict := health.Judge(baseline.evidence, new.window(window), tolerance.AfterRequests(observed))
		if verdict.Decision == health.Faulty && g.worseInPairedSlices(old, new, window) {
			return verdict.Reason
		}
	}
	return ""
}

// baseline holds the old version's evidence that a new version is compared with.
type baseline struct {
	evidence *lanepb.Evidence
	// lastSufficient is the latest evidence with at least minBaselineRequests.
	lastSufficient *lanepb.Evidence
	readAt         time.Time
}

// baseline returns the old version's evidence over baselineWindow, or the latest sufficient
// evidence if the version now gets too few requests. The result is cached for
// baselineRefreshInterval.
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

// worseInPairedSlices reports whether the new version is also worse than the old one in the same
// time slices. A fault that affects both versions doesn't count against the new one.
func (g *Guard) worseInPairedSlices(old, new evidenceScope, window time.Duration) bool {
	tolerance := g.options.Tolerance
	tolerance.FalseAlarm = pairedFalseAlarm
	return health.WorseInPairedSlices(old.slices(window), new.slices(window), tolerance)
}

// contain records and distributes the containment of the new version of a move.
func (g *Guard) contain(ctx context.Context, move *configpb.Move, route, reason string) {
	notice := &lanepb.ContainmentNotice{
		Pool: move.GetPool(), Version: move.GetToVersion(), Route: route, Reason: reason, Reporter: g.options.ID,
	}
	if g.options.Peer.Contain(notice) {
		g.containmentCount.Add(ctx, 1)
	}
}
