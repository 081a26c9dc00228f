package sidecar

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// historyOperations is the number of operations per seed.
var historyOperations = flag.Int("history.operations", 600, "number of operations per seed of the history test")

const (
	historyWorkers  = 60
	historyAttempts = 3
	historyBudget   = 20 * time.Second
	// lostAfter is the delay above which a message is lost.
	lostAfter = 2 * time.Second
)

// TestHistoryRunsAtMostOnce sends requests to one sidecar address under delayed, duplicated,
// reordered and lost messages, broken connections in both directions, and pauses and
// replacements of the sidecar. A backend server that counts executions checks that no
// request runs twice and that no request with the outcome NOT_RUN has run.
func TestHistoryRunsAtMostOnce(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, seed)
				h.run()
				h.verify()
			})
		})
	}
}

// operation is a request of a caller with its final outcome and the dispatch ids of its attempts.
type operation struct {
	id         string
	idempotent bool
	outcome    string
	answer     string
	attempts   []string
}

// history is one run of the test: the current incarnation of the sidecar, the backend server
// and the completed operations.
type history struct {
	t    *testing.T
	seed uint64

	mu      sync.Mutex
	current *incarnation
	backend *countingBackend
	ops     []*operation
}

// incarnation is one process lifetime of the sidecar.
type incarnation struct {
	sidecar *Sidecar
	mux     *http.ServeMux
	ctx     context.Context
	kill    context.CancelFunc
	stopped chan struct{}

	mu          sync.Mutex
	pausedUntil time.Time
}

// waitWhilePaused blocks while the process is paused. It reports false once the process is killed.
func (i *incarnation) waitWhilePaused() bool {
	for {
		i.mu.Lock()
		wait := time.Until(i.pausedUntil)
		i.mu.Unlock()
		if i.ctx.Err() != nil {
			return false
		}
		if wait <= 0 {
			return true
		}
		time.Sleep(wait)
	}
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{t: t, seed: seed, backend: &countingBackend{runs: map[string]int{}, seed: seed}}
	h.replace()
	return h
}

// replace starts a new incarnation and kills the previous one.
func (h *history) replace() {
	i := &incarnation{stopped: make(chan struct{}), mux: http.NewServeMux()}
	i.ctx, i.kill = context.WithCancel(context.Background())
	backend := &guardedBackend{countingBackend: h.backend, incarnation: i}
	s, err := New(Options{
		ID: "sidecar-1",
		BackendServers: []BackendServer{
			{ID: "e", Kind: KindEngine, Pool: "model", MaxConcurrency: 12, Backend: backend},
			{ID: "s", Kind: KindService, Pool: "ledger", Version: "v1", MaxConcurrency: 12, Backend: serviceOnly{backend}},
		},
		Config: &config.Holder{},
		Logger: zerolog.Nop(),
	})
	if err != nil {
		h.t.Fatal(err)
	}
	i.sidecar = s
	s.Register(i.mux)
	go func() {
		defer close(i.stopped)
		_ = s.Run(i.ctx)
	}()
	h.mu.Lock()
	old := h.current
	h.current = i
	h.mu.Unlock()
	if old != nil {
		old.kill()
		<-old.stopped
	}
}

func (h *history) currentIncarnation() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// run executes all operations under faults. It then waits until late messages have been
// processed and stops the sidecar.
func (h *history) run() {
	var workers sync.WaitGroup
	for w := range historyWorkers {
		workers.Go(func() { h.runWorker(w) })
	}
	done := make(chan struct{})
	go h.injectFaults(done)
	workers.Wait()
	done <- struct{}{}
	time.Sleep(10 * time.Minute)
	last := h.currentIncarnation()
	last.kill()
	<-last.stopped
}

