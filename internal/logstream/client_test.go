package logstream_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func putTier(operation, description string, revision uint64) *configpb.Command {
	return &configpb.Command{
		OperationId:      operation,
		Operator:         operation,
		ExpectedRevision: revision,
		Change:           &configpb.Command_PutTier{PutTier: &configpb.Tier{Name: "top", Description: description}},
	}
}

func TestSubmitReturnsTheDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		first, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		_, err = cl.processes[1].Submit(t.Context(), putTier("op-2", "second", 0))
		var conflict *logstream.ConflictError
		cl.c.Assert(errors.As(err, &conflict), qt.IsTrue)
		cl.c.Assert(conflict.Winner.GetOffset(), qt.Equals, first.GetOffset())
		cl.c.Assert(conflict.Winner.GetOperator(), qt.Equals, "op-1")
		_, err = cl.processes[1].Submit(t.Context(), &configpb.Command{OperationId: "op-3"})
		var refused *logstream.InvalidError
		cl.c.Assert(errors.As(err, &refused), qt.IsTrue)
	})
}

func TestOperationIdOfAnotherChangeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		first, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		again, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(again, qt.Equals, first)
		_, err = cl.processes[0].Submit(t.Context(), &configpb.Command{OperationId: "op-1", Operator: "op-1",
			Change: &configpb.Command_DeleteTier{DeleteTier: "top"}})
		var reused *logstream.OperationReusedError
		cl.c.Assert(errors.As(err, &reused), qt.IsTrue)
	})
}

func TestLostResponseIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.processes[0].conn.LoseAnswers(1)
		entry, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(entry.GetOffset(), qt.Equals, uint64(1))
		cl.c.Assert(cl.log.Next(platform.StreamConfig), qt.Equals, uint64(2))

		cl.processes[0].conn.FailAppends(1)
		entry, err = cl.processes[0].Submit(t.Context(), putTier("op-2", "second", 1))
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(entry.GetOffset(), qt.Equals, uint64(2))
	})
}

func TestSubmitReportsUnknownResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.log.SetDown(true)
		_, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		var unavailable *logstream.LogUnavailableError
		cl.c.Assert(errors.As(err, &unavailable), qt.IsTrue)

		cl.processes[0].conn.FailAppends(1)
		_, err = cl.processes[0].Submit(t.Context(), putTier("op-2", "first", 0))
		var unknown *logstream.ResultUnknownError
		cl.c.Assert(errors.As(err, &unknown), qt.IsTrue)
		cl.c.Assert(unknown.OperationID, qt.Equals, "op-2")
	})
}

// The result of a command stays unknown while its first append may still take effect, even if
// later attempts definitely had no effect.
func TestLateAppendStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		conn := cl.processes[0].conn
		conn.DelayAppends(1, 30*time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			conn.SetAppendsFail(true)
		}()
		_, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		var unknown *logstream.ResultUnknownError
		cl.c.Assert(errors.As(err, &unknown), qt.IsTrue)
		time.Sleep(time.Minute)
		cl.c.Assert(cl.processes[0].holder.Current().GetTiers()["top"], qt.IsNotNil)
	})
}

func TestStartDuringOutageUsesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		_, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.log.SetDown(true)
		started := cl.start()
		cl.c.Assert(started.Ready(), qt.IsFalse)
		cl.add(started)
		time.Sleep(7 * time.Second)
		cl.c.Assert(started.Ready(), qt.IsTrue)
		cl.c.Assert(started.Offset(), qt.Equals, uint64(1))
	})
}

func TestOneLeaseHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		first, err := cl.processes[0].AcquireLease(t.Context(), "move/m1", 8*time.Second)
		cl.c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = cl.processes[1].AcquireLease(ctx, "move/m1", 8*time.Second)
		var held *logstream.LeaseHeldError
		cl.c.Assert(errors.As(err, &held), qt.IsTrue)
		cl.c.Assert(first.Valid(), qt.IsTrue)

		cl.processes[0].conn.SetDisconnected(true)
		second, err := cl.processes[1].AcquireLease(t.Context(), "move/m1", 8*time.Second)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(first.Valid(), qt.IsFalse)
		<-first.Done()
		cl.c.Assert(second.Fencing() > first.Fencing(), qt.IsTrue)
		second.Release(t.Context())
		third, err := cl.processes[1].AcquireLease(t.Context(), "move/m1", 8*time.Second)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(third.Valid(), qt.IsTrue)
	})
}

// A large snapshot must not evict the records that are kept for peers.
func TestSnapshotsAreRelayedWithoutState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		_, err := cl.processes[0].Submit(t.Context(), putTier("op-1", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.processes[1].conn.SetDisconnected(true)
		cl.isolated.Store(true)
		large := &configpb.State{Offset: 1, Audit: []*configpb.AuditEntry{{Detail: strings.Repeat("x", 2<<20)}}}
		data, err := proto.Marshal(&configpb.Record{Body: &configpb.Record_Snapshot{Snapshot: &configpb.Snapshot{State: large}}})
		cl.c.Assert(err, qt.IsNil)
		_, err = cl.processes[0].conn.Append(t.Context(), platform.StreamConfig, data)
		cl.c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		response := cl.processes[0].Records(2, 10)
		cl.c.Assert(response.GetState(), qt.IsNil)
		cl.c.Assert(response.GetRecords(), qt.HasLen, 1)
		cl.c.Assert(len(response.GetRecords()[0].GetData()) < 100, qt.IsTrue)
		cl.isolated.Store(false)
		time.Sleep(7 * time.Second)
		cl.c.Assert(cl.processes[1].Offset(), qt.Equals, uint64(2))
		checkSameStates(cl)
	})
}
