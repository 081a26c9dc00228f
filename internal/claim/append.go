package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// maxBatch is the maximum number of claims in one record.
	maxBatch = 500
	// appendTimeout bounds one append.
	appendTimeout = 6 * time.Second
	// appendBurst is the number of appends that may follow each other without a delay.
	appendBurst = 10
)

// appendBatches appends the queued claims in batches until ctx ends.
func (c *Claims) appendBatches(ctx context.Context) {
	limiter := newRateLimiter(c.options.AppendsPerSecond, appendBurst)
	for {
		select {
		case <-c.queued:
		case <-ctx.Done():
			return
		}
		sleep(ctx, max(c.options.BatchDelay, limiter.wait(time.Now())))
		if ctx.Err() != nil {
			return
		}
		if batch := c.takeBatch(); len(batch) > 0 {
			limiter.take(time.Now())
			c.appendBatch(ctx, batch)
		}
	}
}

// takeBatch takes the oldest queued claims whose callers are still waiting.
func (c *Claims) takeBatch() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*pendingClaim
	for len(c.queue) > 0 && len(batch) < maxBatch {
		p := c.queue[0]
		c.queue = c.queue[1:]
		if c.pending[p.claim.GetDispatchId()] == p {
			p.mayBeAppended = true
			batch = append(batch, p)
		}
	}
	if len(c.queue) > 0 {
		select {
		case c.queued <- struct{}{}:
		default:
		}
	}
	return batch
}

// appendBatch appends one batch. If the response is lost, the claims stay pending, and the
// reader decides them if they are in the log.
func (c *Claims) appendBatch(ctx context.Context, batch []*pendingClaim) {
	message := &configpb.ClaimBatch{Author: c.options.Author}
	for _, p := range batch {
		message.Claims = append(message.Claims, p.claim)
	}
	data, err := proto.Marshal(message)
	if err != nil {
		c.failBatch(batch, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.options.Log.Append(ctx, platform.StreamClaims, data)
	c.metrics.countAppend(ctx, err)
	// AppendUnknownError may wrap an UnavailableError, so both are checked.
	var unknown *platform.AppendUnknownError
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unknown) && errors.As(err, &unavailable) {
		c.failBatch(batch, err)
		return
	}
	if err != nil {
		c.options.Logger.Warn().Err(err).Int("claims", len(batch)).Msg("response to an append of claims was lost; result unknown")
	}
}

// failBatch fails claims that were certainly not appended.
func (c *Claims) failBatch(batch []*pendingClaim, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range batch {
		if c.pending[p.claim.GetDispatchId()] == p {
			c.fail(p, errors.WithStack(&LogUnavailableError{Cause: cause}))
		}
	}
}

// rateLimiter limits a rate and allows a burst. It is used by a single goroutine.
type rateLimiter struct {
	interval time.Duration
	burst    int
	// fullAt is when the whole burst is available again.
	fullAt time.Time
}

func newRateLimiter(perSecond, burst int) *rateLimiter {
	return &rateLimiter{interval: time.Second / time.Duration(perSecond), burst: burst}
}

// wait returns how long the next take must wait. It may be negative.
func (l *rateLimiter) wait(now time.Time) time.Duration {
	return l.fullAt.Add(-time.Duration(l.burst-1) * l.interval).Sub(now)
}

func (l *rateLimiter) take(now time.Time) {
	if l.fullAt.Before(now) {
		l.fullAt = now
	}
	l.fullAt = l.fullAt.Add(l.interval)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