// injectFaults pauses or replaces the sidecar at random times until done.
func (h *history) injectFaults(done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(h.seed, 7))
	for {
		select {
		case <-done:
			return
		case <-time.After(randomDuration(rng, 2*time.Second, 12*time.Second)):
		}
		if rng.IntN(3) == 0 {
			h.replace()
			continue
		}
		i := h.currentIncarnation()
		i.mu.Lock()
		i.pausedUntil = time.Now().Add(randomDuration(rng, 100*time.Millisecond, 6*time.Second))
		i.mu.Unlock()
	}
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// runWorker performs the operations of one worker, one after the other.
func (h *history) runWorker(worker int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(100+worker)))
	for n := range *historyOperations / historyWorkers {
		op := &operation{id: fmt.Sprintf("w%d-%d", worker, n), idempotent: rng.IntN(2) == 0}
		c := &historyCaller{h: h, rng: rng, op: op}
		c.call()
		h.mu.Lock()
		h.ops = append(h.ops, op)
		h.mu.Unlock()
	}
}

// verify checks the outcomes against the counts of the backend server, and that every
// outcome occurred.
func (h *history) verify() {
	outcomes := map[string]int{}
	for _, op := range h.ops {
		outcomes[op.outcome]++
		total := 0
		for _, id := range op.attempts {
			total += h.backend.count(id)
		}
		switch {
		case total > 1:
			h.t.Errorf("%s ran %d times", op.id, total)
		case op.outcome == "not-run" && total != 0:
			h.t.Errorf("%s has the outcome not-run but ran", op.id)
		case op.outcome == "ok" && total != 1:
			h.t.Errorf("%s was answered but ran %d times", op.id, total)
		case op.outcome == "ok" && op.answer != wholeAnswer(op.attempts[len(op.attempts)-1]):
			h.t.Errorf("%s got the wrong answer %q", op.id, op.answer)
		}
	}
	h.t.Logf("seed %d: %d operations, %v", h.seed, len(h.ops), outcomes)
	for _, outcome := range []string{"ok", "not-run", "unknown", "failed"} {
		if outcomes[outcome] == 0 {
			h.t.Errorf("no operation ended as %s: the history does not cover this outcome", outcome)
		}
	}
}

// historyCaller performs one operation with the protocol of an entry.
type historyCaller struct {
	h    *history
	rng  *rand.Rand
	op   *operation
	boot string
}

// call performs the operation. It retries with a new dispatch id after the outcome not-run.
func (c *historyCaller) call() {
	for n := range historyAttempts {
		id := fmt.Sprintf("%s-%d", c.op.id, n)
		c.op.attempts = append(c.op.attempts, id)
		if !c.reserve(id) {
			continue
		}
		if c.op.outcome = c.dispatch(id); c.op.outcome != "not-run" {
			return
		}
	}
	c.op.outcome = "not-run"
}

// incompleteOutcome returns the outcome of a request that may have run and has no complete answer.
func (c *historyCaller) incompleteOutcome() string {
	if c.op.idempotent {
		return "failed"
	}
	return "unknown"
}

func (c *historyCaller) target() string {
	if c.op.idempotent {
		return "e"
	}
	return "s"
}

// duplicateContextKey marks the context of a duplicated message, whose answer is discarded.
type duplicateContextKey struct{}

func isDuplicate(ctx context.Context) bool { return ctx.Value(duplicateContextKey{}) != nil }

