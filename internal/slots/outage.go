package slots

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// checkTimeout limits the wait for the answer to a ping.
	checkTimeout = 250 * time.Millisecond
	// minCheckBackoff and maxCheckBackoff bound the time between checks of a lost address.
	minCheckBackoff = 250 * time.Millisecond
	maxCheckBackoff = 4 * time.Second
	// checkJitter is the relative variation of that time. It keeps the entries from checking in
	// step.
	checkJitter = 0.25
	// outageInterest is how long a lost address is checked after the last question about it.
	outageInterest = time.Minute
)

// outages tracks the addresses that don't answer. Each one is checked in the background until it
// answers, so that requests never wait for a lost process. It is safe for concurrent use.
type outages struct {
	mu   sync.Mutex
	lost map[string]*outage
}

// outage is an address that doesn't answer.
type outage struct {
	since     time.Time
	lastAsked time.Time
	// wake requests a check at once.
	wake chan struct{}
}

// Lost reports whether the process at an address doesn't answer at present.
func (c *Client) Lost(address string) bool {
	c.outages.mu.Lock()
	defer c.outages.mu.Unlock()
	o := c.outages.lost[address]
	if o == nil {
		return false
	}
	o.lastAsked = time.Now()
	return true
}

// recordLost starts the outage of an endpoint's address, unless there is one.
func (c *Client) recordLost(endpoint Endpoint, cause error) {
	now := time.Now()
	c.outages.mu.Lock()
	defer c.outages.mu.Unlock()
	if c.outages.lost[endpoint.Address] != nil || c.ctx.Err() != nil {
		return
	}
	o := &outage{since: now, lastAsked: now, wake: make(chan struct{}, 1)}
	c.outages.lost[endpoint.Address] = o
	c.Logger.Warn().Str("dependency", endpoint.dependency()).Str("address", endpoint.Address).Str("backend_server", endpoint.Engine).
		Err(cause).Msg("dependency lost")
	c.checks.Go(func() { c.checkUntilAnswered(endpoint, o.wake) })
}

func (e Endpoint) dependency() string {
	if e.Deputy {
		return "deputy"
	}
	return "sidecar"
}

// RecheckLost checks all lost addresses soon. It is called when another process has reached one of
// them.
func (c *Client) RecheckLost() {
	c.outages.mu.Lock()
	defer c.outages.mu.Unlock()
	for _, o := range c.outages.lost {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// checkUntilAnswered checks a lost endpoint until it answers, nobody has asked about it for
// outageInterest, or the client is closed.
func (c *Client) checkUntilAnswered(endpoint Endpoint, wake <-chan struct{}) {
	for backoff := minCheckBackoff; ; backoff = min(2*backoff, maxCheckBackoff) {
		if !c.waitForCheck(backoff, wake) {
			return
		}
		if err := c.ping(c.ctx, endpoint); err == nil || c.outages.uninteresting(endpoint.Address) {
			c.endOutage(endpoint, err)
			return
		}
	}
}

// waitForCheck waits for about a time, or for minCheckBackoff and wake. It reports false if the client
// is closed.
func (c *Client) waitForCheck(backoff time.Duration, wake <-chan struct{}) bool {
	earliest, timer := time.NewTimer(minCheckBackoff), time.NewTimer(time.Duration((1-checkJitter+2*checkJitter*rand.Float64())*float64(backoff)))
	defer earliest.Stop()
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-earliest.C:
	}
	select {
	case <-c.ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}

func (o *outages) uninteresting(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.lost[address].lastAsked) > outageInterest
}

func (c *Client) endOutage(endpoint Endpoint, err error) {
	c.outages.mu.Lock()
	defer c.outages.mu.Unlock()
	o := c.outages.lost[endpoint.Address]
	delete(c.outages.lost, endpoint.Address)
	if err == nil {
		c.Logger.Info().Str("dependency", endpoint.dependency()).Str("address", endpoint.Address).Str("backend_server", endpoint.Engine).
			Dur("lost_ms", time.Since(o.since)).Msg("dependency regained")
	}
}

// Check fails with *UnreachableError if the process at an endpoint doesn't answer a ping. Its address
// is then Lost until it answers.
func (c *Client) Check(ctx context.Context, endpoint Endpoint) error {
	err := c.ping(ctx, endpoint)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		c.recordLost(endpoint, unreachable.Cause)
	}
	return err
}

func (c *Client) ping(ctx context.Context, endpoint Endpoint) error {
	conn, err := c.connect(ctx, endpoint)
	if err != nil {
		return err
	}
	pong := conn.expectPong()
	if !conn.conn.send(&message{Kind: kindPing}) {
		return conn.unreachableError(&ClosedError{Cause: conn.conn.cause})
	}
	timeout := time.NewTimer(checkTimeout)
	defer timeout.Stop()
	select {
	case <-pong:
		return nil
	case <-conn.conn.closed:
		return conn.unreachableError(&ClosedError{Cause: conn.conn.cause})
	case <-timeout.C:
		// A later check starts afresh, in case only this connection is silent.
		conn.closeIfUnused(&SilentError{Waited: checkTimeout})
		return conn.unreachableError(&SilentError{Waited: checkTimeout})
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
