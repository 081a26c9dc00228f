package claim

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// benchBatch returns an encoded batch like those that entries append.
func benchBatch(number, size int) []byte {
	batch := &configpb.ClaimBatch{Author: "entry-07"}
	for i := range size {
		key := sha256.Sum256([]byte(fmt.Sprint(number, i)))
		batch.Claims = append(batch.Claims, &configpb.Claim{
			KeyHash:        key[:],
			Fingerprint:    key[:],
			DispatchId:     fmt.Sprintf("%032x", key[:16]),
			SidecarAddress: fmt.Sprintf("10.20.30.%d:7400", i%200),
			BootId:         fmt.Sprintf("%016x", i%200),
			BackendServer:  fmt.Sprintf("press-%d", i%200),
			ClaimedUnixMs:  1_800_000_000_000 + int64(number),
		})
	}
	data, _ := proto.Marshal(batch)
	return data
}

func BenchmarkApply(b *testing.B) {
	const size = 100
	t := newTable(time.Hour)
	data := benchBatch(1, size)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	claims := 0
	for i := 0; b.Loop(); i++ {
		batch := &configpb.ClaimBatch{}
		if err := proto.Unmarshal(benchBatch(i, size), batch); err != nil {
			b.Fatal(err)
		}
		for _, claim := range batch.GetClaims() {
			t.apply(claim)
			claims++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claims), "heap-bytes/claim")
	b.ReportMetric(float64(len(data))/size, "log-bytes/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(claims), "ns/claim")
	runtime.KeepAlive(t)
}
