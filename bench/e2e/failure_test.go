package e2e

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/bench/standin/logserver"
	"github.com/lagoonlane/lagoonlane/bench/standin/service"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// load runs operations of the ledger in a closed loop until it is stopped.
type load struct {
	site    *site
	history *history
	stop    context.CancelFunc
	callers sync.WaitGroup
}

// startLoad starts callers. With keys set, an operation that was refused or whose result is
// unknown is sent again under its idempotency key through the other entry.
func startLoad(s *site, callers int, keys bool) *load {
	ctx, stop := context.WithCancel(s.c.Context())
	l := &load{site: s, history: &history{}, stop: stop}
	for i := range callers {
		l.callers.Go(func() {
			pauses := rand.New(rand.NewPCG(loadSeed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				l.operate(i, n, keys)
				time.Sleep(time.Duration(pauses.Int64N(int64(maxLoadPause))))
			}
		})
	}
	return l
}

// maxAttempts is the maximum number of requests for one operation.
const maxAttempts = 4

func (l *load) operate(worker, n int, keys bool) {
	urls := l.site.EntryURLs()
	id := "loan-" + strconv.Itoa(worker) + "-" + strconv.Itoa(n)
	key := ""
	if keys {
		key = "key-" + id
	}
	for attempt := range maxAttempts {
		url := urls[(worker+attempt)%len(urls)]
		result := l.site.client.Operate(l.site.c.Context(), l.site.operation(url, http.MethodPost, id, key))
		l.history.add(id, result)
		if result.Outcome == caller.OutcomeWhole || !keys {
			break
		}
		time.Sleep(min(result.RetryAfter, time.Second))
	}
}

const (
	// maxLoadPause bounds the random pause between two operations of one caller. Random pauses
	// desynchronise the callers, so that a fault affects requests in every state.
	maxLoadPause = 40 * time.Millisecond
	loadSeed     = 1
)

// stopAndCheck stops the callers, waits for them and checks the history.
func (l *load) stopAndCheck() {
	l.stop()
	l.callers.Wait()
	// A process that was paused may still act on data that it read before.
	time.Sleep(settleTime)
	l.history.check(l.site.c, l.site.runs())
	l.site.c.Logf("outcomes: %v", l.history.counts())
}

const settleTime = time.Second

const (
	loadCallers = 16
	// phaseTime is how long the load runs before, during and after a fault.
	phaseTime = 2 * time.Second
)

func TestKilledSidecarRunsNothingTwice(t *testing.T) {
	for _, keys := range []bool{false, true} {
		t.Run("keys="+strconv.FormatBool(keys), func(t *testing.T) {
			s := newSite(t)
			l := startLoad(s, loadCallers, keys)
			sidecar := s.Process("sidecar-ledger-1")
			time.Sleep(phaseTime)
			s.c.Assert(sidecar.Kill(), qt.IsNil)
			_, err := sidecar.Wait(t.Context())
			s.c.Assert(err, qt.IsNil)
			time.Sleep(phaseTime)
			s.c.Assert(sidecar.Restart(t.Context()), qt.IsNil)
			time.Sleep(phaseTime)
			l.stopAndCheck()
			s.c.Assert(l.history.counts()[caller.OutcomeWhole] > 0, qt.IsTrue)
		})
	}
}

// Pauses a sidecar for longer than the timeout of callers. Operations that were refused in the
// meantime must not run after it resumes.
func TestStoppedSidecarRunsNothingLate(t *testing.T) {
	s := newSite(t)
	l := startLoad(s, loadCallers, true)
	sidecar := s.Process("sidecar-ledger-1")
	time.Sleep(phaseTime)
	s.c.Assert(sidecar.Pause(), qt.IsNil)
	time.Sleep(operationTimeout + phaseTime)
	s.c.Assert(sidecar.Resume(), qt.IsNil)
	time.Sleep(phaseTime)
	l.stopAndCheck()
}

func TestKilledEntryRunsNothingTwice(t *testing.T) {
	s := newSite(t)
	l := startLoad(s, loadCallers, true)
	entry := s.Process("entry-1")
	time.Sleep(phaseTime)
	s.c.Assert(entry.Kill(), qt.IsNil)
	_, err := entry.Wait(t.Context())
	s.c.Assert(err, qt.IsNil)
	time.Sleep(phaseTime)
	s.c.Assert(entry.Restart(t.Context()), qt.IsNil)
	time.Sleep(phaseTime)
	l.stopAndCheck()
}

// Both ledgers run operations and lose the answers. A retry under the same idempotency key must not
// run the operation again.
func TestAnswerLostAfterEffect(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"ledger-1", "ledger-2"} {
		s.c.Assert(s.SetSwitches(t.Context(), name, service.Switches{LoseAnswers: 20}), qt.IsNil)
	}
	l := startLoad(s, loadCallers, true)
	time.Sleep(phaseTime)
	l.stopAndCheck()
}