// exchange sends one message over a faulty network, which may delay, duplicate or lose it or
// its answer. It reports false if no answer arrived before the timeout.
func exchange[R any](c *historyCaller, send func(ctx context.Context, i *incarnation) (R, error)) (R, bool) {
	var zero R
	timeout := randomDuration(c.rng, time.Second, 5*time.Second)
	if c.rng.IntN(8) == 0 {
		timeout = randomDuration(c.rng, 10*time.Millisecond, 500*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if c.rng.IntN(5) == 0 {
		duplicateDelay := randomDuration(c.rng, 0, 20*time.Second)
		go func() {
			time.Sleep(duplicateDelay)
			if i := c.h.currentIncarnation(); i.waitWhilePaused() {
				_, _ = send(context.WithValue(i.ctx, duplicateContextKey{}, true), i)
			}
		}()
	}
	replies := make(chan R, 1)
	requestDelay, replyDelay := c.delay(), c.delay()
	propagateCancel := c.rng.IntN(3) > 0
	go func() {
		time.Sleep(requestDelay)
		i := c.h.currentIncarnation()
		if requestDelay > lostAfter || !i.waitWhilePaused() {
			return
		}
		serverCtx := i.ctx
		if propagateCancel {
			var stop context.CancelFunc
			serverCtx, stop = context.WithCancel(i.ctx)
			defer stop()
			defer context.AfterFunc(ctx, stop)()
		}
		reply, err := send(serverCtx, i)
		if err == nil && i.waitWhilePaused() {
			time.Sleep(replyDelay)
			replies <- reply
		}
	}()
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return zero, false
	}
}

// delay returns the delay of a message. One in ten is late and may be lost.
func (c *historyCaller) delay() time.Duration {
	if c.rng.IntN(10) == 0 {
		return randomDuration(c.rng, 50*time.Millisecond, 2*lostAfter)
	}
	return randomDuration(c.rng, 0, 20*time.Millisecond)
}

func (c *historyCaller) reserve(id string) bool {
	reply, ok := exchange(c, func(ctx context.Context, i *incarnation) (*lanepb.ReserveResponse, error) {
		return i.sidecar.Reserve(ctx, &lanepb.ReserveRequest{DispatchId: id, BackendServer: c.target(), Account: "a",
			Version: "v1", TierRank: uint32(len(id) % 3), BudgetMs: uint32(historyBudget / time.Millisecond), PromptTokens: 100, OutputTokens: 5, Idempotent: c.op.idempotent})
	})
	if !ok || reply.GetGrant() == nil {
		return false
	}
	c.boot = reply.GetGrant().GetBootId()
	return true
}

// dispatch sends the body once, resumes or revokes as an entry does, and returns the outcome.
func (c *historyCaller) dispatch(id string) string {
	var body bytes.Buffer
	header := &lanepb.DispatchHeader{DispatchId: id, BootId: c.boot, BackendServer: c.target(), Method: "POST", Path: "/"}
	if err := frame.WriteHeader(&body, header); err != nil {
		c.h.t.Error(err)
	}
	body.WriteString(id)
	if c.rng.IntN(8) == 0 {
		c.revokeConcurrently(id)
	}
	collected := &collector{}
	c.stream("/lane/v1/dispatch", body.Bytes(), collected)
	for tries := 0; ; tries++ {
		if outcome := c.outcome(collected); outcome != "" {
			return outcome
		}
		if tries == 3 {
			return c.incompleteOutcome()
		}
		switch c.revoke(id) {
		case lanepb.DispatchState_DISPATCH_STATE_BARRED:
			return "not-run"
		case lanepb.DispatchState_DISPATCH_STATE_OTHER_BOOT, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN:
			return c.incompleteOutcome()
		}
		encoded, _ := proto.Marshal(&lanepb.ResumeRequest{DispatchId: id, BootId: c.boot, FromSequence: collected.nextSequence()})
		c.stream("/lane/v1/resume", encoded, collected)
	}
}

// revokeConcurrently revokes a dispatch concurrently with its transmission.
func (c *historyCaller) revokeConcurrently(id string) {
	wait := randomDuration(c.rng, 0, 50*time.Millisecond)
	boot := c.boot
	go func() {
		time.Sleep(wait)
		if i := c.h.currentIncarnation(); i.waitWhilePaused() {
			_, _ = i.sidecar.Revoke(i.ctx, &lanepb.RevokeRequest{DispatchId: id, BootId: boot})
		}
	}()
}

func (c *historyCaller) revoke(id string) lanepb.DispatchState {
	boot := c.boot
	reply, ok := exchange(c, func(ctx context.Context, i *incarnation) (*lanepb.RevokeResponse, error) {
		return i.sidecar.Revoke(ctx, &lanepb.RevokeRequest{DispatchId: id, BootId: boot})
	})
	if !ok {
		return lanepb.DispatchState_DISPATCH_STATE_UNSPECIFIED
	}
	return reply.GetState()
}

// outcome returns the outcome of the collected frames, or "" without a closing frame.
func (c *historyCaller) outcome(collected *collector) string {
	end := collected.closing()
	switch {
	case end == nil:
		return ""
	case end.GetEnd() != nil:
		c.op.answer = collected.text()
		return "ok"
	}
	switch end.GetFault().GetOutcome() {
	case lanepb.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	case lanepb.Outcome_OUTCOME_FAILED, lanepb.Outcome_OUTCOME_UNKNOWN:
		return c.incompleteOutcome()
	}
	return ""
}

// stream posts a message and collects frames until the answer ends or the connection breaks.
func (c *historyCaller) stream(path string, body []byte, into *collector) {
	attempt := &collector{}
	cutAfter := -1
	if c.rng.IntN(3) == 0 {
		cutAfter = c.rng.IntN(200)
	}
	lastByteDelay, bytesUntilCut := time.Duration(0), -1
	if c.rng.IntN(3) == 0 {
		lastByteDelay = randomDuration(c.rng, 0, time.Second)
	}
	if c.rng.IntN(5) == 0 {
		bytesUntilCut = c.rng.IntN(len(body))
	}
	_, _ = exchange(c, func(ctx context.Context, i *incarnation) (bool, error) {
		ctx, cut := context.WithCancel(ctx)
		defer cut()
		w := &cutWriter{to: &collector{}, remaining: cutAfter, cut: cut, incarnation: i}
		if !isDuplicate(ctx) {
			w.to = attempt
		}
		upload := &slowUpload{ctx: ctx, rest: body, lastByteDelay: lastByteDelay, bytesUntilCut: bytesUntilCut}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, path, upload)
		if err != nil {
			return false, err
		}
		i.mux.ServeHTTP(w, request)
		return true, nil
	})
	into.merge(attempt)
}

