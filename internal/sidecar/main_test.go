package sidecar

import (
	"flag"
	"runtime"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests unless the command line sets one, and
// checks for leaked goroutines.
//
// Tests run with GOMAXPROCS=1: in a synctest bubble, goroutines that read timers at the
// same time share one race detector context, which makes the race detector of go1.26.8
// fail with "CHECK failed: tsan_rtl.cpp:346". Benchmarks use all processors.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20260101")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("test.bench").Value.String() == "" {
		runtime.GOMAXPROCS(1)
	}
	goleak.VerifyTestMain(m)
}
