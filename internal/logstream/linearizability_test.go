package logstream_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
)

const (
	raceSeeds      = 20
	raceProcesses  = 5
	raceOperators  = 4
	raceOperations = 15
)

// casInput is a compare-and-set of the tier with an expected revision.
type casInput struct{ expected uint64 }

// casOutput is the decision on a compare-and-set.
type casOutput struct {
	accepted bool
	revision uint64
}

// casModel is a register that changes only if the expected revision matches.
var casModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(uint64), input.(casInput), output.(casOutput)
		if !out.accepted {
			return in.expected != revision, revision
		}
		return in.expected == revision && out.revision > revision, out.revision
	},
}

// history records the operations of concurrent operators.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	unknown    []unknownOperation
}

// unknownOperation is an operation whose result was not returned to the operator.
type unknownOperation struct {
	operation string
	index     int
}

func (h *history) add(operation porcupine.Operation, unknown string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if unknown != "" {
		h.unknown = append(h.unknown, unknownOperation{operation: unknown, index: len(h.operations)})
	}
	h.operations = append(h.operations, operation)
}

// resolveUnknown fills in the results of unknown operations from the state, and removes those
// that are not in the log.
func (h *history) resolveUnknown(cl *cluster, end int64) {
	state := cl.processes[0].holder.Current()
	var kept []porcupine.Operation
	dropped := map[int]bool{}
	for _, unknown := range h.unknown {
		entry := state.GetOperations()[unknown.operation]
		if entry == nil {
			dropped[unknown.index] = true
			continue
		}
		accepted := entry.GetResult().String() == "AUDIT_RESULT_ACCEPTED"
		h.operations[unknown.index].Output = casOutput{accepted: accepted, revision: entry.GetOffset()}
		h.operations[unknown.index].Return = end
	}
	for i, operation := range h.operations {
		if !dropped[i] {
			kept = append(kept, operation)
		}
	}
	h.operations = kept
}

// runOperator changes the tier repeatedly through random processes.
func runOperator(ctx context.Context, cl *cluster, h *history, client int, rng *rand.Rand) {
	for i := range raceOperations {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		p := cl.processes[rng.IntN(len(cl.processes))]
		expected := p.holder.Current().GetRevisions()["tier/top"]
		name := fmt.Sprintf("operator-%d/%d", client, i)
		call := time.Now().UnixNano()
		entry, err := p.Submit(ctx, putTier(name, name, expected))
		operation := porcupine.Operation{ClientId: client, Input: casInput{expected: expected}, Call: call, Return: time.Now().UnixNano()}
		var conflict *logstream.ConflictError
		var unavailable *logstream.LogUnavailableError
		switch {
		case err == nil:
			operation.Output = casOutput{accepted: true, revision: entry.GetOffset()}
			h.add(operation, "")
		case errors.As(err, &conflict):
			operation.Output = casOutput{}
			h.add(operation, "")
		case !errors.As(err, &unavailable):
			h.add(operation, name)
		}
	}
}

// injectFaults switches random faults on and off until ctx is done.
func injectFaults(ctx context.Context, cl *cluster, rng *rand.Rand) {
	for ctx.Err() == nil {
		p := cl.processes[rng.IntN(len(cl.processes))]
		switch rng.IntN(7) {
		case 0:
			p.conn.LoseAnswers(1)
		case 1:
			p.conn.FailAppends(1)
		case 2:
			p.conn.DelayAppends(1, time.Duration(rng.IntN(4000))*time.Millisecond)
		case 3:
			p.conn.SetDisconnected(true)
		case 4:
			p.conn.SetDisconnected(false)
		case 5:
			p.conn.SetDelay(time.Duration(rng.IntN(500)) * time.Millisecond)
		case 6:
			cl.log.SetDown(rng.IntN(3) == 0)
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
}

// clearFaults switches all faults off and waits until all processes have read the log.
func clearFaults(cl *cluster) {
	cl.log.SetDown(false)
	for _, p := range cl.processes {
		p.conn.SetDisconnected(false)
		p.conn.SetHanging(false)
		p.conn.SetDelay(0)
		p.conn.LoseAnswers(0)
		p.conn.FailAppends(0)
		p.conn.DelayAppends(0, 0)
		p.conn.WaitForDelayedAppends()
	}
	time.Sleep(10 * time.Second)
}

func runRace(t *testing.T, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 6))
	cl := newSeededCluster(t, raceProcesses, seed)
	defer cl.stop()
	h := &history{}
	ctx, cancel := context.WithCancel(context.Background())
	var operators, faults sync.WaitGroup
	faultRNG := rand.New(rand.NewPCG(seed, 7))
	faults.Go(func() { injectFaults(ctx, cl, faultRNG) })
	for client := range raceOperators {
		operatorRNG := rand.New(rand.NewPCG(rng.Uint64(), 8))
		operators.Go(func() { runOperator(ctx, cl, h, client, operatorRNG) })
	}
	operators.Wait()
	cancel()
	faults.Wait()
	clearFaults(cl)
	end := time.Now().UnixNano()
	h.resolveUnknown(cl, end)
	cl.c.Assert(allAtOffset(cl, cl.log.Next("lagoonlane.config")-1), qt.IsTrue)
	checkSameStates(cl)
	cl.c.Assert(cl.reversions.Load(), qt.Equals, int64(0))
	cl.c.Assert(porcupine.CheckOperations(casModel, h.operations), qt.IsTrue, qt.Commentf("seed %d", seed))
	return len(h.operations)
}

// With concurrent operators at several processes and a faulty log, each revision has exactly one
// successor, and all processes agree on it.
func TestRacingOperatorsHaveALinearisableHistory(t *testing.T) {
	checked := 0
	for seed := range uint64(raceSeeds) {
		synctest.Test(t, func(t *testing.T) { checked += runRace(t, seed) })
	}
	t.Logf("%d seeds, %d operations checked", raceSeeds, checked)
}
