package logstream

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// snapshotCheckInterval is how often the age of the newest snapshot is looked at.
	snapshotCheckInterval = 10 * time.Second
	// snapshotJitterDivisor spreads the processes over 1/4 of SnapshotEvery, so that
	// as a rule one of them appends and the others see it.
	snapshotJitterDivisor = 4
	// maxSnapshotLag is the number of records after which a snapshot is replaced early.
	maxSnapshotLag = 20_000
	// snapshotUrgentJitter spreads the processes when the newest snapshot can't wait.
	snapshotUrgentJitter = 20 * time.Second
	// minSnapshotInterval is the shortest time between snapshots, however short the retention.
	minSnapshotInterval = time.Minute
	// minRetainedRecords is the number of kept records under which only age counts.
	minRetainedRecords = 16
)

// snapshotInfo is what is known of the newest snapshot in the log.
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

// keepSnapshot appends a snapshot whenever the newest one has grown old. Each
// process waits for a random part of the jitter first, and looks again.
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

// appendSnapshot appends the state in force.
func (c *Client) appendSnapshot(ctx context.Context) {
	state := c.holder.Current()
	body := &configpb.Record_Snapshot{Snapshot: config.ToSnapshot(state)}
	offset, err := c.Append(ctx, &configpb.Record{Body: body})
	if err != nil {
		c.options.Logger.Warn().Err(err).Msg("snapshot was not appended")
		return
	}
	c.options.Logger.Info().Uint64("offset", offset).Uint64("base", state.GetOffset()).Msg("snapshot appended")
}

// snapshotDue reports whether the newest snapshot is old, stands in the older
// half of what the log keeps, has been dropped, or has many records after it.
func (c *Client) snapshotDue(now time.Time) bool {
	if !c.Ready() || c.LogDown() {
		return false
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	expired := now.Sub(c.snapshot.takenAt) >= c.snapshotInterval
	return c.Offset() > 0 && (expired || c.snapshotUrgent())
}

// snapshotUrgent reports whether the newest snapshot has to be replaced before
// its time: the log has dropped it or soon will, or many records follow it. The
// caller holds fold.
func (c *Client) snapshotUrgent() bool {
	retained := c.nextOffset - c.firstOffset
	nearTruncation := c.firstOffset > 1 && retained > minRetainedRecords && c.snapshot.offset < c.firstOffset+retained/2
	return nearTruncation || c.snapshotDropped() || c.Offset()-c.snapshot.baseOffset > maxSnapshotLag
}

// snapshotDropped reports whether the log no longer keeps all records that the
// newest snapshot needs. The caller holds fold.
func (c *Client) snapshotDropped() bool { return c.snapshot.baseOffset+1 < c.firstOffset }

// snapshotJitter bounds the random wait before a snapshot is appended.
func (c *Client) snapshotJitter() time.Duration {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if c.snapshotUrgent() {
		return snapshotUrgentJitter
	}
	return c.snapshotInterval / snapshotJitterDivisor
}

// adaptSnapshotInterval makes snapshots more frequent when one was dropped before it
// was replaced: the log keeps records for a shorter time than SnapshotEvery. The caller holds fold.
func (c *Client) adaptSnapshotInterval(now time.Time) {
	if c.snapshot.offset == 0 || !c.snapshotDropped() {
		return
	}
	interval := max(now.Sub(c.snapshot.takenAt)/snapshotJitterDivisor, minSnapshotInterval)
	c.snapshotInterval = min(c.snapshotInterval, interval)
}