func TestGracefulShutdownLosesNothing(t *testing.T) {
	for _, name := range []string{"sidecar-ledger-1", "entry-1"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			l := startLoad(s, loadCallers, true)
			time.Sleep(phaseTime)
			process := s.Process(name)
			s.c.Assert(process.Terminate(), qt.IsNil)
			code, err := process.Wait(t.Context())
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(code, qt.Equals, 0)
			time.Sleep(phaseTime)
			l.stopAndCheck()
			for outcome, n := range l.history.counts() {
				// After the entry has closed its listener, connections fail; a load balancer would
				// send these callers to another entry.
				allowed := outcome == caller.OutcomeWhole || outcome == caller.OutcomeNotRun || outcome == caller.OutcomeNoAnswer && name == "entry-1"
				s.c.Check(allowed, qt.IsTrue, qt.Commentf("%d results with outcome %s", n, outcome))
			}
		})
	}
}

// leaveTimeout is how long a leaving backend server may still receive new work.
const leaveTimeout = 3 * time.Second

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	s := newSite(t)
	l := startLoad(s, loadCallers, false)
	time.Sleep(phaseTime)
	s.c.Assert(s.SetInstanceState(t.Context(), "sidecar-ledger-1", platform.InstanceLeaving), qt.IsNil)
	time.Sleep(s.Spec.InstanceLag + leaveTimeout)
	before := s.ledgerRuns("ledger-1")
	time.Sleep(phaseTime)
	after := s.ledgerRuns("ledger-1")
	l.stopAndCheck()
	s.c.Assert(after, qt.Equals, before)
	s.c.Assert(before > 0, qt.IsTrue)
}

// ledgerRuns returns the number of operations that one ledger has run.
func (s *site) ledgerRuns(name string) int {
	var runs map[string]int
	s.c.Assert(s.GetJSON(s.c.Context(), name, "/runs", &runs), qt.IsNil)
	total := 0
	for _, n := range runs {
		total += n
	}
	return total
}

// During an outage of the log, operations without an idempotency key are served, keyed ones are
// refused as not run, and an entry can restart.
func TestLogOutage(t *testing.T) {
	s := newSite(t)
	s.c.Assert(s.SetSwitches(t.Context(), deploy.NameLog, logserver.Switches{Down: true}), qt.IsNil)

	plain := startLoad(s, loadCallers, false)
	time.Sleep(phaseTime)
	plain.stopAndCheck()
	s.c.Assert(plain.history.counts()[caller.OutcomeNotRun], qt.Equals, 0)

	keyed := s.client.Operate(t.Context(), s.operation(s.EntryURLs()[0], http.MethodPost, "keyed", "key"))
	s.c.Assert(keyed.Outcome, qt.Equals, caller.OutcomeNotRun, qt.Commentf("%+v", keyed))
	s.c.Assert(keyed.RetryAfter > 0, qt.IsTrue)
	s.c.Assert(s.runs()["keyed"], qt.Equals, 0)

	entry := s.Process("entry-2")
	s.c.Assert(entry.Kill(), qt.IsNil)
	_, err := entry.Wait(t.Context())
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(entry.Restart(t.Context()), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	s.c.Assert(entry.WaitReady(ctx), qt.IsNil)
	s.waitServing()

	s.c.Assert(s.SetSwitches(t.Context(), deploy.NameLog, logserver.Switches{}), qt.IsNil)
	s.eventually("keyed operations run again", func() bool {
		retried := s.client.Operate(t.Context(), s.operation(s.EntryURLs()[1], http.MethodPost, "keyed", "key"))
		return retried.Outcome == caller.OutcomeWhole
	})
	s.c.Assert(s.runs()["keyed"], qt.Equals, 1)
}
