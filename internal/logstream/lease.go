package logstream

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// leaseMarginDivisor: a holder gives up 1/8 of the time to live early, and others
	// wait 1/8 longer, which covers clocks that run at slightly different speeds.
	leaseMarginDivisor = 8
	// leaseRenewDivisor: a lease is renewed after 1/4 of its time to live.
	leaseRenewDivisor = 4
	// nonceBytes is the length of the random part of a holder's name.
	nonceBytes = 8
)

// renewal is when this process saw the last claim or renewal of a lease.
type renewal struct {
	offset uint64
	seenAt time.Time
}

func (c *Client) trackRenewal(now time.Time, name string, lease *configpb.Lease) {
	if lease == nil {
		delete(c.renewals, name)
		return
	}
	if c.renewals[name].offset != lease.GetRenewedOffset() {
		c.renewals[name] = renewal{offset: lease.GetRenewedOffset(), seenAt: now}
	}
}

// Lease is the right to drive something, until Done. Its fencing number goes
// with every act, so that an act of an earlier holder is refused.
type Lease struct {
	client  *Client
	name    string
	holder  string
	fencing uint64
	ttl     time.Duration

	mu      sync.Mutex
	expires time.Time
	ended   bool
	done    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
}

// Fencing returns the fencing number: the offset of the claim.
func (l *Lease) Fencing() uint64 { return l.fencing }

// Valid reports whether the lease is still held, by this process's own monotonic
// clock and with a margin. It is false after a pause that outlasted the lease,
// even before any goroutine has noticed.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && time.Now().Before(l.expires)
}

// Done returns a channel that is closed when the lease is no longer held.
func (l *Lease) Done() <-chan struct{} { return l.done }

// AcquireLease waits until it holds the lease, and renews it until it is
// released, lost, or the client's Run ends. Only one process holds a lease at a
// time: others wait for the time to live and a margin after the last renewal
// that they saw. It fails with *LeaseHeldError when ctx ends first, and with
// *StoppedError when Run does.
func (c *Client) AcquireLease(ctx context.Context, name string, ttl time.Duration) (*Lease, error) {
	holder := c.options.Author + "/" + nonce()
	for {
		if err := c.waitLeaseFree(ctx, name); err != nil {
			return nil, err
		}
		lease, err := c.claimLease(ctx, name, holder, ttl)
		if lease != nil {
			return lease, nil
		}
		if err != nil {
			c.options.Logger.Debug().Err(err).Str("lease", name).Msg("lease was not claimed; trying again")
			sleep(ctx, minRetryDelay)
		}
	}
}

// waitLeaseFree waits until nobody can hold the lease any more.
func (c *Client) waitLeaseFree(ctx context.Context, name string) error {
	for {
		changed := c.holder.Changed()
		lease, wait := c.leaseWait(name)
		if wait <= 0 && c.Ready() && ctx.Err() == nil {
			return nil
		}
		timer := time.NewTimer(max(wait, minRetryDelay))
		select {
		case <-changed:
		case <-timer.C:
		case <-c.stopped:
			timer.Stop()
			return errors.WithStack(&StoppedError{})
		case <-ctx.Done():
			timer.Stop()
			return errors.WithStack(&LeaseHeldError{Name: name, Holder: lease.GetHolder(), Cause: ctx.Err()})
		}
		timer.Stop()
	}
}

// leaseWait returns the lease in force and how long it may still be held.
func (c *Client) leaseWait(name string) (*configpb.Lease, time.Duration) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	lease := c.holder.Current().GetLeases()[name]
	if lease == nil {
		return nil, 0
	}
	ttl := time.Duration(lease.GetTtlMs()) * time.Millisecond
	return lease, time.Until(c.renewals[name].seenAt.Add(ttl + ttl/leaseMarginDivisor))
}

// claimLease appends a claim and returns the lease if the claim took effect.
//
// The log is read to its end after the wait: a holder extends its lease only
// while it is valid, so a renewal that counts is in the log by now. Without that
// read, a claimer that is cut off from reads would overtake a live holder.
func (c *Client) claimLease(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	if err := c.catchUp(ctx); err != nil {
		return nil, err
	}
	current, wait := c.leaseWait(name)
	if wait > 0 {
		return nil, nil
	}
	sent := time.Now()
	offset, err := c.appendLease(ctx, configpb.LeaseRecord_ACTION_CLAIM, name, holder, current.GetFencing(), ttl)
	if err == nil {
		err = c.WaitFor(ctx, offset)
	} else if c.catchUp(ctx) != nil {
		return nil, err
	}
	claimed := c.holder.Current().GetLeases()[name]
	if claimed.GetHolder() != holder {
		return nil, err
	}
	return c.startLease(claimed, sent.Add(ttl-ttl/leaseMarginDivisor))
}

// startLease begins to renew a lease that was claimed.
func (c *Client) startLease(claimed *configpb.Lease, expires time.Time) (*Lease, error) {
	lease := &Lease{
		client:  c,
		name:    claimed.GetName(),
		holder:  claimed.GetHolder(),
		fencing: claimed.GetFencing(),
		ttl:     time.Duration(claimed.GetTtlMs()) * time.Millisecond,
		expires: expires,
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return nil, errors.WithStack(&StoppedError{})
	}
	c.leases.Go(lease.renewLoop)
	return lease, nil
}

func (c *Client) appendLease(ctx context.Context, action configpb.LeaseRecord_Action, name, holder string, fencing uint64, ttl time.Duration) (uint64, error) {
	return c.Append(ctx, &configpb.Record{Body: &configpb.Record_Lease{Lease: &configpb.LeaseRecord{
		Name:            name,
		Holder:          holder,
		Action:          action,
		PreviousFencing: fencing,
		TtlMs:           uint32(ttl / time.Millisecond),
	}}})
}

// nonce returns a random string, so that a restarted process is another holder.
func nonce() string {
	buffer := make([]byte, nonceBytes)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
