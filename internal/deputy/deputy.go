// Package deputy grants the slots of engines whose sidecars are lost. Each such engine has one
// deputy among the entries, which rendezvous hashing chooses, so that all entries queue for its
// slots in one place. An entry acts as deputy only after it has found the engine's sidecar and all
// entries that come before it unreachable itself. It never sends requests: a slot that two
// processes grant at the same time makes a request wait at the engine, but not run twice.
package deputy

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/rendezvous"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

const (
	// recheckInterval is the time after which a result is checked again, and resultMaxAge that after
	// which it is no longer used.
	recheckInterval = 500 * time.Millisecond
	resultMaxAge    = 2 * time.Second
	// partialRateShare is the share of a rate limit that a deputy uses beside another granter.
	partialRateShare = 0.4
	// entryWeight is the weight of every entry in the choice of a deputy.
	entryWeight = 1
)

// Options configures a Deputy. All fields except Alive, SidecarActive and Limiter are required.
type Options struct {
	// ID is the id of this entry.
	ID string
	// Entries returns the known entries, including this one.
	Entries func() []roster.Entry
	// Sidecar returns the address of the sidecar of a registered engine, or "" if it has none. It
	// reports false if the engine isn't registered.
	Sidecar func(engine string) (address string, registered bool)
	// Alive returns the number of live entries, including this one, and whether they are a majority of
	// the known ones. If nil, all known entries count as alive.
	Alive func() (alive int, hasQuorum bool)
	// SidecarActive reports whether the sidecar of an engine with a rate limit grants slots to others,
	// although this entry doesn't reach it. It may be nil.
	SidecarActive func(engine string) bool
	Client        *slots.Client
	Logger        zerolog.Logger
	// Limiter limits the rate of log lines about connections.
	Limiter *telemetry.Limiter
}

// Deputy holds the queues of the engines that entries ask this one about. It is safe for concurrent
// use.
type Deputy struct {
	options Options

	mu     sync.Mutex
	duties map[string]*duty
	// closed is set by Close.
	closed bool
}

// New returns a Deputy without duties.
func New(options Options) *Deputy {
	return &Deputy{options: options, duties: map[string]*duty{}}
}

// Address returns the address of the first deputy of an engine that isn't lost, or "" if there is
// none.
func (d *Deputy) Address(engine string) string {
	address, highest := "", math.Inf(-1)
	for _, entry := range d.options.Entries() {
		if score := rendezvous.Score(engine, entry.ID, entryWeight); score > highest && !d.options.Client.Lost(entry.Address) {
			address, highest = entry.Address, score
		}
	}
	return address
}

// Register mounts the endpoint for entries on a mux.
func (d *Deputy) Register(mux *http.ServeMux) {
	mux.Handle("GET "+slots.Path+"/{engine}", d)
}

// ServeHTTP takes over the connection of an entry that wants slots of one engine.
func (d *Deputy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	duty := d.join(r.PathValue("engine"))
	if duty == nil {
		http.Error(w, "this entry is stopping", http.StatusServiceUnavailable)
		return
	}
	defer d.leave(duty)
	duty.server.ServeHTTP(w, r)
}

// Close ends all duties. The entries then turn to the next deputy.
func (d *Deputy) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, duty := range d.duties {
		duty.server.Close()
	}
}

// duty is the queue of one engine at this entry.
type duty struct {
	deputy *Deputy
	engine string
	server *slots.Server
	stop   context.CancelFunc
	// connections counts the connected entries; it is guarded by the mutex of deputy.
	connections int

	mu sync.Mutex
	// responsible says that this entry is the engine's deputy, as of checkedAt.
	responsible bool
	checkedAt   time.Time
	checking    bool
}

