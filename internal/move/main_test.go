package move

import (
	"flag"
	"os"
	"runtime"
	"testing"

	// Registers the flag that sets the seed of the property tests.
	_ "pgregory.net/rapid"
)

// TestMain runs the tests on one processor. Goroutines in a synctest bubble are then scheduled in
// the same order in each run, and the race detector of Go 1.26 can fail when the timers of a
// bubble run on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
