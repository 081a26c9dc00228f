// Package logstream implements a process's client of the configuration stream in the log. It
// reads the records and applies them in the order of their offsets, exchanges records with peers
// while the log is down, appends commands with operation ids, keeps a recent snapshot in the
// log, and holds leases.
//
// It never replaces the state by one with a lower offset. The meaning of records is left to
// config.Apply.
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
	// readWait is how long a read blocks at the log until a new record arrives.
	readWait = 2 * time.Second
	// unresponsiveAfter is the duration of a read after which the log is considered down and
	// records are also pulled from peers.
	unresponsiveAfter = 2500 * time.Millisecond
	// readTimeout bounds a read. It is long because a slow log can stay slow for a long time.
	readTimeout = 15 * time.Second
	// appendTimeout bounds an append.
	appendTimeout = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts while the log is down.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// minPullInterval and maxPullInterval bound the time between rounds of pulls from peers
	// while the log is down.
	minPullInterval = 300 * time.Millisecond
	maxPullInterval = time.Second
	// maxPullPeers bounds the peers that are called in one round.
	maxPullPeers = 2
	// maxStartPeers bounds the peers whose offset is requested by a process that starts during
	// an outage of the log.
	maxStartPeers = 32
	// pullTimeout bounds a pull.
	pullTimeout = time.Second
	// defaultSnapshotInterval is the default of Options.SnapshotInterval.
	defaultSnapshotInterval = 2 * time.Hour
)

// Options configures a Client.
type Options struct {
	// Log is the platform's log. Required.
	Log platform.Log
	// Author identifies this process in its records. Required; unique among processes.
	Author string
	// Holder receives each new state. Required; only the client may call Set on it.
	Holder *config.Holder
	Logger zerolog.Logger
	// Meter creates the instruments; nil: no metrics.
	Meter metric.Meter
	// Peers returns the peers to pull records from; nil: no peers.
	Peers func() []Puller
	// SnapshotInterval is the age at which the newest snapshot is replaced. It is replaced
	// earlier when the log is about to drop it. Default: 2 h.
	SnapshotInterval time.Duration
	// Seed makes delays and the selection of peers reproducible; 0: random.
	Seed uint64
}

// Client reads, applies and appends records. It is safe for concurrent use.
type Client struct {
	options Options
	holder  *config.Holder
	metrics *metrics
	random  *random

	// applyMu serialises changes of the state and guards the fields below.
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
	// stopping is set and stopped is closed when Run ends.
	stopping bool
	stopped  chan struct{}
	leases   sync.WaitGroup
}

// New returns a Client. It is inactive until Run.
func New(options Options) *Client {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	if options.SnapshotInterval == 0 {
		options.SnapshotInterval = defaultSnapshotInterval
	}
	if options.Peers == nil {
		options.Peers = func() []Puller { return nil }
	}
	return &Client{
		options:          options,
		holder:           options.Holder,
		metrics:          newMetrics(options.Meter, options.Holder),
		random:           newRandom(options.Seed),
		snapshotInterval: options.SnapshotInterval,
		pending:          map[uint64][]byte{},
		renewals:         map[string]renewal{},
		pullWakeUp:       make(chan struct{}, 1),
		stopped:          make(chan struct{}),
	}
}

// Run reads the stream until ctx is done. It must be called only once. All leases become invalid
// when it returns.
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

// Ready reports whether the process has a complete configuration: it has read the log to its
// end at least once, or received a state from a peer.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// LogDown reports whether the last read of the log failed or has not returned in time.
func (c *Client) LogDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logDown
}

// ObservePeerOffset reports the offset that a peer has applied. If this process is missing records up to
// that offset, it pulls them from its peers after a delay.
func (c *Client) ObservePeerOffset(offset uint64) {
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

// Offset returns the offset of the current state.
func (c *Client) Offset() uint64 { return c.holder.Current().GetOffset() }

// WaitFor blocks until the current state includes an offset. It returns the error of ctx if ctx
// is done first.
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

// sleep blocks for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
