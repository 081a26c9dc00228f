package logstream_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the race detector can fail an internal check when
// many timers of a synctest bubble fire on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
