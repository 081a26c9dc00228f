package logstream_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

const (
	propagationProcesses = 20
	propagationSeeds     = 100
	// propagationLimit is the time within which an accepted configuration must be in force everywhere.
	propagationLimit = 7 * time.Second
	propagationPoll  = 50 * time.Millisecond
)

// injectOutage switches on the faults of one seed, right after a change was accepted.
func injectOutage(cl *cluster, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		cl.log.SetDown(true)
	case 1:
		for _, p := range cl.processes {
			p.conn.SetHanging(true)
		}
	case 2:
		disconnectSome(cl, rng, len(cl.processes)-1)
	}
}

// disconnectSome disconnects up to limit processes from the log. For some of them calls hang instead
// of failing.
func disconnectSome(cl *cluster, rng *rand.Rand, limit int) {
	for _, i := range rng.Perm(len(cl.processes))[:rng.IntN(limit+1)] {
		if rng.IntN(2) == 0 {
			cl.processes[i].conn.SetDisconnected(true)
			continue
		}
		cl.processes[i].conn.SetHanging(true)
	}
}

// measurePropagation submits a change, injects faults, and returns the time until the change is in
// force in every process.
func measurePropagation(t *testing.T, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 5))
	cl := newSeededCluster(t, propagationProcesses, seed)
	defer cl.stop()
	_, err := cl.processes[0].Submit(t.Context(), putTier("first", "first", 0))
	cl.c.Assert(err, qt.IsNil)
	time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
	disconnectSome(cl, rng, propagationProcesses/2)
	time.Sleep(time.Duration(rng.IntN(10_000)) * time.Millisecond)
	author := rng.IntN(propagationProcesses)
	cl.processes[author].conn.SetDisconnected(false)
	cl.processes[author].conn.SetHanging(false)
	cl.processes[author].conn.LoseAnswers(rng.IntN(2))
	entry, err := cl.processes[author].Submit(t.Context(), putTier("second", "second", 1))
	cl.c.Assert(err, qt.IsNil)
	accepted := time.Now()
	injectOutage(cl, rng)
	restarts := rng.IntN(4)
	for !allAtOffset(cl, entry.GetOffset()) {
		checkMinOffsets(cl)
		if time.Since(accepted) > time.Minute {
			t.Fatalf("seed %d: not in force everywhere after a minute", seed)
		}
		time.Sleep(propagationPoll)
		if victim := rng.IntN(propagationProcesses); restarts > 0 && victim != author && rng.IntN(10) == 0 {
			restarts--
			cl.restart(victim)
			cl.processes[victim].conn.SetDisconnected(rng.IntN(2) == 0)
		}
	}
	took := time.Since(accepted)
	cl.c.Assert(cl.reversions.Load(), qt.Equals, int64(0))
	checkSameStates(cl)
	return took
}

func allAtOffset(cl *cluster, offset uint64) bool {
	return !slices.ContainsFunc(cl.processes, func(p *process) bool {
		return p.Offset() < offset || !p.Ready()
	})
}

// checkMinOffsets checks that no process serves an older configuration than the process that it
// replaced.
func checkMinOffsets(cl *cluster) {
	for _, p := range cl.processes {
		if p.Ready() && p.Offset() < p.minOffset {
			cl.reversions.Add(1)
		}
	}
}

// checkSameStates checks that processes at the same offset have the same state.
func checkSameStates(cl *cluster) {
	byOffset := map[uint64]proto.Message{}
	for _, p := range cl.processes {
		state := p.holder.Current()
		first, seen := byOffset[state.GetOffset()]
		if !seen {
			byOffset[state.GetOffset()] = state
			continue
		}
		cl.c.Assert(proto.Equal(first, state), qt.IsTrue)
	}
}

// An accepted configuration is in force in each of 20 processes within 7 s, while some are cut
// off from the log, the log fails right after the acceptance, the response to the append is lost,
// and processes restart during the outage.
func TestAcceptedConfigurationIsInForceEverywhereInTime(t *testing.T) {
	var longest time.Duration
	var slow []string
	for seed := range uint64(propagationSeeds) {
		synctest.Test(t, func(t *testing.T) {
			took := measurePropagation(t, seed)
			longest = max(longest, took)
			if took > propagationLimit {
				slow = append(slow, fmt.Sprintf("seed %d: %s", seed, took))
			}
		})
	}
	t.Logf("%d seeds, longest %s", propagationSeeds, longest)
	qt.Assert(t, slow, qt.HasLen, 0)
}
