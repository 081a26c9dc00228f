package logstream_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Load of one hour in a large deployment: 8,000 changes a day and 8 active moves.
const (
	budgetChanges = 8000 / 24
	budgetMoves   = 8
	budgetTTL     = 10 * time.Second
	// budgetAppends bounds the appends per second, budgetBytes the bytes per second and reader.
	budgetAppends = 5.0
	budgetBytes   = 1000.0
)

// streamUse is the number of appends by kind of record, and the bytes in the stream.
type streamUse struct {
	appends map[string]int
	bytes   int
}

func measureStream(cl *cluster) streamUse {
	use := streamUse{appends: map[string]int{}}
	for _, record := range cl.log.Records(platform.StreamConfig) {
		decoded := &configpb.Record{}
		if err := proto.Unmarshal(record.Data, decoded); err != nil {
			cl.c.Fatal(err)
		}
		use.appends[fmt.Sprintf("%T", decoded.GetBody())]++
		use.bytes += len(record.Data)
	}
	return use
}

func TestStreamStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		var held []*logstream.Lease
		for i := range budgetMoves {
			lease, err := cl.processes[i%5].AcquireLease(t.Context(), fmt.Sprintf("move/m%d", i), budgetTTL)
			cl.c.Assert(err, qt.IsNil)
			held = append(held, lease)
		}
		var revision uint64
		for i := range budgetChanges {
			name := fmt.Sprintf("%016x", i)
			entry, err := cl.processes[i%5].Submit(t.Context(), putTier(name, "a description of usual length, for instance this", revision))
			cl.c.Assert(err, qt.IsNil)
			revision = entry.GetOffset()
			time.Sleep(time.Hour / budgetChanges)
		}
		use := measureStream(cl)
		total := int(cl.log.Next(platform.StreamConfig) - 1)
		t.Logf("appends in an hour: %v; %.2f a second, %.0f bytes a second", use.appends, float64(total)/3600, float64(use.bytes)/3600)
		cl.c.Assert(float64(total)/3600 < budgetAppends, qt.IsTrue)
		cl.c.Assert(float64(use.bytes)/3600 < budgetBytes, qt.IsTrue)
		for _, lease := range held {
			cl.c.Assert(lease.Valid(), qt.IsTrue)
			lease.Release(t.Context())
		}
	})
}
