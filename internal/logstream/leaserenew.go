package logstream

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// renewLoop renews the lease until it is released, superseded or expired, or the client stops.
func (l *Lease) renewLoop() {
	defer close(l.stopped)
	defer l.markEnded()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	renew := time.NewTicker(l.ttl / leaseRenewDivisor)
	defer renew.Stop()
	for {
		changed := l.client.holder.Changed()
		if l.superseded() || !l.Valid() {
			return
		}
		expiryTimer := time.NewTimer(time.Until(l.expiry()))
		select {
		case <-renew.C:
			l.renew(ctx)
		case <-changed:
		case <-expiryTimer.C:
		case <-l.stop:
			expiryTimer.Stop()
			return
		case <-l.client.stopped:
			expiryTimer.Stop()
			return
		}
		expiryTimer.Stop()
	}
}

// superseded reports whether the lease in the current state has a different fencing number.
func (l *Lease) superseded() bool {
	return l.client.holder.Current().GetLeases()[l.name].GetFencing() != l.fencing
}

// renew appends one renewal. The time to live counts from when the renewal was sent.
func (l *Lease) renew(ctx context.Context) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, l.expiry())
	defer cancel()
	offset, err := l.client.appendLease(ctx, configpb.LeaseRecord_ACTION_RENEW, l.name, l.holder, l.fencing, l.ttl)
	if err != nil {
		l.client.options.Logger.Debug().Err(err).Str("lease", l.name).Msg("lease renewal failed; retrying")
		return
	}
	if l.client.WaitFor(ctx, offset) != nil {
		return
	}
	if l.client.holder.Current().GetLeases()[l.name].GetRenewedOffset() < offset || l.superseded() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Before(l.expires) {
		l.expires = sent.Add(l.ttl - l.ttl/leaseMarginDivisor)
	}
}

func (l *Lease) expiry() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expires
}

func (l *Lease) markEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.ended = true
		close(l.done)
	}
}

// Release releases the lease, so that other processes don't have to wait until it expires. The
// caller must have stopped acting under the lease.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	active := !l.ended
	l.mu.Unlock()
	l.markEnded()
	if active {
		close(l.stop)
	}
	<-l.stopped
	if !active {
		return
	}
	_, err := l.client.appendLease(ctx, configpb.LeaseRecord_ACTION_RELEASE, l.name, l.holder, l.fencing, l.ttl)
	if err != nil {
		l.client.options.Logger.Debug().Err(err).Str("lease", l.name).Msg("lease release failed; the lease will expire")
	}
}
