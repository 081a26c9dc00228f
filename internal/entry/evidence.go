package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// firstTokenOverdue is the time after dispatch at which a stream without a first token is
	// reported as slow: twice the target of 1.8 s.
	firstTokenOverdue = 2 * 1800 * time.Millisecond
	// interTokenChunks is the number of chunks after which the inter-token time of a stream, then
	// the mean of 16 intervals, is reported without waiting for the end of the stream.
	interTokenChunks = 17
)

// dispatchObserver reports to the evidence sink how one dispatch performed. It reports each
// measurement as soon as it is available because an answer can take minutes. observeChunk and
// finish accept a nil receiver.
type dispatchObserver struct {
	sink         EvidenceSink
	base         health.Observation
	dispatched   time.Time
	overdueTimer *time.Timer

	mu sync.Mutex
	// firstTokenReported and interTokenReported are set once the measurement was reported.
	firstTokenReported, interTokenReported bool
}

// newDispatchObserver returns an observer for a dispatch that starts now. It returns nil if there
// is no evidence sink or the call has no version.
func (e *Entry) newDispatchObserver(c *call, version string) *dispatchObserver {
	if e.options.Evidence == nil || version == "" {
		return nil
	}
	o := &dispatchObserver{
		sink:       e.options.Evidence,
		base:       health.Observation{Pool: c.route.GetPool(), Version: version, Route: c.route.GetName()},
		dispatched: time.Now(),
	}
	if c.stream {
		o.overdueTimer = time.AfterFunc(firstTokenOverdue, func() { o.reportFirstToken(firstTokenOverdue) })
	}
	return o
}

// observeChunk reports the first-token and inter-token times when the answer reaches them.
func (o *dispatchObserver) observeChunk(r *relay) {
	if o == nil || !r.eventStream {
		return
	}
	switch r.chunks {
	case 1:
		o.reportFirstToken(r.firstChunkTime.Sub(o.dispatched))
	case interTokenChunks:
		o.reportInterToken(r)
	}
}

// reportFirstToken reports the time to the first token once.
func (o *dispatchObserver) reportFirstToken(after time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstTokenReported {
		return
	}
	o.firstTokenReported = true
	observation := o.base
	observation.FirstToken, observation.Partial = after, true
	o.sink.Observe(observation)
}

// reportInterToken reports the inter-token time unless the caller slowed the stream down.
func (o *dispatchObserver) reportInterToken(r *relay) {
	if r.slowedByCaller() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interTokenReported = true
	observation := o.base
	observation.InterToken, observation.Partial = r.meanChunkInterval(), true
	o.sink.Observe(observation)
}

// finish reports the result of the dispatch, with the measurements that were not reported before.
// Failures caused by the caller, refusals and lost connections say nothing about the version and
// are not reported.
func (o *dispatchObserver) finish(ctx context.Context, c *call, r *relay, err error) {
	if o == nil {
		return
	}
	if o.overdueTimer != nil {
		o.overdueTimer.Stop()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	firstTokenReported := o.firstTokenReported
	o.firstTokenReported = true
	var fault *FaultError
	var bad *BadAnswerError
	deadlineExceeded := err != nil && !time.Now().Before(c.deadline)
	failed := errors.As(err, &fault) || deadlineExceeded
	badAnswer := errors.As(err, &bad)
	if err != nil && !failed && !badAnswer || causedByCaller(ctx, r, err) {
		return
	}
	observation := o.base
	observation.Failed = failed || r.head.GetStatus() >= http.StatusInternalServerError
	observation.BadAnswer = badAnswer || failed && !deadlineExceeded && r.head != nil
	if r.chunks > 0 && !firstTokenReported {
		observation.FirstToken = r.firstChunkTime.Sub(o.dispatched)
	}
	if r.chunks > 1 && !o.interTokenReported && !r.slowedByCaller() {
		observation.InterToken = r.meanChunkInterval()
	}
	o.sink.Observe(observation)
}

// causedByCaller reports whether the dispatch failed because the caller disconnected, cancelled or
// read too slowly.
func causedByCaller(ctx context.Context, r *relay, err error) bool {
	var disconnected *CallerWriteError
	if errors.As(err, &disconnected) || errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	return err != nil && r.slowedByCaller()
}
