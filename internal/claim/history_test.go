package claim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/platform/platformtest"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	historySeeds   = 10
	historyEntries = 4
	// historyCallers is the number of concurrent callers. Each sends historyKeys requests in
	// sequence.
	historyCallers = 40
	historyKeys    = 25
	// historyAttempts is the maximum number of times a caller sends a request that was not run.
	historyAttempts = 6
)

// claimInput is one claim of a key.
type claimInput struct{ key, dispatch, previous string }

// claimOutput is its result.
type claimOutput struct{ won, unknown bool }

// claimModel models each key as a register that holds the dispatch ID of the claim in force.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in, out := state.(string), input.(claimInput), output.(claimOutput)
		wins := holder == in.previous || holder == in.dispatch
		if holder == "" {
			wins = true
		}
		switch {
		case out.unknown && wins:
			return true, in.dispatch
		case out.unknown:
			return true, holder
		case out.won:
			return wins, in.dispatch
		}
		return holder != "", holder
	},
}

// fakeSidecars represents all sidecars. It bars dispatches and counts the runs of each key.
type fakeSidecars struct {
	mu     sync.Mutex
	barred map[string]bool
	ran    map[string]bool
	runs   map[string]int
}

// run runs a request under a dispatch ID, unless that ID was barred.
func (s *fakeSidecars) run(key, dispatch string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.barred[dispatch] {
		return false
	}
	s.ran[dispatch] = true
	s.runs[key]++
	return true
}

// bar bars a dispatch ID and reports whether it had not run.
func (s *fakeSidecars) bar(dispatch string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran[dispatch] {
		return false
	}
	s.barred[dispatch] = true
	return true
}

func (s *fakeSidecars) hasRun(dispatch string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[dispatch]
}

// recorder collects the history.
type recorder struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	notRun     int
}

func (r *recorder) add(operation porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// entryPool holds the entries, some of which are replaced during a test.
type entryPool struct {
	mu      sync.Mutex
	log     *platformtest.Log
	entries []*entry
	starts  int
}

func (p *entryPool) pick(rng *rand.Rand) *entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[rng.IntN(len(p.entries))]
}

// replace stops one entry and starts a new one in its place, with no state.
func (p *entryPool) replace(i int) {
	p.mu.Lock()
	old := p.entries[i]
	p.entries[i] = startEntry(p.log, fmt.Sprintf("e%d", p.starts))
	p.starts++
	p.mu.Unlock()
	old.stop()
}

// caller sends each request through one entry after another until it has run.
type caller struct {
	entries  *entryPool
	sidecars *fakeSidecars
	recorder *recorder
	rng      *rand.Rand
	id       int
}

// attempt claims once. It returns whether the request has run and, if not, the dispatch ID that
// the next attempt replaces.
func (c *caller) attempt(key, dispatch, previous string) (ran bool, next string) {
	e := c.entries.pick(c.rng)
	operation := porcupine.Operation{ClientId: c.id, Input: claimInput{key, dispatch, previous}, Call: time.Now().UnixNano()}
	result, err := e.Claim(context.Background(), newClaim(key, dispatch, previous))
	operation.Return = time.Now().UnixNano()
	var unknown *claim.ResultUnknownError
	switch {
	case errors.As(err, &unknown):
		operation.Output = claimOutput{unknown: true}
		operation.Return = math.MaxInt64
		c.recorder.add(operation)
		return false, previous
	case err != nil:
		return false, previous
	}
	operation.Output = claimOutput{won: result.Won}
	c.recorder.add(operation)
	if result.Won {
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
		return c.sidecars.run(key, dispatch), dispatch
	}
	holder := result.Holder.GetDispatchId()
	if c.rng.IntN(3) == 0 && c.sidecars.bar(holder) {
		return false, holder
	}
	return c.sidecars.hasRun(holder), previous
}

func (c *caller) send(key string) {
	previous := ""
	for i := range historyAttempts {
		ran, next := c.attempt(key, fmt.Sprintf("%s/%d/%d", key, c.id, i), previous)
		if ran {
			return
		}
		previous = next
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	}
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	c.recorder.notRun++
}

