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

// pullFromPeers pulls records from peers while the log is down or a peer has reported a higher
// offset. Rounds without new records become less frequent.
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

// resetPeerOffset clears the highest offset reported by peers. The next report of a higher offset
// triggers another round of pulls.
func (c *Client) resetPeerOffset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxPeerOffset = 0
}

// pullRound pulls from a few random peers, or loads the initial state if there is none.
func (c *Client) pullRound(ctx context.Context) {
	if !c.Ready() {
		c.startFromPeers(ctx)
		return
	}
	for _, peer := range c.random.sample(c.options.Peers(), maxPullPeers) {
		if err := c.pullFrom(ctx, peer); err != nil {
			c.options.Logger.Debug().Err(err).Msg("pulling records from peer failed")
		}
	}
}

// startFromPeers pulls the state of the peer with the highest offset. A process that starts
// during an outage must not serve an older configuration than its previous incarnation.
func (c *Client) startFromPeers(ctx context.Context) {
	peer, highest := c.highestPeer(ctx)
	if highest == 0 {
		return
	}
	if err := c.pullFrom(ctx, peer); err != nil {
		c.options.Logger.Debug().Err(err).Msg("pulling the state from peer failed")
	}
	if c.Offset() >= highest {
		c.setReady()
	}
}

// highestPeer requests the offsets of several peers concurrently and returns the highest.
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

// pullFrom pulls records from a peer until it returns none beyond the current state.
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
