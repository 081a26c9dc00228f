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

// attemptRecord is one request of a caller and its result.
type attemptRecord struct {
	id        string
	operation string
	// status is 0 if the caller's connection broke.
	status  int
	outcome Outcome
	// received describes the part of an answer that came before the connection broke.
	received  string
	violation string
	duration  time.Duration
}

// operationRecord is one operation: one or more requests that share an idempotency key.
type operationRecord struct {
	id string
	// atMostOnce is set for a non-idempotent operation with a key.
	atMostOnce bool
	attempts   []attemptRecord
}

// history runs callers against a test cluster and records their results.
type history struct {
	cluster *testCluster
	client  *http.Client

	mu         sync.Mutex
	operations []operationRecord
	faults     int
	// killed contains the addresses of entries that were terminated.
	killed map[string]bool
}

// historyOperations is the number of operations of TestHistoryUnderFaults. The full verification
// runs 12,000 without the race detector.
var historyOperations = flag.Int("history-operations", 900, "operations of the history test")

const (
	historyTimeout = 8 * time.Second
	// historyGrace is how long after its deadline a request may take to receive its final answer.
	historyGrace = 500 * time.Millisecond
)

// send makes one request and records its result.
func (h *history) send(kind, operation, id string, entry string) attemptRecord {
	path, body := chatPath, fmt.Sprintf(`{"model":"pegs","messages":[{"role":"user","content":"(%s/%s)"}]}`, id, operation)
	switch kind {
	case "stream":
		body = fmt.Sprintf(`{"model":"pegs","stream":true,"messages":[{"role":"user","content":"(%s/%s)"}]}`, id, operation)
	case "keyed", "plain":
		path, body = "/services/ledger/loans", fmt.Sprintf(`{"loan":"(%s/%s)"}`, id, operation)
	}
	if kind == "keyed" {
		// All requests of an operation have the same body, so that they share a fingerprint.
		body = fmt.Sprintf(`{"loan":"(%s/%s)"}`, operation, operation)
	}
	request, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+entry+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(headerTimeout, historyTimeout.String())
	if kind == "keyed" {
		request.Header.Set(headerIdempotencyKey, operation)
	}
	record := attemptRecord{id: id, operation: operation}
	start := time.Now()
	response, err := h.client.Do(request)
	if err == nil {
		h.read(&record, kind, response)
	}
	record.duration = time.Since(start)
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.status == 0 && !h.killed[entry] {
		record.violation = fmt.Sprintf("no final answer from a running entry: %v%s", err, record.received)
	}
	return record
}

// read checks the response and stores its status and outcome in record.
func (h *history) read(record *attemptRecord, kind string, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if _, event, found := strings.Cut(string(body), "\n\nevent: error\ndata: "); err != nil && found {
		record.status = http.StatusBadGateway
		body = []byte(event)
	} else if err != nil {
		record.received = fmt.Sprintf("%d %.200q, %v", response.StatusCode, body, err)
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
		record.violation = "not a problem body: " + string(body)
	}
	record.outcome = problem.Outcome
}

// runOperation runs one operation as a caller would: it retries requests that did not run, and for
// a keyed operation also requests whose answer was lost, each time at a random entry. One in four
// keyed operations also sends a concurrent request.
func (h *history) runOperation(id string) {
	kind := []string{"json", "stream", "keyed", "keyed", "keyed", "plain"}[h.cluster.intN(6)]
	record := operationRecord{id: id, atMostOnce: kind == "keyed"}
	var mu sync.Mutex
	try := func(n int) attemptRecord {
		attempt := h.send(kind, id, fmt.Sprintf("%s.%d", id, n), h.randomEntryAddress())
		mu.Lock()
		defer mu.Unlock()
		record.attempts = append(record.attempts, attempt)
		return attempt
	}
	concurrent := kind == "keyed" && h.cluster.intN(4) == 0
	var second sync.WaitGroup
	if concurrent {
		second.Go(func() { try(100) })
	}
	for n := range 4 {
		attempt := try(n)
		retry := attempt.outcome == OutcomeNotRun || kind == "keyed" && (attempt.status == 0 || attempt.outcome == OutcomeUnknown)
		if !retry {
			break
		}
		time.Sleep(time.Duration(100+h.cluster.intN(900)) * time.Millisecond)
	}
	second.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, record)
}

// randomEntryAddress returns the address of a random entry.
func (h *history) randomEntryAddress() string {
	n := h.cluster.intN(len(h.cluster.entries))
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.entries[n].address
}

// injectFaults injects random faults at random intervals until ctx ends.
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
			s.backend.breakNextCalls = 3
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

