package soak_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/bench/soak"
)

// reloads lists the kinds of faults that make reloads overlap with shutdowns and starts.
var reloads = []string{"entry terminated", "entry reloaded", "entry terminated amid reloads", "sidecar reloaded", "sidecar terminated amid reloads"}

// regressions lists seeds that have failed, each with its kinds of faults and the cause.
var regressions = []struct {
	seed  uint64
	kinds []string
	cause string
}{
	{8, reloads, "SIGHUP during the graceful stop ended an entry"},
	{11, reloads, "SIGHUP during the graceful stop ended a sidecar"},
}

// TestSeeds runs two seeds and those that have failed; make soak runs more.
func TestSeeds(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	c.Assert(deploy.Build(t.Context(), bin, "./cmd/lagoonlane"), qt.IsNil)
	runs := []soak.Options{{Seed: 1}, {Seed: 2}}
	for _, regression := range regressions {
		runs = append(runs, soak.Options{Seed: regression.seed, Kinds: regression.kinds})
	}
	for i, options := range runs {
		options.Program, options.Dir, options.Network = filepath.Join(bin, "lagoonlane"), t.TempDir(), 100+i
		options.Faults, options.FaultPeriod = 6, 3*time.Second
		result, err := soak.Run(t.Context(), options)
		c.Assert(err, qt.IsNil)
		t.Log(result)
		c.Check(result.Failed(), qt.IsFalse, qt.Commentf("%v", result))
		c.Check(result.Served > 0, qt.IsTrue)
	}
}
