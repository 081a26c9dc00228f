package logstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// readLog reads and applies records until ctx is done.
func (c *Client) readLog(ctx context.Context) {
	started := false
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := c.readStep(ctx, &started)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			delay = minRetryDelay
			continue
		}
		c.setLogDown(true)
		c.metrics.recordReadFailure(ctx)
		c.options.Logger.Debug().Err(err).Msg("reading the log failed; retrying")
		sleep(ctx, c.random.withJitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// readStep reads once. Before the first read and after a truncation it loads a snapshot if needed.
func (c *Client) readStep(ctx context.Context, started *bool) error {
	if !*started {
		if err := c.loadSnapshot(ctx); err != nil {
			return err
		}
		*started = true
	}
	err := c.readOnce(ctx, readWait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		*started = false
		return nil
	}
	return err
}

// readOnce reads records once and applies them.
func (c *Client) readOnce(ctx context.Context, wait time.Duration) error {
	result, err := c.read(ctx, c.Offset()+1, maxReadRecords, wait)
	if err != nil {
		return err
	}
	if err := c.applyRecords(result.Records); err != nil {
		return err
	}
	if c.Offset()+1 >= result.Next {
		c.setReady()
	}
	return nil
}

func (c *Client) read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	unresponsive := time.AfterFunc(unresponsiveAfter, func() { c.setLogDown(true) })
	defer unresponsive.Stop()
	result, err := c.options.Log.Read(ctx, platform.StreamConfig, from, limit, wait)
	if err != nil {
		return result, errors.Wrap(err, "reading the configuration stream")
	}
	unresponsive.Stop()
	c.setLogDown(false)
	c.updateLogBounds(result)
	return result, nil
}

// catchUp reads and applies all records that were in the log when it was called.
func (c *Client) catchUp(ctx context.Context) error {
	result, err := c.read(ctx, c.Offset()+1, maxReadRecords, 0)
	if err != nil {
		return err
	}
	end := result.Next
	for {
		if err := c.applyRecords(result.Records); err != nil {
			return err
		}
		if c.Offset()+1 >= end {
			return nil
		}
		result, err = c.read(ctx, c.Offset()+1, maxReadRecords, 0)
		if err != nil {
			return err
		}
	}
}