// dropTraffic discards the data sent in one direction for a while, then closes the connections.
func (h *history) dropTraffic(drop interface{ Store(bool) }, s *clusterSidecar) {
	drop.Store(true)
	time.Sleep(time.Duration(100+h.cluster.intN(3000)) * time.Millisecond)
	s.listener.closeConns()
	drop.Store(false)
	s.listener.closeConns()
}

// restartEntry terminates a random entry and starts a replacement.
func (h *history) restartEntry(n int) {
	i := h.cluster.intN(len(h.cluster.entries))
	old := h.cluster.entries[i]
	h.mu.Lock()
	h.killed[old.address] = true
	h.mu.Unlock()
	old.kill()
	time.Sleep(time.Duration(h.cluster.intN(500)) * time.Millisecond)
	replacement := h.cluster.startEntry(fmt.Sprintf("entry%d-%d", i, n), nil)
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.cluster.entries[i] = replacement
}

// historySummary counts the results of a history and lists its violations.
type historySummary struct {
	faults, operations, attempts, answered, notRun, failed, unknown, broken int
	violations                                                              []string
}

// check compares the recorded results with the runs that the backend servers counted.
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
	addViolation := func(format string, args ...any) { f.violations = append(f.violations, fmt.Sprintf(format, args...)) }
	for _, operation := range h.operations {
		f.operations++
		if operation.atMostOnce && runs[operation.id] > 1 {
			addViolation("operation %s ran %d times: %+v", operation.id, runs[operation.id], operation.attempts)
		}
		allNotRun := true
		for _, attempt := range operation.attempts {
			f.count(attempt)
			allNotRun = allNotRun && attempt.outcome == OutcomeNotRun
			if attempt.violation != "" {
				addViolation("attempt %s: %s", attempt.id, attempt.violation)
			}
			if attempt.duration > historyTimeout+historyGrace {
				addViolation("attempt %s got its final answer only after %v", attempt.id, attempt.duration)
			}
			if !operation.atMostOnce && attempts[attempt.id] > 1 {
				addViolation("attempt %s was dispatched %d times", attempt.id, attempts[attempt.id])
			}
			if !operation.atMostOnce && attempt.outcome == OutcomeNotRun && attempts[attempt.id] > 0 {
				addViolation("attempt %s reported not-run, but ran", attempt.id)
			}
			if attempt.status == http.StatusOK && runs[operation.id] == 0 {
				addViolation("attempt %s has an answer, but never ran", attempt.id)
			}
		}
		if operation.atMostOnce && allNotRun && runs[operation.id] > 0 {
			addViolation("operation %s: all requests reported not-run, but it ran: %+v", operation.id, operation.attempts)
		}
	}
	return f
}

// count adds one attempt to the totals.
func (f *historySummary) count(attempt attemptRecord) {
	f.attempts++
	switch {
	case attempt.status == 0:
		f.broken++
	case attempt.status == http.StatusOK:
		f.answered++
	case attempt.outcome == OutcomeNotRun:
		f.notRun++
	case attempt.outcome == OutcomeFailed:
		f.failed++
	case attempt.outcome == OutcomeUnknown:
		f.unknown++
	}
}

// TestHistoryUnderFaults guards the outcome guarantees: a keyed operation runs at most once, and a
// request reported as not-run has not run. Callers use three entries while sidecars and entries
// are terminated, links are cut in each direction, backend servers refuse and fail, and the claim
// stream is unavailable or loses its responses.
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

// runHistory runs callers against a new cluster with random faults and returns the summary.
func runHistory(seed uint64, callers, operationsEach int) historySummary {
	cluster := newTestCluster(seed)
	serviceTime := func() time.Duration { return time.Duration(2+cluster.intN(60)) * time.Millisecond }
	for _, kind := range []string{sidecar.KindEngine, sidecar.KindEngine, sidecar.KindService, sidecar.KindService, sidecar.KindService} {
		cluster.addSidecar(kind, 16, serviceTime)
	}
	for i := range 3 {
		cluster.entries = append(cluster.entries, cluster.startEntry(fmt.Sprint("entry", i), nil))
	}
	time.Sleep(time.Second)
	transport := &http.Transport{DialContext: cluster.network.dial, MaxIdleConnsPerHost: callers}
	h := &history{cluster: cluster, killed: map[string]bool{}, client: &http.Client{Transport: transport}}
	ctx, stop := context.WithCancel(context.Background())
	var faults, running sync.WaitGroup
	faults.Go(func() { h.injectFaults(ctx) })
	for caller := range callers {
		running.Go(func() {
			for n := range operationsEach {
				h.runOperation(fmt.Sprintf("op%d-%d", caller, n))
				time.Sleep(time.Duration(cluster.intN(100)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	stop()
	faults.Wait()
	time.Sleep(historyTimeout)
	transport.CloseIdleConnections()
	cluster.stop()
	return h.check()
}
