package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/sidecar"
)

// attemptRecord is one request of a caller and what came of it.
type attemptRecord struct {
	id        string
	operation string
	// status is 0 when the caller's connection broke.
	status    int
	outcome   Outcome
	violation string
	duration  time.Duration
}

// operationRecord is one operation: one or more requests with one key.
type operationRecord struct {
	id string
	// atMostOnce is true for a non-idempotent operation with a key.
	atMostOnce bool
	attempts   []attemptRecord
}

// history runs callers against a world.
type history struct {
	cluster *testCluster
	client  *http.Client

	mu         sync.Mutex
	operations []operationRecord
	faults     int
	// killed holds the addresses of entries that were killed.
	killed map[string]bool
}

// historyOperations is the number of operations of TestHistoryUnderFaults. The
// proof runs 12,000 without the race detector.
var historyOperations = flag.Int("history-operations", 900, "operations of the history test")

const (
	historyTimeout = 8 * time.Second
	// historyGrace is how long after its deadline a request must have its final answer.
	historyGrace = 500 * time.Millisecond
)

// send makes one request and records its outcome.
func (h *history) send(kind, operation, id string, entry string) attemptRecord {
	path, body := chatPath, fmt.Sprintf(`{"model":"pegs","messages":[{"role":"user","content":"(%s/%s)"}]}`, id, operation)
	switch kind {
	case "stream":
		body = fmt.Sprintf(`{"model":"pegs","stream":true,"messages":[{"role":"user","content":"(%s/%s)"}]}`, id, operation)
	case "keyed", "plain":
		path, body = "/services/ledger/loans", fmt.Sprintf(`{"loan":"(%s/%s)"}`, id, operation)
	}
	if kind == "keyed" {
		// All requests of an operation are the same request, so that they share a fingerprint.
		body = fmt.Sprintf(`{"loan":"(%s/%s)"}`, operation, operation)
	}
	request, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+entry+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(headerTimeout, historyTimeout.String())
	if kind == "keyed" {
		request.Header.Set(headerIdempotencyKey, operation)
	}
	record := attemptRecord{id: id, operation: operation}
	began := time.Now()
	response, err := h.client.Do(request)
	if err == nil {
		h.read(&record, kind, response)
	}
	record.duration = time.Since(began)
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.status == 0 && !h.killed[entry] {
		record.violation = fmt.Sprintf("no final answer of a live entry: %v", err)
	}
	return record
}

func (h *history) read(record *attemptRecord, kind string, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if _, event, found := strings.Cut(string(body), "\n\nevent: error\ndata: "); err != nil && found {
		record.status = http.StatusBadGateway
		body = []byte(event)
	} else if err != nil {
		return
	} else {
		record.status = response.StatusCode
	}
	if record.status == http.StatusOK {
		want := expectedAnswer(record.operation)
		if kind == "stream" {
			want = "data: " + want + "\n\ndata: [DONE]\n\n"
		}
		if string(body) != want {
			record.violation = fmt.Sprintf("got %d bytes instead of %d", len(body), len(want))
		}
		return
	}
	var problem problemBody
	if json.Unmarshal(body, &problem) != nil || problem.Outcome == "" {
		record.violation = "no problem but: " + string(body)
	}
	record.outcome = problem.Outcome
}

// runOperation runs one operation as a caller would: it retries what did not run, and
// a keyed operation also after a lost answer, at any entry.
func (h *history) runOperation(id string) {
	kind := []string{"json", "stream", "keyed", "keyed", "keyed", "plain"}[h.cluster.intN(6)]
	record := operationRecord{id: id, atMostOnce: kind == "keyed"}
	var mu sync.Mutex
	try := func(n int) attemptRecord {
		one := h.send(kind, id, fmt.Sprintf("%s.%d", id, n), h.entry())
		mu.Lock()
		defer mu.Unlock()
		record.attempts = append(record.attempts, one)
		return one
	}
	twice := kind == "keyed" && h.cluster.intN(4) == 0
	var second sync.WaitGroup
	if twice {
		second.Go(func() { try(100) })
	}
	for n := range 4 {
		one := try(n)
		again := one.outcome == OutcomeNotRun || kind == "keyed" && (one.status == 0 || one.outcome == OutcomeUnknown)
		if !again {
			break
		}
		time.Sleep(time.Duration(100+h.cluster.intN(900)) * time.Millisecond)
	}
	second.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, record)
}

func (h *history) entry() string {
	n := h.cluster.intN(len(h.cluster.entries))
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.entries[n].address
}

// injectFaults breaks something now and then until ctx ends.
func (h *history) injectFaults(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(50+h.cluster.intN(400)) * time.Millisecond)
		h.faults++
		s := h.cluster.sidecars[h.cluster.intN(len(h.cluster.sidecars))]
		switch h.cluster.intN(10) {
		case 0:
			s.kill()
			time.Sleep([]time.Duration{0, time.Second, 7 * time.Second}[h.cluster.intN(3)])
			h.cluster.startSidecar(s)
		case 1:
			h.restartEntry(n)
		case 2:
			h.dropTraffic(&s.listener.dropIn, s)
		case 3:
			h.dropTraffic(&s.listener.dropOut, s)
		case 4:
			s.backend.mu.Lock()
			s.backend.refuseUntil = time.Now().Add(time.Second)
			s.backend.mu.Unlock()
		case 5:
			s.backend.mu.Lock()
			s.backend.breakNext = 3
			s.backend.mu.Unlock()
		case 6:
			h.cluster.log.mu.Lock()
			h.cluster.log.downUntil = time.Now().Add(time.Second)
			h.cluster.log.mu.Unlock()
		case 7:
			h.cluster.log.mu.Lock()
			h.cluster.log.loseResponses = 3
			h.cluster.log.mu.Unlock()
		case 8:
			h.cluster.log.mu.Lock()
			h.cluster.log.slowUntil = time.Now().Add(2 * time.Second)
			h.cluster.log.mu.Unlock()
		default:
			s.listener.closeConns()
		}
	}
}

