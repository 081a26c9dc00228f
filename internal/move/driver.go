package move

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Log is what a driver needs of the configuration stream. *logstream.Client is one.
type Log interface {
	Append(ctx context.Context, record *configpb.Record) (uint64, error)
	WaitFor(ctx context.Context, offset uint64) error
	AcquireLease(ctx context.Context, name string, ttl time.Duration) (*logstream.Lease, error)
}

// Evidence is what this process knows of versions, its peers' evidence included.
type Evidence interface {
	Window(key health.Key, window time.Duration) *lanepb.Evidence
	// Slices returns the evidence of a window in parts of equal length, the oldest first.
	Slices(key health.Key, window time.Duration, parts int) []*lanepb.Evidence
	// Requests returns the number of requests of a window.
	Requests(key health.Key, window time.Duration) uint64
	// Rate returns requests a second, and whether the evidence is enough for that.
	Rate(key health.Key, window time.Duration) (perSecond float64, known bool)
}

// Containments spreads and knows containments. *peer.Node is one.
type Containments interface {
	// Contain reports whether the containment is new.
	Contain(notice *lanepb.ContainmentNotice) bool
	Contained(pool, version, route string) bool
	Containments() []*lanepb.ContainmentNotice
}

// DriverOptions configure a Driver. All but Logger, Meter, Timing and Tolerance are required.
type DriverOptions struct {
	// ID names this process in containments.
	ID        string
	Config    config.View
	Log       Log
	Instances platform.Instances
	// Client calls sidecars; PeerURL returns the base URL of the process at an address.
	Client    *http.Client
	PeerURL   func(address string) string
	Evidence  Evidence
	Peer      Containments
	Logger    zerolog.Logger
	Meter     metric.Meter
	Timing    Timing
	Tolerance health.Tolerance
}

// Driver carries out moves whenever this process holds their lease, and guards
// their versions whether it holds one or not.
type Driver struct {
	options DriverOptions
	timing  Timing
	guard   *Guard
	orders  *orderSender
	metrics driverMetrics
	// overrideAction may replace what decide returned; nil: nothing does.
	overrideAction func(s decisionInput, next action) action
}

// NewDriver returns a Driver that does nothing before Run.
func NewDriver(options DriverOptions) *Driver {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	timing := options.Timing.withDefaults()
	return &Driver{
		options: options,
		timing:  timing,
		guard: NewGuard(GuardOptions{
			ID: options.ID, Config: options.Config, Log: options.Log, Evidence: options.Evidence, Peer: options.Peer,
			Logger: options.Logger, Meter: options.Meter, Timing: options.Timing, Tolerance: options.Tolerance,
		}),
		orders:  newOrderSender(options.Instances, options.Client, options.PeerURL),
		metrics: newDriverMetrics(options.Meter),
	}
}

// Run takes part in every active move until ctx ends, and returns its error once
// all work for moves has ended.
func (d *Driver) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { _ = d.guard.Run(ctx) })
	runningMoves := newNameSet()
	for {
		changed := d.options.Config.Changed()
		for id, move := range d.options.Config.Current().GetMoves() {
			if !config.MoveActive(move) || !runningMoves.add(id) {
				continue
			}
			workers.Go(func() {
				defer runningMoves.remove(id)
				d.runMove(ctx, id)
			})
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-changed:
		case <-time.After(d.timing.LeaseTTL):
		}
	}
}

// runMove takes the lease of a move, again and again, until the move has ended.
func (d *Driver) runMove(ctx context.Context, id string) {
	for ctx.Err() == nil && d.active(id) {
		acquireCtx, cancel := context.WithTimeout(ctx, 2*d.timing.LeaseTTL)
		lease, err := d.options.Log.AcquireLease(acquireCtx, config.MoveLease(id), d.timing.LeaseTTL)
		cancel()
		if err != nil {
			d.waitTick(ctx)
			continue
		}
		d.options.Logger.Info().Str("move", id).Uint64("fencing", lease.Fencing()).Msg("driving a move")
		d.runUnderLease(ctx, id, lease)
		d.release(ctx, lease)
	}
}

// waitTick waits for one tick.
func (d *Driver) waitTick(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(d.timing.Tick):
	}
}

// release gives up a lease, also when this process is stopping.
func (d *Driver) release(ctx context.Context, lease *logstream.Lease) {
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	lease.Release(releaseCtx)
}

func (d *Driver) active(id string) bool {
	return config.MoveActive(d.options.Config.Current().GetMoves()[id])
}

// nameSet is a set of names in use. It is safe for concurrent use.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func newNameSet() *nameSet { return &nameSet{names: map[string]bool{}} }

// add reports whether the name was not in the set.
func (s *nameSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return false
	}
	s.names[name] = true
	return true
}

func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
