// Package claim manages the claim stream of the log. Attempts to run a non-idempotent request
// under an idempotency key are appended in batches, and every reader takes the first claim of a
// key, by offset, as the winner.
//
// Decisions do not depend on the reader's clock. Whether a key is still held follows from the
// times recorded in the claims, so all readers decide in the same way.
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
	// claimTimeout bounds Claim if its context has no earlier deadline.
	claimTimeout = 8 * time.Second
)

// Options configure New.
type Options struct {
	// Log is the platform's log. Required.
	Log platform.Log
	// Author identifies this process in the stream. Required, unique among processes.
	Author string
	// Window is how long a key stays held. It must be equal in all processes and shorter than
	// the log's retention. The default is 1 h.
	Window time.Duration
	// BatchDelay is how long a claim waits for others to join its batch. The default is 3 ms.
	BatchDelay time.Duration
	// AppendsPerSecond limits the appends of this process. The default is 20.
	AppendsPerSecond int
	Logger           zerolog.Logger
	// Meter creates the instruments. If nil, nothing is measured.
	Meter metric.Meter
}

// Result is the decision on one claim.
type Result struct {
	// Won is set if the claim is in force. Only its caller may dispatch the request.
	Won bool
	// Holder is the claim in force, which is the caller's own if Won is set. It identifies the
	// sidecar that keeps the answer.
	Holder *configpb.Claim
}

// Claims appends claims and replays the claim stream. It is safe for concurrent use.
type Claims struct {
	options Options
	metrics *metrics

	mu sync.Mutex
	// table is the state after replaying the stream up to and including offset.
	table  *table
	offset uint64
	// knownSince is the time of the oldest claim known to this process, or zero if it has read
	// all claims. awaitingFirstClaim is set after a truncated part of the stream until the next
	// claim is read.
	knownSince         time.Time
	awaitingFirstClaim bool
	clocks             *clockSamples
	// live is set while records are read as soon as they are appended.
	live bool
	// queue holds the claims that have not been taken into an append.
	queue  []*pendingClaim
	queued chan struct{}
	// pending holds the undecided claims by dispatch ID.
	pending map[string]*pendingClaim
}

// pendingClaim is one call of Claim.
type pendingClaim struct {
	claim *configpb.Claim
	// mayBeAppended is set once the claim may be in the log.
	mayBeAppended bool
	// done is closed after result and err are set.
	done   chan struct{}
	result Result
	err    error
}

// New returns a Claims that is idle until Run is called.
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

// Claim appends one claim and waits until its position in the stream is known, for at most 8 s.
// The caller sets all fields except claimed_unix_ms. A claim without previous wins if its key
// is free. A claim whose previous is the dispatch ID of the claim in force replaces that claim.
//
// It returns *LogUnavailableError if the claim was certainly not appended, *ResultUnknownError
// if it may have been appended, and *FingerprintMismatchError if the key is held by another
// request. After the first two errors the request must not be dispatched, so the caller may
// truthfully report that it was not run.
func (c *Claims) Claim(ctx context.Context, claim *configpb.Claim) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim.ClaimedUnixMs = time.Now().UnixMilli()
	p := c.enqueue(claim)
	select {
	case <-p.done:
	case <-ctx.Done():
		c.expire(p, ctx.Err())
	}
	c.metrics.countDecision(ctx, p)
	return p.result, p.err
}

// Lookup returns the claim in force for a key, as far as this process has read the stream.
func (c *Claims) Lookup(keyHash []byte) (*configpb.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.lookup(keyHash, time.Now().UnixMilli())
}

// enqueue queues a claim for the appender, unless the key is already held or the process cannot
// decide claims.
func (c *Claims) enqueue(claim *configpb.Claim) *pendingClaim {
	p := &pendingClaim{claim: claim, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder, inForce := c.table.lookup(claim.GetKeyHash(), claim.GetClaimedUnixMs()); inForce && !replaces(claim, holder) {
		p.decide(holder)
		return p
	}
	if err := c.checkReady(time.Now()); err != nil {
		c.options.Logger.Warn().Err(err).Msg("claim refused: cannot determine whether its key is free")
		p.err = errors.WithStack(&LogUnavailableError{Cause: err})
		close(p.done)
		return p
	}
	c.queue = append(c.queue, p)
	c.pending[claim.GetDispatchId()] = p
	select {
	case c.queued <- struct{}{}:
	default:
	}
	return p
}

// checkReady returns an error if this process cannot determine whether a key is free. The
// caller holds mu.
func (c *Claims) checkReady(now time.Time) error {
	if c.historyIncomplete(now) {
		return &IncompleteHistoryError{Since: c.knownSince, Window: c.options.Window}
	}
	return c.clocks.check(now)
}

// expire ends a call whose context ended before its claim was decided.
func (c *Claims) expire(p *pendingClaim, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-p.done:
		return
	default:
	}
	if p.mayBeAppended {
		c.fail(p, errors.WithStack(&ResultUnknownError{DispatchID: p.claim.GetDispatchId(), Cause: cause}))
		return
	}
	c.fail(p, errors.WithStack(&LogUnavailableError{Cause: cause}))
}

// fail ends a call with an error. The caller holds mu.
func (c *Claims) fail(p *pendingClaim, err error) {
	delete(c.pending, p.claim.GetDispatchId())
	p.err = err
	close(p.done)
}

// decide ends a call with the claim in force for its key.
func (p *pendingClaim) decide(holder *configpb.Claim) {
	p.result = Result{Won: holder.GetDispatchId() == p.claim.GetDispatchId(), Holder: holder}
	if !sameRequest(p.claim, holder) {
		p.err = errors.WithStack(&FingerprintMismatchError{KeyHash: p.claim.GetKeyHash()})
	}
	close(p.done)
}
