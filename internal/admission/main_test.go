package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		_ = flag.Set("rapid.seed", "20260101")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
