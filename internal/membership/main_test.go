package membership

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26 can fail an internal
// check when timers of a synctest bubble fire on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
