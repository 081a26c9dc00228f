// Package claim owns the claim stream of the log: attempts to run a
// non-idempotent request under an idempotency key are appended in batches, and
// the first claim of a key in the order of offsets wins at every reader.
//
// It never decides by a clock of its own: whether a key is still held follows
// from the times that stand in the claims, so that all readers decide alike.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	defaultWindow           = time.Hour
	defaultBatchDelay       = 3 * time.Millisecond
	defaultAppendsPerSecond = 20
	// claimTimeout bounds Claim when its context has no earlier deadline.
	claimTimeout = 8 * time.Second
)

// Options configure New.
type Options struct {
	// Log is the platform's log. Required.
	Log platform.Log
	// Author names this process in the stream. Required, unique among processes.
	Author string
	// Window is how long a key stays held. It must be the same at all processes,
	// and shorter than the log's retention. Default 1 h.
	Window time.Duration
	// BatchDelay is how long a claim waits for others. Default 3 ms.
	BatchDelay time.Duration
	// AppendsPerSecond bounds the appends of this process. Default 20.
	AppendsPerSecond int
	Logger           zerolog.Logger
	// Meter makes the instruments; nil: none.
	Meter metric.Meter
}

// Result is the decision on one claim.
type Result struct {
	// Won is true when the claim is in force: the caller, and nobody else, may dispatch.
	Won bool
	// Holder is the claim in force; the caller's own when Won. It says where the answer is.
	Holder *configpb.Claim
}

// Claims appends claims and folds the claim stream.
type Claims struct {
	options Options
	metrics *metrics

	mu sync.Mutex
	// table is the fold of the stream up to and including offset.
	table  *table
	offset uint64
	// knownSince is the time of the oldest claim that this process knows; zero
	// when it knows all. skipped is set until the first claim behind a gap.
	knownSince         time.Time
	awaitingFirstClaim bool
	clocks             *clockSamples
	// live is set while each record is read as soon as it is appended.
	live bool
	// queue holds the claims that are not in an append yet.
	queue  []*pendingClaim
	queued chan struct{}
	// pending holds the claims whose place in the stream is awaited, by dispatch id.
	pending map[string]*pendingClaim
}

// pendingClaim is one call of Claim.
type pendingClaim struct {
	claim *configpb.Claim
	// mayBeAppended is set once the claim may be in the log.
	mayBeAppended bool
	// done is closed when result and err are set.
	done   chan struct{}
	result Result
	err    error
}

// New returns claims that do nothing until Run is called.
func New(options Options) *Claims {
	if options.Window == 0 {
		options.Window = defaultWindow
	}
	if options.BatchDelay == 0 {
		options.BatchDelay = defaultBatchDelay
	}
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = defaultAppendsPerSecond
	}
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	return &Claims{
		options: options,
		metrics: newMetrics(options.Meter),
		table:   newTable(options.Window),
		clocks:  newClockSamples(options.Window),
		queued:  make(chan struct{}, 1),
		pending: map[string]*pendingClaim{},
	}
}

// Run reads the claim stream and appends batches until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.readStream(ctx) })
	tasks.Go(func() { c.appendBatches(ctx) })
	tasks.Wait()
	return ctx.Err()
}

// Claim appends one claim and waits until its place in the stream is known, for
// 8 s at most. The caller sets all fields but claimed_unix_ms. A claim whose
// previous is empty wins when its key is free; one whose previous names the
// dispatch id of the claim in force replaces it.
//
// It fails with *LogUnavailableError when the claim was certainly not appended,
// with *ClaimUnknownError when it may have been (it must not be dispatched in
// either case: a not-run is true), and with *FingerprintMismatchError when the
// key is held by another request.
func (c *Claims) Claim(ctx context.Context, claim *configpb.Claim) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim.ClaimedUnixMs = time.Now().UnixMilli()
	w := c.enqueue(claim)
	select {
	case <-w.done:
	case <-ctx.Done():
		c.expire(w, ctx.Err())
	}
	c.metrics.countDecision(ctx, w)
	return w.result, w.err
}

// Lookup returns the claim in force for a key, as far as this process has read.
func (c *Claims) Lookup(keyHash []byte) (*configpb.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.lookup(keyHash, time.Now().UnixMilli())
}

// enqueue hands a claim to the appender, unless it has lost already.
func (c *Claims) enqueue(claim *configpb.Claim) *pendingClaim {
	w := &pendingClaim{claim: claim, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder, inForce := c.table.lookup(claim.GetKeyHash(), claim.GetClaimedUnixMs()); inForce && !replaces(claim, holder) {
		w.decide(holder)
		return w
	}
	if err := c.checkReady(time.Now()); err != nil {
		c.options.Logger.Warn().Err(err).Msg("claim refused: it can't be told whether its key is free")
		w.err = errors.WithStack(&LogUnavailableError{Cause: err})
		close(w.done)
		return w
	}
	c.queue = append(c.queue, w)
	c.pending[claim.GetDispatchId()] = w
	select {
	case c.queued <- struct{}{}:
	default:
	}
	return w
}

// checkReady says why this process can't tell whether a key is free. The caller holds mu.
func (c *Claims) checkReady(now time.Time) error {
	if c.historyIncomplete(now) {
		return &HistoryError{Since: c.knownSince, Window: c.options.Window}
	}
	return c.clocks.check(now)
}

// expire ends a call whose time is up before its claim was decided.
func (c *Claims) expire(w *pendingClaim, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-w.done:
		return
	default:
	}
	if w.mayBeAppended {
		c.fail(w, errors.WithStack(&ClaimUnknownError{DispatchID: w.claim.GetDispatchId(), Cause: cause}))
		return
	}
	c.fail(w, errors.WithStack(&LogUnavailableError{Cause: cause}))
}

// fail ends a call with an error. The caller holds mu.
func (c *Claims) fail(w *pendingClaim, err error) {
	delete(c.pending, w.claim.GetDispatchId())
	w.err = err
	close(w.done)
}

// decide ends a call with the claim in force for its key.
func (w *pendingClaim) decide(holder *configpb.Claim) {
	w.result = Result{Won: holder.GetDispatchId() == w.claim.GetDispatchId(), Holder: holder}
	if !sameRequest(w.claim, holder) {
		w.err = errors.WithStack(&FingerprintMismatchError{KeyHash: w.claim.GetKeyHash()})
	}
	close(w.done)
}
