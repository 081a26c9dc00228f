package entry

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. The race detector of go1.26 can abort on its own check
// (tsan_rtl.cpp:346) if several processors read the timers of a synctest bubble.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
