package logstream

import (
	"context"
	"math"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// pullFromPeers takes records from peers while the log is down, and when a peer
// is known to have more. Rounds that bring nothing become less frequent.
func (c *Client) pullFromPeers(ctx context.Context) {
	delay := minPullInterval
	for ctx.Err() == nil {
		if !c.needsPull() {
			delay = minPullInterval
			select {
			case <-c.pullWakeUp:
			case <-ctx.Done():
				return
			}
		}
		sleep(ctx, c.random.withJitter(delay))
		if ctx.Err() != nil || !c.needsPull() {
			continue
		}
		before := c.Offset()
		c.pullRound(ctx)
		c.resetPeerOffset()
		delay = min(2*delay, maxPullInterval)
		if c.Offset() > before || !c.Ready() {
			delay = minPullInterval
		}
	}
}

func (c *Client) needsPull() bool {
	offset := c.Offset()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logDown || c.maxPeerOffset > offset
}

// resetPeerOffset forgets the highest offset that a peer told, until a peer tells one again.
func (c *Client) resetPeerOffset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxPeerOffset = 0
}

// pullRound asks a few peers in turn.
func (c *Client) pullRound(ctx context.Context) {
	if !c.Ready() {
		c.startFromPeers(ctx)
		return
	}
	for _, peer := range c.random.sample(c.options.Peers(), maxPullPeers) {
		if err := c.pullFrom(ctx, peer); err != nil {
			c.options.Logger.Debug().Err(err).Msg("peer gave no records")
		}
	}
}

// startFromPeers takes the state of the peer with the highest offset: a process
// that starts during an outage must not go behind what it had before.
func (c *Client) startFromPeers(ctx context.Context) {
	peer, highest := c.highestPeer(ctx)
	if highest == 0 {
		return
	}
	if err := c.pullFrom(ctx, peer); err != nil {
		c.options.Logger.Debug().Err(err).Msg("peer gave no state")
	}
	if c.Offset() >= highest {
		c.setReady()
	}
}

// highestPeer asks many peers at once for their offset.
func (c *Client) highestPeer(ctx context.Context) (best Puller, highest uint64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, peer := range c.random.sample(c.options.Peers(), maxStartPeers) {
		requests.Go(func() {
			response, err := peer.Pull(ctx, &lanepb.PullRequest{FromOffset: math.MaxUint64, MaxRecords: 1})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if response.GetConfigOffset() > highest {
				best, highest = peer, response.GetConfigOffset()
			}
		})
	}
	requests.Wait()
	return best, highest
}

// pullFrom takes what one peer has beyond the state in force.
func (c *Client) pullFrom(ctx context.Context, peer Puller) error {
	for ctx.Err() == nil {
		before := c.Offset()
		if err := c.pullOnce(ctx, peer, before+1); err != nil {
			return err
		}
		if c.Offset() == before {
			return nil
		}
	}
	return ctx.Err()
}

func (c *Client) pullOnce(ctx context.Context, peer Puller, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := peer.Pull(ctx, &lanepb.PullRequest{FromOffset: from, MaxRecords: maxReadRecords})
	if err != nil {
		return errors.Wrap(err, "pulling records from a peer")
	}
	if state := response.GetState(); state != nil {
		c.replaceState(config.FromSnapshot(config.ToSnapshot(state)))
	}
	var records []platform.Record
	for _, record := range response.GetRecords() {
		records = append(records, platform.Record{Offset: record.GetOffset(), Data: record.GetData()})
	}
	return c.applyRecords(records)
}
