package soak_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/bench/soak"
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = map[uint64]string{
	8:  "SIGHUP during the graceful stop ended an entry",
	11: "SIGHUP during the graceful stop ended an entry",
}

// TestSeeds plays two seeds and those that ever failed; make soak plays more.
func TestSeeds(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	c.Assert(deploy.Build(t.Context(), bin, "./cmd/lagoonlane"), qt.IsNil)
	seeds := []uint64{1, 2}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for i, seed := range seeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Seed: seed, Program: filepath.Join(bin, "lagoonlane"), Dir: t.TempDir(), Network: 100 + i,
			Faults: 6, Length: 3 * time.Second,
		})
		c.Assert(err, qt.IsNil)
		t.Log(result)
		c.Check(result.Failed(), qt.IsFalse, qt.Commentf("%v", result))
		c.Check(result.Served > 0, qt.IsTrue)
	}
}
