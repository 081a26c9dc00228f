package move

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// containmentAppendTimeout bounds the append of a containment and the wait until it is
	// applied.
	containmentAppendTimeout = 2 * time.Second
	// A process records a containment that its reporter hasn't recorded after minTakeoverDelay
	// and a further delay of less than takeoverDelaySpread.
	minTakeoverDelay    = 4 * time.Second
	takeoverDelaySpread = 16 * time.Second
)

// recordContainments appends containments to the log until ctx ends. The reporter appends its own
// at once. Other processes append it if the log lacks it after a delay, as the reporter may have
// crashed.
func (g *Guard) recordContainments(ctx context.Context) {
	firstSeen := map[string]time.Time{}
	for {
		g.recordDueContainments(ctx, firstSeen)
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.timing.Tick):
		}
	}
}

// recordDueContainments appends the containments that are due. It keeps in firstSeen when this
// process first received each of them.
func (g *Guard) recordDueContainments(ctx context.Context, firstSeen map[string]time.Time) {
	for _, notice := range g.options.Peer.Containments() {
		key := config.VersionKey(notice.GetPool(), notice.GetVersion())
		version := g.options.Config.Current().GetVersions()[key]
		if version == nil || version.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
			delete(firstSeen, key)
			continue
		}
		if firstSeen[key].IsZero() {
			firstSeen[key] = time.Now()
		}
		if notice.GetReporter() == g.options.ID || time.Since(firstSeen[key]) >= g.takeoverDelay(key) {
			g.recordContainment(ctx, notice)
		}
	}
}

// takeoverDelay returns the delay before this process records a containment of another reporter.
// It differs between processes, so that usually just one of them appends it.
func (g *Guard) takeoverDelay(key string) time.Duration {
	return minTakeoverDelay + time.Duration(xxhash.Sum64String(g.options.ID+key)%uint64(takeoverDelaySpread))
}

// recordContainment appends a containment and waits until it is applied. It is retried at each
// tick until the applied configuration contains the version.
func (g *Guard) recordContainment(ctx context.Context, notice *lanepb.ContainmentNotice) {
	appendCtx, cancel := context.WithTimeout(ctx, containmentAppendTimeout)
	defer cancel()
	record := &configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{
		Pool: notice.GetPool(), Version: notice.GetVersion(), Route: notice.GetRoute(),
		Reason: notice.GetReason(), Reporter: notice.GetReporter(),
	}}}
	offset, err := g.options.Log.Append(appendCtx, record)
	if err == nil {
		err = g.options.Log.WaitFor(appendCtx, offset)
	}
	if err != nil {
		g.options.Logger.Debug().Err(err).Str("version", notice.GetVersion()).Msg("append containment failed, retrying at the next tick")
	}
}