// slowUpload is a request body whose last byte is delayed or that breaks off.
type slowUpload struct {
	ctx  context.Context
	rest []byte
	// lastByteDelay is the delay of the last byte.
	lastByteDelay time.Duration
	// bytesUntilCut is the number of bytes until the body breaks off; -1 means never.
	bytesUntilCut int
}

func (u *slowUpload) Read(p []byte) (int, error) {
	if u.bytesUntilCut == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if len(u.rest) == 0 {
		return 0, io.EOF
	}
	n := len(u.rest) - 1
	if n == 0 {
		time.Sleep(u.lastByteDelay)
		n = 1
	}
	if u.bytesUntilCut > 0 {
		n = min(n, u.bytesUntilCut)
		u.bytesUntilCut -= n
	}
	n = copy(p, u.rest[:n])
	u.rest = u.rest[n:]
	return n, u.ctx.Err()
}

// cutWriter is a response writer whose connection breaks after a number of bytes.
type cutWriter struct {
	header http.Header
	to     *collector
	// remaining is the number of bytes until the break; -1 means never.
	remaining   int
	cut         context.CancelFunc
	incarnation *incarnation
}

func (w *cutWriter) Header() http.Header {
	if w.header == nil {
		w.header = http.Header{}
	}
	return w.header
}

func (w *cutWriter) WriteHeader(int) {}

func (w *cutWriter) Write(p []byte) (int, error) {
	if !w.incarnation.waitWhilePaused() {
		return 0, io.ErrClosedPipe
	}
	if w.remaining >= 0 && len(p) > w.remaining {
		w.to.add(p[:w.remaining])
		w.cut()
		return w.remaining, io.ErrClosedPipe
	}
	if w.remaining >= 0 {
		w.remaining -= len(p)
	}
	w.to.add(p)
	return len(p), nil
}

// collector holds the part of an answer that a caller has received.
type collector struct {
	mu     sync.Mutex
	raw    bytes.Buffer
	frames []*lanepb.Frame
}

func (c *collector) add(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raw.Write(p)
}

