// Package entry owns the callers' HTTP interface: it authenticates client
// accounts, reserves a dispatch slot at a sidecar, dispatches each request body
// at most once under a grant, and relays the whole answer or a typed problem.
// It must never report "not-run" for a request that a backend server may have seen.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Entry serves callers.
type Entry struct {
	options      Options
	table        *routing.Table
	versions     *routing.Versions
	retries      *routing.RetryBudget
	keys         *keyIndex
	lanes        *laneClients
	limits       *limit.Limiter
	metrics      *metrics
	reservations *pendingReservations
	bodyMemory   *membudget.Budget

	ready    atomic.Bool
	draining atomic.Bool
	// running counts the requests being served and the calls that outlive them.
	running sync.WaitGroup
	// drainMu orders the start of a request against Drain.
	drainMu sync.RWMutex
}

// New returns an entry that is not ready until Run has read the instance list.
// It fails with *OptionError.
func New(options Options) (*Entry, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	if options.PeerURL == nil {
		options.PeerURL = func(address string) string { return "http://" + address }
	}
	if options.Floors == nil {
		options.Floors = newLocalFloors()
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	instruments, err := newMetrics(options.Meter)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		options:      options,
		table:        routing.NewTable(routing.Options{Self: options.ID, Seed: options.Seed}),
		versions:     routing.NewVersions(),
		retries:      routing.NewRetryBudget(),
		keys:         &keyIndex{},
		lanes:        newLaneClients(options.Client, options.PeerURL),
		limits:       newLimiter(options),
		metrics:      instruments,
		reservations: newPendingReservations(),
		bodyMemory:   membudget.New(options.HeldBytes),
	}
	if options.AccountUse != nil {
		options.AccountUse.SetUse(func() []*lanepb.AccountUse { return e.limits.Report(time.Now()) })
	}
	return e, nil
}

func newLimiter(options Options) *limit.Limiter {
	own := limit.Options{Seed: options.Seed}
	if options.AccountUse != nil {
		own.PeerUse = options.AccountUse.Use
	}
	return limit.New(own)
}

func (o *Options) check() error {
	switch {
	case o.ID == "":
		return errors.WithStack(&OptionError{Name: "ID"})
	case o.Config == nil:
		return errors.WithStack(&OptionError{Name: "Config"})
	case o.Instances == nil:
		return errors.WithStack(&OptionError{Name: "Instances"})
	case o.Client == nil:
		return errors.WithStack(&OptionError{Name: "Client"})
	}
	return nil
}

// Register adds the callers' paths to a mux.
func (e *Entry) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/chat/completions", e.serve(e.parseChat))
	mux.HandleFunc("/services/{service}", e.serve(e.parseService))
	mux.HandleFunc("/services/{service}/{rest...}", e.serve(e.parseService))
}

// Ready reports whether the entry has an instance list and takes new requests.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// Drain refuses new requests and waits for the running ones. It fails with the
// error of ctx if that ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.drainMu.Lock()
	e.draining.Store(true)
	e.drainMu.Unlock()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
}

// begin counts a request in, or reports false while draining.
func (e *Entry) begin() bool {
	e.drainMu.RLock()
	defer e.drainMu.RUnlock()
	if e.draining.Load() {
		return false
	}
	e.running.Add(1)
	return true
}

// parseFunc reads one kind of request; its body is held as long as the request is there.
type parseFunc func(w http.ResponseWriter, r *http.Request, hold *membudget.Hold) (*call, *Problem)

// drainRetryAfter is when a caller that met a draining entry should come back:
// the balancer sends it to another one.
const drainRetryAfter = time.Second

// serve returns the handler of one kind of request.
func (e *Entry) serve(parse parseFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.begin() {
			w.Header().Set("Connection", "close")
			notRunProblem(KindDraining, http.StatusServiceUnavailable, "this entry is shutting down").withRetryAfter(drainRetryAfter).write(w)
			return
		}
		defer e.running.Done()
		hold := e.bodyMemory.Hold()
		defer hold.Release()
		one, problem := parse(w, r, hold)
		if problem != nil {
			e.metrics.recordRejected(problem)
			problem.write(w)
			return
		}
		e.answer(w, r, one)
	}
}

// answer gives a call its final answer.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, one *call) {
	ctx, cancel := context.WithDeadline(r.Context(), one.deadline)
	defer cancel()
	w.Header().Set(headerRequestID, one.id)
	if problem := e.admit(one); problem != nil {
		e.metrics.recordFinished(one, nil, problem)
		problem.write(w)
		return
	}
	e.metrics.running.Add(ctx, 1)
	relay := newRelay(w, one)
	defer func() {
		e.metrics.running.Add(ctx, -1)
		e.limits.Finish(one.account.GetName(), one.tokens(), relay.usedTokens(), time.Now())
	}()
	problem := e.run(ctx, one, relay)
	e.metrics.recordFinished(one, relay, problem)
	if problem == nil {
		return
	}
	e.options.Logger.Debug().Str("request", one.id).Str("route", one.route.GetName()).Err(problem).Msg("request has no answer")
	if relay.started() {
		relay.abort(problem)
	}
	problem.write(w)
}

// observe takes what a reply said of a backend server.
func (e *Entry) observe(load *lanepb.Load) { e.table.Observe(load, time.Now()) }
