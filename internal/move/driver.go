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

// Log is the part of the configuration stream that a driver uses, implemented by
// *logstream.Client.
type Log interface {
	Append(ctx context.Context, record *configpb.Record) (uint64, error)
	WaitFor(ctx context.Context, offset uint64) error
	AcquireLease(ctx context.Context, name string, ttl time.Duration) (*logstream.Lease, error)
}

// Evidence returns the evidence about versions that this process holds, including its peers'.
type Evidence interface {
	Window(key health.Key, window time.Duration) *lanepb.Evidence
	// Slices returns the evidence of a window in slices of equal length, oldest first.
	Slices(key health.Key, window time.Duration, parts int) []*lanepb.Evidence
	// Requests returns the number of requests within a window.
	Requests(key health.Key, window time.Duration) uint64
	// Rate returns the requests per second, and whether the evidence suffices to estimate it.
	Rate(key health.Key, window time.Duration) (perSecond float64, known bool)
}

// Containments distributes and lists containments, implemented by *peer.Node.
type Containments interface {
	// Contain records a containment, sends it to the peers, and reports whether it is new.
	Contain(notice *lanepb.ContainmentNotice) bool
	Contained(pool, version, route string) bool
	Containments() []*lanepb.ContainmentNotice
}

// DriverOptions configures a Driver. Logger, Meter, Timing and Tolerance are optional.
type DriverOptions struct {
	// ID identifies this process in containments.
	ID        string
	Config    config.View
	Log       Log
	Instances platform.Instances
	// Client calls sidecars. PeerURL returns the base URL of the process at an address.
	Client    *http.Client
	PeerURL   func(address string) string
	Evidence  Evidence
	Peer      Containments
	Logger    zerolog.Logger
	Meter     metric.Meter
	Timing    Timing
	Tolerance health.Tolerance
}

// Driver executes every move whose lease this process holds. Its guard monitors the versions of
// all moves, with or without a lease.
type Driver struct {
	options DriverOptions
	timing  Timing
	guard   *Guard
	orders  *orderSender
	metrics driverMetrics
	// overrideAction replaces the action that decide returned, if it is set. Tests use it to
	// compare strategies.
	overrideAction func(in decisionInput, next action) action
}

// NewDriver returns a Driver, which is idle until Run is called.
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

// Run drives every active move until ctx ends. It returns the error of ctx after all goroutines
// of the moves have ended.
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

// runMove acquires the lease of a move, repeatedly, until the move has ended.
func (d *Driver) runMove(ctx context.Context, id string) {
	for ctx.Err() == nil && d.active(id) {
		acquireCtx, cancel := context.WithTimeout(ctx, 2*d.timing.LeaseTTL)
		lease, err := d.options.Log.AcquireLease(acquireCtx, config.MoveLeaseName(id), d.timing.LeaseTTL)
		cancel()
		if err != nil {
			d.waitTick(ctx)
			continue
		}
		d.options.Logger.Info().Str("move", id).Uint64("fencing", lease.Fencing()).Msg("lease acquired, driving the move")
		d.runUnderLease(ctx, id, lease)
		d.release(ctx, lease)
	}
}

// waitTick waits for one tick or until ctx ends.
func (d *Driver) waitTick(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(d.timing.Tick):
	}
}

// release gives up a lease, even if ctx has already ended.
func (d *Driver) release(ctx context.Context, lease *logstream.Lease) {
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	lease.Release(releaseCtx)
}

// active reports whether a move has not ended.
func (d *Driver) active(id string) bool {
	return config.MoveActive(d.options.Config.Current().GetMoves()[id])
}

// nameSet is a set of names. It is safe for concurrent use.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func newNameSet() *nameSet { return &nameSet{names: map[string]bool{}} }

// add adds a name and reports whether it was new to the set.
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
