// Package sidecar implements the sidecar process that is placed in front of one or more
// backend servers. All requests to them pass through it. It owns their queues, the dispatch
// decision, the answer buffers and the fencing of orders.
//
// A request is sent to its backend server at most once. The outcome NOT_RUN is reported
// only if the backend server has not received the request and will not receive it.
//
// The package does not choose between backend servers: the entry does.
package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const (
	// sweepInterval is the interval at which expired state is dropped and queues are checked.
	sweepInterval = 250 * time.Millisecond
	// serviceConcurrency is the default MaxConcurrency of a plain service.
	serviceConcurrency = 64
	// bootIDBytes is the length of the random boot id before hex encoding.
	bootIDBytes = 12
)

// Kinds of a backend server.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// BackendServer describes a backend server of the sidecar.
type BackendServer struct {
	ID string
	// Kind is KindEngine or KindService.
	Kind string
	Pool string
	// Version is the version that a plain service runs. The versions of an engine are taken
	// from its load reports.
	Version string
	// MaxConcurrency bounds the requests that run concurrently; 0 means the default.
	MaxConcurrency int
	// Backend sends requests to the backend server. For an engine it is a platform.Engine.
	Backend platform.Backend
}

// ContainmentView reports which versions are contained and so must get no requests.
type ContainmentView interface {
	// Contained reports whether a version is contained on a route.
	Contained(pool, version, route string) bool
}

// Options configures a Sidecar.
type Options struct {
	// ID is the id of the instance.
	ID             string
	BackendServers []BackendServer
	Config         config.View
	// Containment may be nil.
	Containment ContainmentView
	Logger      zerolog.Logger
	// Meter may be nil.
	Meter metric.Meter
}

// Sidecar serves the requests of entries to its backend servers.
type Sidecar struct {
	id      string
	bootID  string
	servers map[string]*server
	// serverIDs holds the keys of servers in the order of Options.
	serverIDs   []string
	config      config.View
	containment ContainmentView
	logger      zerolog.Logger
	metrics     *metrics
	table       *table
	// reportSequence is the sequence number of the last load report.
	reportSequence atomic.Uint64

	// dispatchContext is the context of running dispatches; cancelDispatches cancels it.
	dispatchContext  context.Context
	cancelDispatches context.CancelFunc

	mu      sync.Mutex
	stopped bool
	// running counts the goroutines started by spawn.
	running sync.WaitGroup
}

// New returns a sidecar with a new boot id. It returns *OptionError for invalid options.
func New(options Options) (*Sidecar, error) {
	if options.Config == nil {
		return nil, errors.WithStack(&OptionError{Field: "Config"})
	}
	bootID, err := newBootID()
	if err != nil {
		return nil, err
	}
	instruments, err := newMetrics(options.Meter)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		id:          options.ID,
		bootID:      bootID,
		servers:     map[string]*server{},
		config:      options.Config,
		containment: options.Containment,
		logger:      options.Logger,
		metrics:     instruments,
		table:       newTable(),
	}
	s.dispatchContext, s.cancelDispatches = context.WithCancel(context.Background())
	for _, description := range options.BackendServers {
		if err := s.add(description); err != nil {
			return nil, err
		}
	}
	if err := s.registerGauges(options.Meter); err != nil {
		return nil, err
	}
	return s, nil
}

// add adds a backend server. It returns *OptionError if the description is invalid.
func (s *Sidecar) add(description BackendServer) error {
	if description.ID == "" || s.servers[description.ID] != nil {
		return errors.WithStack(&OptionError{Field: "BackendServers.ID"})
	}
	if description.Backend == nil {
		return errors.WithStack(&OptionError{Field: "BackendServers.Backend"})
	}
	if description.Kind == KindService && description.MaxConcurrency == 0 {
		description.MaxConcurrency = serviceConcurrency
	}
	added := &server{
		BackendServer: description,
		queue: admission.NewQueue(admission.Options{
			MaxConcurrency: description.MaxConcurrency,
			AdaptiveLimit:  description.Kind == KindEngine,
		}),
		fence: newFence(),
	}
	switch description.Kind {
	case KindEngine:
		engine, ok := description.Backend.(platform.Engine)
		if !ok {
			return errors.WithStack(&OptionError{Field: "BackendServers.Backend"})
		}
		added.engine = engine
	case KindService:
		added.versions.set([]string{description.Version}, time.Now())
	default:
		return errors.WithStack(&OptionError{Field: "BackendServers.Kind"})
	}
	s.servers[description.ID] = added
	s.serverIDs = append(s.serverIDs, description.ID)
	return nil
}

// BootID returns the random id of this incarnation of the sidecar.
func (s *Sidecar) BootID() string { return s.bootID }

// Register adds the sidecar's handlers to a mux.
func (s *Sidecar) Register(mux *http.ServeMux) {
	lane := lanepb.NewLaneServer(s)
	mux.Handle(lane.PathPrefix(), transport.LimitMessages(lane))
	mux.HandleFunc("POST /lane/v1/dispatch", s.serveDispatch)
	mux.HandleFunc("POST /lane/v1/resume", s.serveResume)
}

// Run polls the engines, expires state and checks the queues until ctx is done. It then
// cancels the dispatches that still run and waits for all goroutines. It returns nil.
func (s *Sidecar) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	for _, id := range s.serverIDs {
		if target := s.servers[id]; target.engine != nil {
			polls.Go(func() { s.pollEngine(ctx, target) })
		}
	}
	s.sweepUntilDone(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancelDispatches()
	polls.Wait()
	s.running.Wait()
	return nil
}

// sweepUntilDone drops expired state and checks the queues at sweepInterval, and refuses
// requests for contained versions also after each change of the configuration.
func (s *Sidecar) sweepUntilDone(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.table.sweep(now)
			s.refuseContained()
			s.tickQueues(now)
		case <-s.config.Changed():
			s.refuseContained()
		}
	}
}

// tickQueues advances the queues to now and refuses all requests that are queued for an
// unhealthy backend server, so that entries can send them elsewhere.
func (s *Sidecar) tickQueues(now time.Time) {
	for _, id := range s.serverIDs {
		target := s.servers[id]
		if !target.health.healthy(now) {
			target.queue.Refuse(admission.ReasonUnhealthy, func(admission.Request) bool { return true })
		}
		target.queue.Tick(now)
	}
}

// Drain refuses queued and new requests immediately and waits until the running ones have
// finished. It returns an error that wraps that of ctx if ctx ends first.
func (s *Sidecar) Drain(ctx context.Context) error {
	for _, id := range s.serverIDs {
		s.servers[id].queue.Drain()
	}
	for _, id := range s.serverIDs {
		if err := s.servers[id].queue.WaitIdle(ctx); err != nil {
			return errors.Wrapf(err, "drain %s", id)
		}
	}
	return nil
}

// spawn starts f in a goroutine that Run waits for. It reports false without starting f if
// Run has stopped.
func (s *Sidecar) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.running.Go(f)
	return true
}

// newBootID returns a random id in hexadecimal.
func newBootID() (string, error) {
	raw := make([]byte, bootIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "generate boot id")
	}
	return hex.EncodeToString(raw), nil
}
