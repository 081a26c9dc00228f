// Package entry serves the HTTP interface for callers. It authenticates client accounts, reserves
// a dispatch slot at a sidecar, dispatches each request body at most once under a grant, and
// relays the complete answer or a typed problem. It must never report "not-run" for a request that
// may have reached a backend server.
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
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Entry handles the requests of callers. Create it with New.
type Entry struct {
	options      Options
	table        *routing.Table
	versions     *routing.VersionPicker
	retries      *routing.RetryBudget
	apiKeys      *apiKeyIndex
	lanes        *laneClients
	limits       *limit.Limiter
	metrics      *metrics
	reservations *pendingReservations
	bodyMemory   *membudget.Budget

	ready    atomic.Bool
	draining atomic.Bool
	// running counts the requests in progress and the detached sidecar calls that outlive them.
	running sync.WaitGroup
	// ended is canceled when the time of a drain is nearly over, to answer the requests that still run.
	ended context.Context
	end   context.CancelCauseFunc
	// drainMu makes checking draining and incrementing running atomic with respect to Drain.
	drainMu sync.RWMutex
}

// New returns an entry. It is not ready until Run has read the instance list. New returns
// *OptionError if a required option is missing.
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
	if options.Poison == nil {
		options.Poison = poison.New(poison.Options{Now: time.Now, Logger: options.Logger})
	}
	instruments, err := newMetrics(options.Meter)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		options:      options,
		table:        routing.NewTable(routing.Options{EntryID: options.ID, Seed: options.Seed}),
		versions:     routing.NewVersionPicker(),
		retries:      routing.NewRetryBudget(),
		apiKeys:      &apiKeyIndex{},
		lanes:        newLaneClients(options.Client, options.PeerURL),
		limits:       newLimiter(options),
		metrics:      instruments,
		reservations: newPendingReservations(),
		bodyMemory:   membudget.New(options.MaxBufferedBytes),
	}
	e.ended, e.end = context.WithCancelCause(context.Background())
	if options.AccountUse != nil {
		options.AccountUse.SetLocalUse(func() []*lanepb.AccountUse { return e.limits.Report(time.Now()) })
	}
	return e, nil
}

// newLimiter returns the limiter of the client accounts, which includes the peers' use if it is
// exchanged.
func newLimiter(options Options) *limit.Limiter {
	limiterOptions := limit.Options{Seed: options.Seed}
	if options.AccountUse != nil {
		limiterOptions.PeerUse = options.AccountUse.RemoteUse
	}
	return limit.New(limiterOptions)
}

// check returns *OptionError for the first required option that is missing.
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

// Register registers the handlers of the callers' paths on mux.
func (e *Entry) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/chat/completions", e.serve(e.parseChat))
	mux.HandleFunc("/services/{service}", e.serve(e.parseService))
	mux.HandleFunc("/services/{service}/{rest...}", e.serve(e.parseService))
}

// Ready reports whether the entry has read an instance list and is not draining.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// StoppedError is the reason for ending requests that outlast the time of a drain.
type StoppedError struct{}

func (*StoppedError) Error() string { return "this entry has stopped" }

// finalAnswerTime is the part of the time of a drain that is left for the answers to requests that are ended.
const finalAnswerTime = 500 * time.Millisecond

// Drain rejects new requests and waits until the running ones have completed. If ctx has a deadline, those that still
// run shortly before it are ended with an answer. It returns the error of ctx if ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.drainMu.Lock()
	e.draining.Store(true)
	e.drainMu.Unlock()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)-finalAnswerTime, func() { e.end(&StoppedError{}) })
		defer timer.Stop()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
}

// begin registers a request as running. It returns false while the entry is draining.
func (e *Entry) begin() bool {
	e.drainMu.RLock()
	defer e.drainMu.RUnlock()
	if e.draining.Load() {
		return false
	}
	e.running.Add(1)
	return true
}

// parseFunc reads and validates one kind of request. The memory of the body is accounted to the
// reservation until the request completes.
type parseFunc func(w http.ResponseWriter, r *http.Request, reservation *membudget.Reservation) (*call, *Problem)

// drainRetryAfter is the Retry-After of requests rejected while draining. It is short because the
// load balancer routes the retry to another entry.
const drainRetryAfter = time.Second

// serve returns the handler for requests that parse accepts.
func (e *Entry) serve(parse parseFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.begin() {
			w.Header().Set("Connection", "close")
			notRunProblem(KindDraining, http.StatusServiceUnavailable, "this entry is shutting down").withRetryAfter(drainRetryAfter).write(w)
			return
		}
		defer e.running.Done()
		reservation := e.bodyMemory.NewReservation()
		defer reservation.Release()
		c, problem := parse(w, r, reservation)
		if problem != nil {
			e.metrics.recordRejected(problem)
			problem.write(w)
			return
		}
		e.answer(w, r, c)
	}
}

// answer runs a call and writes the answer of a backend server or a problem.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(e.ended, func() { end(context.Cause(e.ended)) })()
	w.Header().Set(headerRequestID, c.id)
	if problem := e.admit(c); problem != nil {
		e.metrics.recordFinished(c, nil, problem)
		problem.write(w)
		return
	}
	e.metrics.running.Add(ctx, 1)
	relay := newRelay(w, c)
	defer func() {
		e.metrics.running.Add(ctx, -1)
		e.limits.Finish(c.account.GetName(), c.tokens(), relay.usedTokens(), time.Now())
	}()
	problem := e.run(ctx, c, relay)
	e.metrics.recordFinished(c, relay, problem)
	if problem == nil {
		return
	}
	e.options.Logger.Debug().Str("request", c.id).Str("route", c.route.GetName()).Err(problem).Msg("request failed")
	if relay.started() {
		relay.abort(r, problem)
	}
	problem.write(w)
}

// observe passes a load report from a sidecar's reply to the routing table.
func (e *Entry) observe(load *lanepb.Load) { e.table.Observe(load, time.Now()) }
