package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
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

// Options configure a Gateway. All but Meter, Lateness, Limiter, Requests and Rollouts are
// required.
type Options struct {
	DataCentre string
	Codec      Codec
	Manifest   *fleet.Holder
	Directory  *fleet.Directory
	Upstream   *upstream.Client
	Slots      *slots.Client
	// SlotAddress returns the address of the sidecar beside a backend server, or "".
	SlotAddress func(fleet.Server) string
	// Rollouts keeps versions on trial to their share; nil: there are none.
	Rollouts *rollout.Controller
	// Lateness tells this process's own delay; nil: it is never late.
	Lateness Lateness
	// Entries returns the number of entries that are alive, this one included.
	Entries func() int
	Limits  *limit.Pool
	Bounds  Bounds
	// HeldBytes bounds the bodies and answers that are held for all requests together; 0
	// means the default of membudget.
	HeldBytes int64
	Logger    zerolog.Logger
	Meter     metric.Meter
	// Limiter bounds the lines that a fault could repeat; may be nil.
	Limiter *telemetry.Limiter
	// Requests gets the requests that run; nil: the gateway counts for itself.
	Requests *Requests
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	options Options
	logger  zerolog.Logger
	// lines is the logger for what a fault may repeat.
	lines   zerolog.Logger
	metrics *metrics
	servers *serverTable
	retries *retryBudget
	held    *membudget.Budget
	// leaving is the stop that has begun, or nil.
	leaving atomic.Pointer[leave]
	bodies  bodyBounds
}

// New returns a gateway.
func New(options Options) (*Gateway, error) {
	if options.Requests == nil {
		options.Requests = &Requests{}
	}
	g := &Gateway{
		options: options,
		logger:  options.Logger,
		lines:   options.Limiter.Logger(options.Logger, "gateway"),
		servers: newServerTable(options.DataCentre),
		retries: newRetryBudget(options.Bounds.Retries),
		held:    membudget.New(options.HeldBytes),
	}
	var err error
	g.metrics, err = newMetrics(options.Meter, g.delay, g.held.Used, options.Requests)
	return g, err
}

func (g *Gateway) random() float64 { return rand.Float64() }

// Ready reports whether callers can be served: configuration and backend servers are
// known, the configuration is recent enough to check keys for a while, and there is
// processor time for more callers.
func (g *Gateway) Ready() bool { return g.NotReady() == "" }

// NotReady says why callers can't be served; empty: they can.
func (g *Gateway) NotReady() string {
	manifest, confirmed := g.options.Manifest.Current()
	switch {
	case g.leaving.Load() != nil:
		return "stopping"
	case manifest == nil:
		return "no configuration yet"
	case !g.options.Directory.Loaded():
		return "no backend servers known yet"
	case g.overloaded():
		return "short of processor time"
	case manifest.HasAccounts && steady.Since(confirmed) >= g.options.Bounds.RevokeWithin/2:
		return "the configuration may be out of date"
	}
	return ""
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.options.Requests.begin()()
	if g.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	one, failure := g.accept(w, r)
	defer one.hold.Release()
	defer g.crashed(one)
	if failure == nil {
		failure = g.mayFinish(one, usualWait)
	}
	if failure == nil {
		failure = g.admit(one)
	}
	if failure != nil {
		g.conclude(w, r, one, &progress{}, failure)
		return
	}
	ctx, cancel := one.context(r.Context())
	defer cancel()
	p := &progress{relay: newRelay(w, g.options.Codec, func() bool { return g.leaving.Load() != nil })}
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
	one.concluded = true
	took := steady.Since(one.arrived)
	g.metrics.concluded(one, p, failure, took)
	g.log(one, p, failure, took)
	if failure != nil {
		g.options.Requests.cutOff(one.info.ID, failure.Cut)
	}
	switch {
	case failure == nil:
	case p.started():
		// The caller has part of an answer: only a broken connection says that it isn't whole.
		panic(http.ErrAbortHandler)
	case r.Context().Err() != nil && (failure.Kind == KindCallerLeft || failure.Cut == CutClosedIdle):
		panic(http.ErrAbortHandler)
	case failure.Kind == KindOverloaded, failure.Kind == KindStopped, g.leaving.Load() != nil:
		// The caller's next request had better go to another process.
		w.Header().Set("Connection", "close")
		g.write(w, one, failure)
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
		event.Str("route", one.route.Name).Str("service", one.service).Str("account", one.accountName()).
			Int("rank", one.rank()).Int("prompt_tokens", one.info.PromptTokens).Int("output_tokens", one.info.MaxOutputTokens)
	}
	if p.sends > 0 {
		event.Str("backend_server", p.server).Int("sends", p.sends).Dur("first_event_ms", p.firstEvent).
			Dur("longest_pause_ms", p.longestPause)
	}
	event.Dur("waited_ms", p.waited)
	if stop := g.leaving.Load(); stop != nil {
		event.Dur("stop_in_ms", steady.Until(stop.end))
	}
	if failure == nil {
		event.Int("status", p.status).Str("outcome", "answered").Msg("request")
		return
	}
	if failure.Cut != "" {
		event.Str("cut_by", string(failure.Cut))
	}
	if failure.Cut != "" && failure.Cut == p.broken {
		event.Str("no_retry", p.noRetry)
	}
	if p.started() {
		event.Str("last_event", p.relay.lastID)
	}
	event.Int("status", failure.Status).Str("outcome", string(failure.Kind)).Str("reason", failure.Detail).
		Dur("retry_after_ms", failure.RetryAfter).Bool("cut", p.started()).Msg("request")
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
