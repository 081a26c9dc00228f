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
	// firstTokenOverdue is when a stream without a first token is observed as
	// slow, without waiting for it: twice the target.
	firstTokenOverdue = 2 * 1800 * time.Millisecond
	// interTokenChunks is the number of parts after which the pace of a stream is
	// observed, without waiting for its end.
	interTokenChunks = 17
)

// dispatchObserver tells the evidence sink what one dispatch shows of its version, each
// time as soon as it is known: an answer may go on for minutes.
type dispatchObserver struct {
	sink         EvidenceSink
	base         health.Observation
	dispatched   time.Time
	overdueTimer *time.Timer

	mu sync.Mutex
	// firstTokenReported and pace say that the time was observed.
	firstTokenReported, interTokenReported bool
}

// newDispatchObserver returns the observer of a dispatch that begins now; nil if nobody asks.
func (e *Entry) newDispatchObserver(one *call, version string) *dispatchObserver {
	if e.options.Evidence == nil || version == "" {
		return nil
	}
	o := &dispatchObserver{
		sink:       e.options.Evidence,
		base:       health.Observation{Pool: one.route.GetPool(), Version: version, Route: one.route.GetName()},
		dispatched: time.Now(),
	}
	if one.stream {
		o.overdueTimer = time.AfterFunc(firstTokenOverdue, func() { o.reportFirstToken(firstTokenOverdue) })
	}
	return o
}

// progress takes what the answer shows so far.
func (o *dispatchObserver) progress(r *relay) {
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

func (o *dispatchObserver) reportFirstToken(after time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstTokenReported {
		return
	}
	o.firstTokenReported = true
	one := o.base
	one.FirstToken, one.Partial = after, true
	o.sink.Observe(one)
}

func (o *dispatchObserver) reportInterToken(r *relay) {
	if r.slowedByCaller() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interTokenReported = true
	one := o.base
	one.InterToken, one.Partial = r.meanChunkInterval(), true
	o.sink.Observe(one)
}

// end takes how the dispatch ended, with the times that were not observed before.
func (o *dispatchObserver) end(ctx context.Context, one *call, r *relay, err error) {
	if o == nil {
		return
	}
	if o.overdueTimer != nil {
		o.overdueTimer.Stop()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	sawFirstToken := o.firstTokenReported
	o.firstTokenReported = true
	var fault *FaultError
	var bad *BadAnswerError
	late := err != nil && !time.Now().Before(one.deadline)
	failed := errors.As(err, &fault) || late
	badAnswer := errors.As(err, &bad)
	if err != nil && !failed && !badAnswer || causedByCaller(ctx, r, err) {
		return
	}
	last := o.base
	last.Failed = failed || r.head.GetStatus() >= http.StatusInternalServerError
	last.BadAnswer = badAnswer || failed && !late && r.head != nil
	if r.chunks > 0 && !sawFirstToken {
		last.FirstToken = r.firstChunkTime.Sub(o.dispatched)
	}
	if r.chunks > 1 && !o.interTokenReported && !r.slowedByCaller() {
		last.InterToken = r.meanChunkInterval()
	}
	o.sink.Observe(last)
}

// causedByCaller reports whether a dispatch ended badly because of its caller.
func causedByCaller(ctx context.Context, r *relay, err error) bool {
	var gone *CallerGoneError
	if errors.As(err, &gone) || errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	return err != nil && r.slowedByCaller()
}
