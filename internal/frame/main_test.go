package frame

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20260101")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
