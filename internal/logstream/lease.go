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
	// leaseMarginDivisor is the divisor of the time to live that yields the safety margin. The
	// holder stops 1/8 early and others wait 1/8 longer, which covers differing clock rates.
	leaseMarginDivisor = 8
	// leaseRenewDivisor makes the holder renew a lease every 1/4 of its time to live.
	leaseRenewDivisor = 4
	// nonceBytes is the length of the random part of a holder's name.
	nonceBytes = 8
)

// renewal is when this process received the last claim or renewal of a lease.
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

// Lease is an exclusive right that is held until Done is closed. Each record written under it
// carries its fencing number, so records of earlier holders are rejected.
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

// Fencing returns the fencing number, which is the offset of the claim.
func (l *Lease) Fencing() uint64 { return l.fencing }

// Valid reports whether the lease is held according to the local monotonic clock, with a safety
// margin. After a pause of the process longer than the lease it returns false immediately, even
// before Done is closed.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && time.Now().Before(l.expires)
}

// Done returns a channel that is closed when the lease is no longer held.
func (l *Lease) Done() <-chan struct{} { return l.done }

// AcquireLease blocks until it has claimed the lease. The lease is renewed until it is released,
// superseded or expired, or Run ends. At most one process holds a lease: others wait for the time
// to live plus a margin after the last renewal that they received. AcquireLease returns
// *LeaseHeldError if ctx is done first, and *StoppedError if Run ends first.
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
			c.options.Logger.Debug().Err(err).Str("lease", name).Msg("lease claim failed; retrying")
			sleep(ctx, minRetryDelay)
		}
	}
}

// waitLeaseFree blocks until any earlier holder's lease has expired. It returns *LeaseHeldError if ctx
// is done first, and *StoppedError if Run ends first.
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

// leaseWait returns the current lease and the time until it has certainly expired.
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

// claimLease appends a claim and returns the lease if the claim took effect. It returns nil without
// an error if another process holds the lease.
//
// It reads the log to its end after the wait. A holder extends its lease only while it is valid,
// so all renewals that count are in the log by now. Without that read, a process that can append
// but can't read would supersede a live holder.
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

// startLease returns the Lease for an accepted claim and starts renewing it.
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

// nonce returns a random string that distinguishes the incarnations of a process as holders.
func nonce() string {
	buffer := make([]byte, nonceBytes)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