// merge appends the frames of another connection that continue the answer.
func (c *collector) merge(from *collector) {
	from.mu.Lock()
	raw := bytes.Clone(from.raw.Bytes())
	from.mu.Unlock()
	r := frame.NewReader(bytes.NewReader(raw))
	for {
		f, err := r.Read()
		if err != nil {
			return
		}
		if f.GetSequence() == c.nextSequence() || f.GetFault() != nil {
			c.frames = append(c.frames, f)
		}
	}
}

// nextSequence returns the sequence number of the next frame to be received.
func (c *collector) nextSequence() uint64 { return uint64(len(c.frames)) }

func (c *collector) closing() *lanepb.Frame {
	if f := last(c.frames); f.GetEnd() != nil || f.GetFault() != nil {
		return f
	}
	return nil
}

func (c *collector) text() string { return text(c.frames) }

// countingBackend counts the executions of each dispatch id.
type countingBackend struct {
	mu   sync.Mutex
	runs map[string]int
	seed uint64
}

func (b *countingBackend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func (b *countingBackend) add(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// wholeAnswer returns the complete answer to a dispatch id.
func wholeAnswer(id string) string {
	return strings.Repeat("data: "+id+"\n\n", 5) + "data: [DONE]\n\n"
}

// guardedBackend is the connection of one incarnation to the backend server. Do sends
// nothing while the incarnation is paused or after it was killed.
type guardedBackend struct {
	*countingBackend
	incarnation *incarnation
}

// rng returns a random source that depends only on the seed and the id.
func (b *guardedBackend) rng(id string) *rand.Rand {
	sum := b.seed
	for _, c := range id {
		sum = sum*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(sum, 3))
}

func (b *guardedBackend) Do(ctx context.Context, call platform.Call) (*platform.Answer, error) {
	rng := b.rng(call.ID)
	if !b.incarnation.waitWhilePaused() || rng.IntN(25) == 0 {
		return nil, &platform.NotSentError{Cause: io.ErrClosedPipe}
	}
	time.Sleep(randomDuration(rng, 0, 300*time.Millisecond))
	if rng.IntN(25) == 0 {
		return nil, &platform.BrokenCallError{Cause: io.ErrUnexpectedEOF}
	}
	b.add(call.ID)
	if rng.IntN(25) == 0 {
		return nil, &platform.BrokenCallError{Cause: io.ErrUnexpectedEOF}
	}
	return streamAnswer(b.body(ctx, rng, call.ID, 0)), nil
}

func (b *guardedBackend) Resume(ctx context.Context, id string, from uint64) (*platform.Answer, error) {
	rng := b.rng(fmt.Sprint(id, from))
	if b.count(id) == 0 {
		return nil, &platform.NotFoundError{Kind: "call", Name: id}
	}
	return streamAnswer(b.body(ctx, rng, id, from)), nil
}

// body returns the answer from a byte offset on. In one of three cases it breaks off early.
func (b *guardedBackend) body(ctx context.Context, rng *rand.Rand, id string, from uint64) io.ReadCloser {
	body := &scriptBody{ctx: ctx, interval: randomDuration(rng, 0, 200*time.Millisecond), err: io.EOF}
	rest := wholeAnswer(id)[from:]
	for len(rest) > 0 {
		n := min(len(rest), 1+rng.IntN(30))
		body.parts = append(body.parts, rest[:n])
		rest = rest[n:]
	}
	if rng.IntN(3) == 0 {
		body.parts = body.parts[:rng.IntN(len(body.parts)+1)]
		body.err = io.ErrUnexpectedEOF
	}
	return body
}

func (b *guardedBackend) Cancel(context.Context, string) error { return nil }

func (b *guardedBackend) Load(context.Context) (platform.EngineLoad, error) {
	return platform.EngineLoad{Versions: []string{"v1"}}, nil
}

func (b *guardedBackend) Order(context.Context, platform.Order) (platform.OrderStatus, error) {
	return platform.OrderStatus{State: platform.OrderDone}, nil
}
