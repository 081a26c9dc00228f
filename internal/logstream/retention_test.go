package logstream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// truncateExpired removes records of the configuration stream that are older than the retention,
// until ctx is done.
func truncateExpired(ctx context.Context, cl *cluster, retention time.Duration) {
	const step = time.Minute
	var nexts []uint64
	for ctx.Err() == nil {
		nexts = append(nexts, cl.log.Next(platform.StreamConfig))
		if old := len(nexts) - int(retention/step); old > 0 {
			cl.log.Truncate(platform.StreamConfig, nexts[old-1])
		}
		select {
		case <-time.After(step):
		case <-ctx.Done():
		}
	}
}

// checkStartFromLog checks that a process without peers gets the current state from the log.
func checkStartFromLog(cl *cluster, hour int) {
	cl.isolated.Store(true)
	defer cl.isolated.Store(false)
	fresh := cl.start()
	defer fresh.stop()
	time.Sleep(5 * time.Second)
	cl.c.Assert(fresh.Ready(), qt.IsTrue, qt.Commentf("hour %d", hour))
	want := cl.processes[0].holder.Current()
	if fresh.Offset() == want.GetOffset() {
		cl.c.Assert(proto.Equal(fresh.holder.Current(), want), qt.IsTrue)
	}
	cl.c.Assert(fresh.holder.Current().GetTiers()["top"], qt.IsNotNil)
}

func countSnapshots(records []platform.Record) int {
	count := 0
	for _, record := range records {
		decoded := &configpb.Record{}
		if proto.Unmarshal(record.Data, decoded) == nil && decoded.GetSnapshot() != nil {
			count++
		}
	}
	return count
}

// retentionRun runs processes over a log with a limited retention, with changes in every second
// hour, and returns the number of snapshots.
func retentionRun(t *testing.T, retention time.Duration, changesPerHour, hours int) (snapshots int) {
	cl := newCluster(t, 4)
	defer cl.stop()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { truncateExpired(ctx, cl, retention) })
	defer tasks.Wait()
	defer cancel()
	first, err := cl.processes[0].Submit(t.Context(), putTier("first", "first", 0))
	cl.c.Assert(err, qt.IsNil)
	revision := first.GetOffset()
	seen := cl.log.Next(platform.StreamConfig)
	for hour := range hours {
		for i := range changesPerHour * (hour % 2) {
			name := fmt.Sprintf("op-%d-%d", hour, i)
			entry, err := cl.processes[hour%4].Submit(t.Context(), putTier(name, name, revision))
			cl.c.Assert(err, qt.IsNil)
			revision = entry.GetOffset()
			time.Sleep(time.Hour / time.Duration(changesPerHour+1))
		}
		if hour%2 == 0 {
			time.Sleep(time.Hour)
		}
		checkStartFromLog(cl, hour)
		for _, record := range cl.log.Records(platform.StreamConfig) {
			if record.Offset >= seen {
				snapshots += countSnapshots([]platform.Record{record})
				seen = record.Offset + 1
			}
		}
	}
	oldest, found := config.AuditAt(cl.processes[0].holder.Current(), first.GetOffset())
	cl.c.Assert(found, qt.IsTrue)
	cl.c.Assert(oldest.GetOperationId(), qt.Equals, "first")
	return snapshots
}

// The state, including the audit trail, survives the log's retention: every hour a new process
// can start from the log alone. The number of snapshots is bounded.
func TestStateOutlivesRetention(t *testing.T) {
	for _, run := range []struct {
		retention      time.Duration
		changesPerHour int
		hours          int
		snapshots      int
	}{
		{retention: 6 * time.Hour, changesPerHour: 20, hours: 8, snapshots: 6},
		{retention: 6 * time.Hour, changesPerHour: 0, hours: 12, snapshots: 7},
		{retention: time.Hour, changesPerHour: 0, hours: 4, snapshots: 30},
		{retention: time.Hour, changesPerHour: 60, hours: 4, snapshots: 30},
	} {
		name := fmt.Sprintf("%s/%d", run.retention, run.changesPerHour)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				snapshots := retentionRun(t, run.retention, run.changesPerHour, run.hours)
				t.Logf("%d snapshots in %d h by 4 processes", snapshots, run.hours)
				qt.Assert(t, snapshots <= run.snapshots, qt.IsTrue, qt.Commentf("%d snapshots", snapshots))
			})
		})
	}
}

// The state also survives a log that retains a fixed number of records.
func TestStateOutlivesRetentionByCount(t *testing.T) {
	const kept, changes = 200, 600
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		var revision uint64
		for i := range changes {
			name := fmt.Sprintf("op-%d", i)
			entry, err := cl.processes[i%5].Submit(t.Context(), putTier(name, name, revision))
			cl.c.Assert(err, qt.IsNil)
			revision = entry.GetOffset()
			if next := cl.log.Next(platform.StreamConfig); next > kept {
				cl.log.Truncate(platform.StreamConfig, next-kept)
			}
			time.Sleep(time.Second)
			if i%50 == 49 {
				checkStartFromLog(cl, i)
			}
		}
	})
}

// A process that was cut off for longer than the retention continues from a newer snapshot and
// never returns to an older state.
func TestReaderThatFellBehindTheRetentionGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		tasks.Go(func() { truncateExpired(ctx, cl, 3*time.Hour) })
		defer tasks.Wait()
		defer cancel()
		first, err := cl.processes[0].Submit(t.Context(), putTier("first", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.isolated.Store(true)
		time.Sleep(time.Second)
		cl.processes[2].conn.SetDisconnected(true)
		second, err := cl.processes[0].Submit(t.Context(), putTier("second", "second", first.GetOffset()))
		cl.c.Assert(err, qt.IsNil)
		time.Sleep(6 * time.Hour)
		cl.c.Assert(cl.processes[2].Offset(), qt.Equals, first.GetOffset())
		cl.processes[2].conn.SetDisconnected(false)
		time.Sleep(10 * time.Second)
		cl.c.Assert(cl.processes[2].Offset() >= second.GetOffset(), qt.IsTrue)
		cl.c.Assert(cl.processes[2].holder.Current().GetTiers()["top"].GetDescription(), qt.Equals, "second")
		cl.c.Assert(cl.reversions.Load(), qt.Equals, int64(0))
	})
}
