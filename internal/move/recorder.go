package move

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// containmentAppendTimeout bounds an append of a containment.
	containmentAppendTimeout = 2 * time.Second
	// minTakeoverDelay is the shortest, and takeoverDelaySpread the longest further time that
	// a process leaves it to the reporter of a containment to tell the log.
	minTakeoverDelay    = 4 * time.Second
	takeoverDelaySpread = 16 * time.Second
)

// recordContainments tells the log of containments until ctx ends. The reporter does
// so at once; others do when the log still doesn't know after a while, as the
// reporter may be gone.
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

// recordDueContainments appends the containments that are due. It notes in known when each
// was first seen here.
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

// takeoverDelay spreads the processes that record in place of the reporter.
func (g *Guard) takeoverDelay(key string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(g.options.ID + key))
	return minTakeoverDelay + time.Duration(h.Sum32())%takeoverDelaySpread
}

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
		g.options.Logger.Debug().Err(err).Str("version", notice.GetVersion()).Msg("containment not yet in the log")
	}
}
