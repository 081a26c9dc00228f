package peer

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: goroutines in virtual time are then scheduled in the
// same order in each run. With several processors, the race detector of Go 1.26 sometimes fails
// an internal check when timers of one synctest bubble fire concurrently.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
