package health

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: an internal check of the race detector of Go 1.26 can
// fail when the timers of a synctest bubble fire on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
