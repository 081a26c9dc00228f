package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// Bounds are the limits that the deployment sets.
type Bounds struct {
	// ApplyWithin is how long a configuration change may take.
	ApplyWithin time.Duration
	// RevokeWithin is how long after its removal a key may still be served.
	RevokeWithin time.Duration
	Retries      RetryBounds
}

// Options configure a Gateway. All but Meter are required.
type Options struct {
	DataCentre string
	Codec      Codec
	Manifest   *fleet.Holder
	Directory  *fleet.Directory
	Upstream   *upstream.Client
	Slots      *slots.Client
	// SlotAddress returns the address of the sidecar beside a backend server, or "".
	SlotAddress func(fleet.Server) string
	// Entries returns the number of entries that are alive, this one included.
	Entries func() int
	Limits  *limit.Pool
	Bounds  Bounds
	Logger  zerolog.Logger
	Meter   metric.Meter
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	options Options
	logger  zerolog.Logger
	metrics *metrics
	servers *serverTable
	retries *retryBudget
	running sync.WaitGroup
	leaving atomic.Bool
}

// New returns a gateway.
func New(options Options) (*Gateway, error) {
	instruments, err := newMetrics(options.Meter)
	if err != nil {
		return nil, err
	}
	return &Gateway{
		options: options,
		logger:  options.Logger,
		metrics: instruments,
		servers: newServerTable(),
		retries: newRetryBudget(options.Bounds.Retries),
	}, nil
}

func (g *Gateway) random() float64 { return rand.Float64() }

// Ready reports whether callers can be served: configuration and backend servers are
// known, and the configuration is recent enough to check keys for a while.
func (g *Gateway) Ready() bool {
	manifest, confirmed := g.options.Manifest.Current()
	if g.leaving.Load() || manifest == nil || !g.options.Directory.Loaded() {
		return false
	}
	return !manifest.HasAccounts || steady.Since(confirmed) < g.options.Bounds.RevokeWithin/2
}

// Leave makes every answer from now on close its connection.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Wait waits until no call is running. It fails with the error of ctx.
func (g *Gateway) Wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		g.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Done()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	one, failure := g.accept(w, r)
	if failure == nil {
		failure = g.admit(one)
	}
	if failure != nil {
		g.conclude(w, r, one, &progress{}, failure)
		return
	}
	ctx, cancel := one.context(r.Context())
	defer cancel()
	p := &progress{relay: newRelay(w, g.options.Codec)}
	failure = g.run(ctx, one, p)
	g.settle(one, p)
	g.conclude(w, r, one, p, failure)
}

// admit counts a request in against the limits of its client account.
func (g *Gateway) admit(one *call) *Failure {
	if one.account == nil || one.account.TokensPerSecond <= 0 {
		return nil
	}
	rate := limit.Rate{PerSecond: one.account.TokensPerSecond, Burst: one.account.TokenBurst}
	err := g.options.Limits.Admit(one.account.Name, rate, one.tokens(), time.Now())
	var exceeded *limit.ExceededError
	if errors.As(err, &exceeded) {
		return &Failure{
			Kind: KindLimit, Status: http.StatusTooManyRequests, RetryAfter: exceeded.RetryAfter,
			Detail: "the client account is over its limit",
		}
	}
	return nil
}

// settle gives the tokens of a request back that reached no backend server.
func (g *Gateway) settle(one *call, p *progress) {
	if one.account == nil || one.account.TokensPerSecond <= 0 || p.mayHaveRun {
		return
	}
	g.options.Limits.Refund(one.account.Name, one.tokens())
}

// conclude writes the final answer, if the caller has none yet, and the log line.
func (g *Gateway) conclude(w http.ResponseWriter, r *http.Request, one *call, p *progress, failure *Failure) {
	took := steady.Since(one.arrived)
	g.metrics.concluded(one, p, failure, took)
	g.log(one, p, failure, took)
	switch {
	case failure == nil:
	case p.relay != nil && p.relay.started:
		// The caller has part of an answer: only a broken connection says that it isn't whole.
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil && failure.Kind == KindCallerLeft:
		panic(http.ErrAbortHandler)
	default:
		g.write(w, one, failure)
	}
}

func (g *Gateway) log(one *call, p *progress, failure *Failure, took time.Duration) {
	event := g.logger.Info()
	event.Str("request_id", one.info.ID).Dur("took_ms", took).Dur("configuration_age_ms", one.manifestAge)
	if one.manifest != nil {
		event.Int64("configuration", one.manifest.Version)
	}
	if one.route != nil {
		event.Str("route", one.route.Name).Str("service", one.service).Str("account", one.accountName())
	}
	if p.sends > 0 {
		event.Str("backend_server", p.server).Int("sends", p.sends).Dur("first_event_ms", p.firstEvent)
	}
	event.Dur("waited_ms", p.waited)
	if failure == nil {
		event.Int("status", p.status).Str("outcome", "answered").Msg("request")
		return
	}
	event.Int("status", failure.Status).Str("outcome", string(failure.Kind)).Str("reason", failure.Detail).
		Dur("retry_after_ms", failure.RetryAfter).Bool("cut", p.relay != nil && p.relay.started).Msg("request")
}

// Run forgets what is no longer of use, until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(forgetServerAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			g.servers.keep(g.options.Directory.IDs(), now)
		}
	}
}