// dropTraffic loses what is sent in one direction for a while; then the connections break.
func (h *history) dropTraffic(drop interface{ Store(bool) }, s *clusterSidecar) {
	drop.Store(true)
	time.Sleep(time.Duration(100+h.cluster.intN(3000)) * time.Millisecond)
	s.listener.closeConns()
	drop.Store(false)
	s.listener.closeConns()
}

func (h *history) restartEntry(n int) {
	i := h.cluster.intN(len(h.cluster.entries))
	old := h.cluster.entries[i]
	h.mu.Lock()
	h.killed[old.address] = true
	h.mu.Unlock()
	old.kill()
	time.Sleep(time.Duration(h.cluster.intN(500)) * time.Millisecond)
	fresh := h.cluster.startEntry(fmt.Sprintf("entry%d-%d", i, n), nil)
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.cluster.entries[i] = fresh
}

// historySummary counts what a history shows.
type historySummary struct {
	faults, operations, attempts, answered, notRun, failed, unknown, broken int
	violations                                                              []string
}

func (h *history) check() historySummary {
	attempts, runs := map[string]int{}, map[string]int{}
	for _, s := range h.cluster.sidecars {
		for id, n := range s.backend.attempts {
			attempts[id] += n
		}
		for id, n := range s.backend.runs {
			runs[id] += n
		}
	}
	f := historySummary{faults: h.faults}
	fail := func(format string, args ...any) { f.violations = append(f.violations, fmt.Sprintf(format, args...)) }
	for _, operation := range h.operations {
		f.operations++
		if operation.atMostOnce && runs[operation.id] > 1 {
			fail("operation %s ran %d times: %+v", operation.id, runs[operation.id], operation.attempts)
		}
		allNotRun := true
		for _, one := range operation.attempts {
			f.count(one)
			allNotRun = allNotRun && one.outcome == OutcomeNotRun
			if one.violation != "" {
				fail("attempt %s: %s", one.id, one.violation)
			}
			if one.duration > historyTimeout+historyGrace {
				fail("attempt %s had its final answer after %v", one.id, one.duration)
			}
			if !operation.atMostOnce && attempts[one.id] > 1 {
				fail("attempt %s was dispatched %d times", one.id, attempts[one.id])
			}
			if !operation.atMostOnce && one.outcome == OutcomeNotRun && attempts[one.id] > 0 {
				fail("attempt %s says not-run, and ran", one.id)
			}
			if one.status == http.StatusOK && runs[operation.id] == 0 {
				fail("attempt %s has an answer, and never ran", one.id)
			}
		}
		if operation.atMostOnce && allNotRun && runs[operation.id] > 0 {
			fail("operation %s: all requests say not-run, and it ran: %+v", operation.id, operation.attempts)
		}
	}
	return f
}

func (f *historySummary) count(one attemptRecord) {
	f.attempts++
	switch {
	case one.status == 0:
		f.broken++
	case one.status == http.StatusOK:
		f.answered++
	case one.outcome == OutcomeNotRun:
		f.notRun++
	case one.outcome == OutcomeFailed:
		f.failed++
	case one.outcome == OutcomeUnknown:
		f.unknown++
	}
}

// TestHistoryUnderFaults runs callers at three entries while sidecars and
// entries are killed, links are cut in each direction, backend servers refuse
// and break, and the claim stream is down or loses its answers.
func TestHistoryUnderFaults(t *testing.T) {
	const callers, seeds = 30, 3
	operationsEach := *historyOperations / callers / seeds
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := runHistory(seed, callers, operationsEach)
				t.Logf("%d faults, %d operations, %d requests: %d answered, %d not-run, %d failed, %d unknown, %d connections broken",
					f.faults, f.operations, f.attempts, f.answered, f.notRun, f.failed, f.unknown, f.broken)
				qt.Assert(t, f.operations, qt.Equals, callers*operationsEach)
				qt.Assert(t, f.answered > f.operations/2, qt.IsTrue)
				if len(f.violations) > 0 {
					t.Fatalf("%d violations:\n%s", len(f.violations), strings.Join(f.violations[:min(len(f.violations), 10)], "\n"))
				}
			})
		})
	}
}

func runHistory(seed uint64, callers, operationsEach int) historySummary {
	w := newTestCluster(seed)
	service := func() time.Duration { return time.Duration(2+w.intN(60)) * time.Millisecond }
	for _, kind := range []string{sidecar.KindEngine, sidecar.KindEngine, sidecar.KindService, sidecar.KindService, sidecar.KindService} {
		w.addSidecar(kind, 16, service)
	}
	for i := range 3 {
		w.entries = append(w.entries, w.startEntry(fmt.Sprint("entry", i), nil))
	}
	time.Sleep(time.Second)
	transport := &http.Transport{DialContext: w.network.dial, MaxIdleConnsPerHost: callers}
	h := &history{cluster: w, killed: map[string]bool{}, client: &http.Client{Transport: transport}}
	ctx, stop := context.WithCancel(context.Background())
	var faults, running sync.WaitGroup
	faults.Go(func() { h.injectFaults(ctx) })
	for caller := range callers {
		running.Go(func() {
			for n := range operationsEach {
				h.runOperation(fmt.Sprintf("op%d-%d", caller, n))
				time.Sleep(time.Duration(w.intN(100)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	stop()
	faults.Wait()
	time.Sleep(historyTimeout)
	transport.CloseIdleConnections()
	w.stop()
	return h.check()
}
