package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 256
	// readWait is how long a read waits in the log for a new record.
	readWait = 5 * time.Second
	// readTimeout bounds a read. It is much longer than readWait because the log may be slow
	// for a long time.
	readTimeout = 15 * time.Second
	// clockSlack is the assumed maximum difference between the clocks of two processes.
	clockSlack = time.Minute
	// minRetryDelay and maxRetryDelay bound the delay between attempts to read an unavailable
	// log.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// readStream replays the claim stream until ctx ends.
func (c *Claims) readStream(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := c.readNext(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		c.setLive(false)
		c.options.Logger.Debug().Err(err).Msg("cannot read claims; retrying")
		sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (c *Claims) readNext(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := c.appliedOffset() + 1
	result, err := c.options.Log.Read(ctx, platform.StreamClaims, from, readLimit, readWait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		c.skipTo(truncated)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reading the claim stream")
	}
	for _, record := range result.Records {
		c.applyRecord(record)
	}
	c.setLive(c.appliedOffset()+1 >= result.Next)
	return nil
}

func (c *Claims) setLive(live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = live
}

func (c *Claims) appliedOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}

// skipTo continues behind claims that the log has truncated.
func (c *Claims) skipTo(truncated *platform.TruncatedError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Logger.Info().Uint64("from", truncated.From).Uint64("first", truncated.First).
		Msg("claims were truncated from the log; continuing at its first offset")
	c.offset = max(c.offset, truncated.First-1)
	c.awaitingFirstClaim = true
	c.knownSince = time.Now()
}

// updateKnownSince sets knownSince to the time of the first claims behind a truncated part of
// the stream, because older claims are unknown to this process. The caller holds mu.
func (c *Claims) updateKnownSince(batch *configpb.ClaimBatch) {
	if !c.awaitingFirstClaim {
		return
	}
	for _, claim := range batch.GetClaims() {
		claimedAt := time.UnixMilli(claim.GetClaimedUnixMs())
		if claimedAt.Before(c.knownSince) {
			c.knownSince = claimedAt
		}
		c.awaitingFirstClaim = false
	}
}

// sampleClock compares the local clock with that of the author of a batch, if the batch was
// read as soon as it was appended. The caller holds mu.
func (c *Claims) sampleClock(batch *configpb.ClaimBatch) {
	claims := batch.GetClaims()
	if !c.live || len(claims) == 0 || batch.GetAuthor() == c.options.Author {
		return
	}
	c.clocks.add(batch.GetAuthor(), claims[len(claims)-1].GetClaimedUnixMs(), time.Now())
}

// historyIncomplete reports whether a key may be held by a claim that this process has never
// read. The caller holds mu.
func (c *Claims) historyIncomplete(now time.Time) bool {
	return !c.knownSince.IsZero() && now.Sub(c.knownSince) < c.options.Window+clockSlack
}

func (c *Claims) applyRecord(record platform.Record) {
	batch := &configpb.ClaimBatch{}
	if err := proto.Unmarshal(record.Data, batch); err != nil {
		c.options.Logger.Error().Err(err).Uint64("offset", record.Offset).Msg("cannot decode claims; record skipped")
		batch = &configpb.ClaimBatch{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Offset <= c.offset {
		return
	}
	c.updateKnownSince(batch)
	c.sampleClock(batch)
	for _, claim := range batch.GetClaims() {
		holder := c.table.apply(claim)
		if p := c.pending[claim.GetDispatchId()]; p != nil {
			delete(c.pending, claim.GetDispatchId())
			p.decide(holder)
		}
	}
	c.offset = record.Offset
}