// join returns the duty for an engine, which it creates if necessary, or nil after Close.
func (d *Deputy) join(engine string) *duty {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	u := d.duties[engine]
	if u == nil {
		u = &duty{deputy: d, engine: engine}
		u.server = slots.NewServer(slots.ServerOptions{
			Queue: admission.NewSlotQueue(admission.SlotOptions{}), Refuse: u.refusalReason,
			RateShare: func() float64 { return d.rateShare(engine) }, Logger: d.options.Logger, Limiter: d.options.Limiter,
		})
		var ctx context.Context
		ctx, u.stop = context.WithCancel(context.Background())
		go func() {
			// Run returns only when its context ends.
			_ = u.server.Run(ctx)
		}()
		d.duties[engine] = u
	}
	u.connections++
	return u
}

// leave ends a duty with its last connection.
func (d *Deputy) leave(u *duty) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.connections--; u.connections == 0 {
		u.stop()
		delete(d.duties, u.engine)
	}
}

// refusalReason returns why this entry grants no slots of the engine, or "". It checks in the
// background and uses the previous result until then.
func (u *duty) refusalReason() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	age := time.Since(u.checkedAt)
	if !u.checking && age > recheckInterval {
		u.checking = true
		go u.check()
	}
	if !u.responsible || age > resultMaxAge {
		return slots.ReasonNotResponsible
	}
	return ""
}

func (u *duty) check() {
	reason := u.deputy.whyNotResponsible(u.engine)
	u.mu.Lock()
	defer u.mu.Unlock()
	responsible := reason == ""
	if u.responsible != responsible {
		outcome := "responsible"
		if !responsible {
			outcome = "not responsible"
		}
		u.deputy.options.Logger.Info().Str("backend_server", u.engine).Str("outcome", outcome).Str("reason", reason).Msg("deputy")
	}
	u.responsible, u.checkedAt, u.checking = responsible, time.Now(), false
}

// whyNotResponsible returns why this entry is not the deputy of an engine, or "" if it is.
func (d *Deputy) whyNotResponsible(engine string) string {
	sidecar, registered := d.options.Sidecar(engine)
	switch {
	case !registered:
		return "the engine is not registered"
	case sidecar != "" && d.reachable(slots.Endpoint{Address: sidecar, Engine: engine}):
		return "its sidecar answers"
	}
	if earlier := d.reachableBefore(engine); earlier != "" {
		return "another entry comes first: " + earlier
	}
	return ""
}

// reachableBefore returns the id of an entry that comes before this one as the deputy of an engine and
// answers, or "".
func (d *Deputy) reachableBefore(engine string) string {
	own := rendezvous.Score(engine, d.options.ID, entryWeight)
	var checks sync.WaitGroup
	var first atomic.Pointer[string]
	for _, entry := range d.options.Entries() {
		if entry.ID == d.options.ID || rendezvous.Score(engine, entry.ID, entryWeight) < own {
			continue
		}
		checks.Go(func() {
			if d.reachable(slots.Endpoint{Address: entry.Address, Engine: engine, Deputy: true}) {
				first.Store(&entry.ID)
			}
		})
	}
	checks.Wait()
	if id := first.Load(); id != nil {
		return *id
	}
	return ""
}

// reachable checks whether a process answers, also if it is known as lost: a process that is back must
// not act beside this one for long.
func (d *Deputy) reachable(endpoint slots.Endpoint) bool {
	if d.options.Client.Check(context.Background(), endpoint) != nil {
		return false
	}
	if d.options.Client.Lost(endpoint.Address) {
		d.options.Client.RecheckLost()
	}
	return true
}

// rateShare returns the share of an engine's rate limit that this entry may use as its deputy. It is a
// part if the sidecar still serves others, or if this entry is in a minority, as the others may have a
// deputy of their own.
func (d *Deputy) rateShare(engine string) float64 {
	share := 1.0
	if d.options.SidecarActive != nil && d.options.SidecarActive(engine) {
		share = partialRateShare
	}
	if d.options.Alive == nil {
		return share
	}
	alive, hasQuorum := d.options.Alive()
	if hasQuorum {
		return share
	}
	return min(share, partialRateShare, float64(alive)/float64(max(len(d.options.Entries()), 1)))
}
