package deputy_test

import (
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: see docs/LIMITS.md on virtual time under the race
// detector.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}
