package logstream

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// snapshotCheckInterval is the time between checks of the newest snapshot's age.
	snapshotCheckInterval = 10 * time.Second
	// snapshotJitterDivisor spreads the processes over 1/4 of the interval, so that usually one
	// process appends a snapshot and the others receive it before they append their own.
	snapshotJitterDivisor = 4
	// maxSnapshotLag is the number of records after which a snapshot is replaced early.
	maxSnapshotLag = 20_000
	// snapshotUrgentJitter is the jitter for snapshots that are replaced early.
	snapshotUrgentJitter = 20 * time.Second
	// minSnapshotInterval bounds the interval from below, however short the log's retention is.
	minSnapshotInterval = time.Minute
	// minRetainedRecords is the number of retained records up to which the position of the
	// snapshot in the log is ignored and only its age counts.
	minRetainedRecords = 16
)

// snapshotInfo describes the newest snapshot in the log.
type snapshotInfo struct {
	offset     uint64
	baseOffset uint64
	takenAt    time.Time
}

func (s *snapshotInfo) update(offset, base uint64, unixMS int64, now time.Time) {
	takenAt := time.UnixMilli(unixMS)
	if takenAt.After(now) {
		takenAt = now
	}
	*s = snapshotInfo{offset: offset, baseOffset: base, takenAt: takenAt}
}

// keepSnapshot appends a snapshot whenever the newest one is due for replacement. Each process
// first waits for a random fraction of the jitter and checks again.
func (c *Client) keepSnapshot(ctx context.Context) {
	sleep(ctx, c.random.upTo(snapshotCheckInterval))
	var dueSince time.Time
	var jitterFraction float64
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case !c.snapshotDue(now):
			dueSince = time.Time{}
		case dueSince.IsZero():
			dueSince = now
			jitterFraction = c.random.fraction()
		case now.Sub(dueSince).Seconds() >= jitterFraction*c.snapshotJitter().Seconds():
			c.appendSnapshot(ctx)
			dueSince = time.Time{}
		}
		sleep(ctx, snapshotCheckInterval)
	}
}

// appendSnapshot appends a snapshot of the current state.
func (c *Client) appendSnapshot(ctx context.Context) {
	state := c.holder.Current()
	body := &configpb.Record_Snapshot{Snapshot: config.ToSnapshot(state)}
	offset, err := c.Append(ctx, &configpb.Record{Body: body})
	if err != nil {
		c.options.Logger.Warn().Err(err).Msg("appending a snapshot failed")
		return
	}
	c.options.Logger.Info().Uint64("offset", offset).Uint64("base", state.GetOffset()).Msg("snapshot appended")
}

// snapshotDue reports whether the newest snapshot has reached its maximum age or must be
// replaced early.
func (c *Client) snapshotDue(now time.Time) bool {
	if !c.Ready() || c.LogDown() {
		return false
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	expired := now.Sub(c.snapshot.takenAt) >= c.snapshotInterval
	return c.Offset() > 0 && (expired || c.snapshotUrgent())
}

// snapshotUrgent reports whether the newest snapshot must be replaced early: it is in the older
// half of the retained records, it was dropped, or more than maxSnapshotLag records follow it.
// The caller holds applyMu.
func (c *Client) snapshotUrgent() bool {
	retained := c.nextOffset - c.firstOffset
	nearTruncation := c.firstOffset > 1 && retained > minRetainedRecords && c.snapshot.offset < c.firstOffset+retained/2
	return nearTruncation || c.snapshotDropped() || c.Offset()-c.snapshot.baseOffset > maxSnapshotLag
}

// snapshotDropped reports whether the log no longer retains all records that follow the newest
// snapshot's state. The caller holds applyMu.
func (c *Client) snapshotDropped() bool { return c.snapshot.baseOffset+1 < c.firstOffset }

// snapshotJitter returns the upper bound of the random wait before a snapshot is appended.
func (c *Client) snapshotJitter() time.Duration {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if c.snapshotUrgent() {
		return snapshotUrgentJitter
	}
	return c.snapshotInterval / snapshotJitterDivisor
}

// adaptSnapshotInterval shortens the snapshot interval if a snapshot was dropped before it was
// replaced, which means that the log's retention is shorter. The caller holds applyMu.
func (c *Client) adaptSnapshotInterval(now time.Time) {
	if c.snapshot.offset == 0 || !c.snapshotDropped() {
		return
	}
	interval := max(now.Sub(c.snapshot.takenAt)/snapshotJitterDivisor, minSnapshotInterval)
	c.snapshotInterval = min(c.snapshotInterval, interval)
}
