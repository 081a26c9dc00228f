// Package logstream owns a process's dealings with the configuration stream of
// the log: it reads and folds the records in the order of their offsets, hands
// them on to peers and takes them from peers while the log is down, appends
// commands by operation id, keeps snapshots young, and holds leases.
//
// It never applies an offset lower than one already applied, and it knows
// nothing of what a record means: that is the fold's (internal/config).
package logstream

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

const (
	// maxReadRecords bounds the records of one read.
	maxReadRecords = 512
	// readWait is how long a read waits at the log for a new record.
	readWait = 2 * time.Second
	// unresponsiveAfter is when a read without an answer counts as a sign that the log is
	// down: peers are asked meanwhile.
	unresponsiveAfter = 2500 * time.Millisecond
	// readTimeout bounds a read. It is long, since a log may be slow for a long time.
	readTimeout = 15 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts at a log that is down.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// minPullInterval and maxPullInterval bound the delay between rounds of pulls from peers
	// while the log is down.
	minPullInterval = 300 * time.Millisecond
	maxPullInterval = time.Second
	// maxPullPeers is how many peers are asked in one round.
	maxPullPeers = 2
	// maxStartPeers is how many peers a process asks for their offset when it starts
	// during an outage of the log.
	maxStartPeers = 32
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
	// defaultSnapshotInterval is the age at which the newest snapshot is replaced.
	defaultSnapshotInterval = 2 * time.Hour
)

// Options configure New.
type Options struct {
	// Log is the platform's log. Required.
	Log platform.Log
	// Author names this process in its records. Required, unique among processes.
	Author string
	// Holder receives each new state. Required; nobody else may set it.
	Holder *config.Holder
	Logger zerolog.Logger
	// Meter makes the instruments; nil: none.
	Meter metric.Meter
	// Peers returns the processes that may be asked for records; nil: none.
	Peers func() []Puller
	// SnapshotEvery is the age at which the newest snapshot is replaced. It is
	// replaced earlier when the log is about to drop it. Default 2 h.
	SnapshotEvery time.Duration
	// Seed makes delays and the choice of peers repeatable; 0: random.
	Seed uint64
}

// Client reads, folds and appends. Its methods may be called from any goroutine.
type Client struct {
	options Options
	holder  *config.Holder
	metrics *metrics
	random  *random

	// applyMu serialises changes of the state; the fields below belong to it.
	applyMu  sync.Mutex
	recent   recentRecords
	pending  map[uint64][]byte
	renewals map[string]renewal
	snapshot snapshotInfo
	// snapshotInterval is the age at which the newest snapshot is replaced.
	snapshotInterval time.Duration
	firstOffset      uint64
	nextOffset       uint64

	mu            sync.Mutex
	ready         bool
	logDown       bool
	maxPeerOffset uint64
	pullWakeUp    chan struct{}
	// stopping and stopped are set and closed when Run ends.
	stopping bool
	stopped  chan struct{}
	leases   sync.WaitGroup
}

// New returns a client that does nothing until Run is called.
func New(options Options) *Client {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = defaultSnapshotInterval
	}
	if options.Peers == nil {
		options.Peers = func() []Puller { return nil }
	}
	return &Client{
		options:          options,
		holder:           options.Holder,
		metrics:          newMetrics(options.Meter, options.Holder),
		random:           newRandom(options.Seed),
		snapshotInterval: options.SnapshotEvery,
		pending:          map[uint64][]byte{},
		renewals:         map[string]renewal{},
		pullWakeUp:       make(chan struct{}, 1),
		stopped:          make(chan struct{}),
	}
}

// Run reads the stream until ctx ends. It must be called once. Leases that are
// still held when it ends are no longer valid.
func (c *Client) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.readLog(ctx) })
	tasks.Go(func() { c.pullFromPeers(ctx) })
	tasks.Go(func() { c.keepSnapshot(ctx) })
	tasks.Wait()
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	close(c.stopped)
	c.leases.Wait()
	return ctx.Err()
}

// Ready reports whether the process has a whole configuration: it has read the
// log to its end once, or taken a state from a peer.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// LogDown reports whether the last read of the log failed.
func (c *Client) LogDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logDown
}

// Observe says that a peer has folded up to an offset. If this process lacks
// records up to it for a while, it asks its peers.
func (c *Client) Observe(offset uint64) {
	c.mu.Lock()
	higher := offset > c.maxPeerOffset
	if higher {
		c.maxPeerOffset = offset
	}
	c.mu.Unlock()
	if higher && offset > c.Offset() {
		c.wakePuller()
	}
}

// Offset returns the offset of the state in force.
func (c *Client) Offset() uint64 { return c.holder.Current().GetOffset() }

// WaitFor waits until the state in force includes an offset.
func (c *Client) WaitFor(ctx context.Context, offset uint64) error {
	for {
		changed := c.holder.Changed()
		if c.Offset() >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) setReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

func (c *Client) setLogDown(down bool) {
	c.mu.Lock()
	changed := c.logDown != down
	c.logDown = down
	c.mu.Unlock()
	if !changed {
		return
	}
	c.options.Logger.Info().Bool("down", down).Uint64("offset", c.Offset()).Msg("state of the log service changed")
	if down {
		c.wakePuller()
	}
}

func (c *Client) wakePuller() {
	select {
	case c.pullWakeUp <- struct{}{}:
	default:
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
