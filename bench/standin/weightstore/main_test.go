package weightstore

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor because the race detector of go1.26 can
// fail an internal check when timers of a synctest bubble fire on several.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