// injectFaults switches random faults on and off until ctx ends.
func injectFaults(ctx context.Context, entries *entryPool, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn := entries.pick(rng).conn
		enabled := rng.IntN(3) == 0
		switch rng.IntN(8) {
		case 0:
			conn.SetDisconnected(enabled)
		case 1:
			conn.SetReadsFail(enabled)
		case 2:
			conn.LoseAnswers(rng.IntN(3))
		case 3:
			conn.FailAppends(rng.IntN(2))
		case 4:
			conn.DelayAppends(rng.IntN(3), time.Duration(rng.IntN(8000))*time.Millisecond)
		case 5:
			conn.SetDelay(time.Duration(rng.IntN(300)) * time.Millisecond)
		case 6:
			entries.log.SetDown(rng.IntN(4) == 0)
		case 7:
			entries.replace(rng.IntN(historyEntries))
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	entries.log.SetDown(false)
}

// dispatchIDsInLog returns the dispatch IDs of the claims in the log.
func dispatchIDsInLog(t *testing.T, log *platformtest.Log) map[string]bool {
	found := map[string]bool{}
	for _, record := range log.Records(platform.StreamClaims) {
		batch := &configpb.ClaimBatch{}
		qt.Assert(t, proto.Unmarshal(record.Data, batch), qt.IsNil)
		for _, claim := range batch.GetClaims() {
			found[claim.GetDispatchId()] = true
		}
	}
	return found
}

type historyResult struct{ operations, ranKeys, notRun, ranTwice, records int }

func runHistory(t *testing.T, seed uint64) historyResult {
	rng := rand.New(rand.NewPCG(seed, 12))
	log := platformtest.NewLog()
	entries := &entryPool{log: log, entries: make([]*entry, historyEntries), starts: historyEntries}
	for i := range entries.entries {
		entries.entries[i] = startEntry(log, fmt.Sprintf("e%d", i))
	}
	sidecars := &fakeSidecars{barred: map[string]bool{}, ran: map[string]bool{}, runs: map[string]int{}}
	recorder := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	faults.Go(func() { injectFaults(ctx, entries, rand.New(rand.NewPCG(seed, 13))) })
	for i := range historyCallers {
		c := &caller{entries: entries, sidecars: sidecars, recorder: recorder, rng: rand.New(rand.NewPCG(rng.Uint64(), 14)), id: i}
		callers.Go(func() {
			for k := range historyKeys {
				// Two callers share each key, so the same request arrives through two entries.
				c.send(fmt.Sprintf("key-%d-%d", i/2, k))
			}
		})
	}
	callers.Wait()
	cancel()
	faults.Wait()
	for _, e := range entries.entries {
		e.stop()
	}
	return checkHistory(t, seed, log, sidecars, recorder)
}

func checkHistory(t *testing.T, seed uint64, log *platformtest.Log, sidecars *fakeSidecars, recorder *recorder) historyResult {
	result := historyResult{notRun: recorder.notRun, records: len(log.Records(platform.StreamClaims))}
	found := dispatchIDsInLog(t, log)
	var history []porcupine.Operation
	for _, operation := range recorder.operations {
		if operation.Output.(claimOutput).unknown && !found[operation.Input.(claimInput).dispatch] {
			continue
		}
		history = append(history, operation)
	}
	result.operations = len(recorder.operations)
	for _, runs := range sidecars.runs {
		result.ranKeys++
		if runs > 1 {
			result.ranTwice++
		}
	}
	qt.Assert(t, porcupine.CheckOperations(claimModel, history), qt.IsTrue, qt.Commentf("seed %d", seed))
	return result
}

// Guards against a key that runs twice, and against claims of a key whose history is not
// linearisable, under outages, lost and late replies and the same key at two entries.
func TestNoKeyRunsTwice(t *testing.T) {
	var total historyResult
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			result := runHistory(t, seed)
			total.operations += result.operations
			total.ranKeys += result.ranKeys
			total.notRun += result.notRun
			total.ranTwice += result.ranTwice
			total.records += result.records
		})
	}
	t.Logf("%d claims, %d keys ran, %d doubled, %d calls gave up, %d records", total.operations, total.ranKeys, total.ranTwice, total.notRun, total.records)
	qt.Assert(t, total.ranTwice, qt.Equals, 0)
	qt.Assert(t, total.ranKeys > 0, qt.IsTrue)
}
