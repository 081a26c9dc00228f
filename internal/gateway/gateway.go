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

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/patience"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
	"github.com/lagoonlane/lagoonlane/internal/worktime"
)

// Bounds are limits that the deployment sets.
type Bounds struct {
	// ApplyWithin is the maximum time until a configuration change is in effect.
	ApplyWithin time.Duration
	// RevokeWithin is how long a key may still be accepted after its removal.
	RevokeWithin time.Duration
	Retries      RetryBounds
}

// Options configures a Gateway. All fields except DeputyAddress, Rollouts, Poison, HasQuorum, StartedAt,
// Backpressure, Lateness, MaxBufferedBytes, Meter, Limiter and Requests are required.
type Options struct {
	DataCentre string
	Codec      Codec
	Manifest   *fleet.Holder
	Directory  *fleet.Directory
	Upstream   *upstream.Client
	Slots      *slots.Client
	// SidecarAddress returns the address of the sidecar of a backend server, or "" if it has none.
	SidecarAddress func(fleet.Server) string
	// DeputyAddress returns the address of the entry that grants the slots of an engine with a lost
	// sidecar, and the requests of a plain server with a rate limit, or "" if there is none. If nil, such
	// servers get requests without slots only.
	DeputyAddress func(engine string) string
	// Rollouts limits versions on trial to their share of requests. If nil, no roll-outs are
	// supported.
	Rollouts *rollout.Controller
	// Poison finds the parts of prompts that crash engines. If nil, no request is kept from engines.
	Poison *poison.Tracker
	// Backpressure holds what backend servers ask of their callers. If nil, it isn't heeded.
	Backpressure *backpressure.Tracker
	// Lateness measures the scheduling delay of this process. If nil, the delay is taken as 0.
	Lateness Lateness
	// Entries returns the number of live entries, including this one.
	Entries func() int
	// HasQuorum reports whether the live entries are a majority of the known ones. If nil, they always are.
	HasQuorum func() bool
	// StartedAt is when this process started, on the clock that counts suspension. If zero, no earlier process has retried
	// requests lately.
	StartedAt time.Time
	Limits    *limit.Pool
	Bounds    Bounds
	// MaxBufferedBytes limits the total size of buffered request bodies and answers. 0 means the
	// default of membudget.
	MaxBufferedBytes int64
	Logger           zerolog.Logger
	Meter            metric.Meter
	// Limiter limits the rate of log lines that a fault can repeat; may be nil.
	Limiter *telemetry.Limiter
	// Requests counts the running requests. If nil, the gateway uses its own.
	Requests *Requests
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	options Options
	logger  zerolog.Logger
	// limitedLogger is the rate-limited logger for lines that a fault can repeat.
	limitedLogger zerolog.Logger
	metrics       *metrics
	servers       *serverTable
	retryBudget   *retryBudget
	memory        *membudget.Budget
	patience      *patience.Estimator
	work          *worktime.Estimator
	// shutdown is the shutdown in progress, or nil.
	shutdown  atomic.Pointer[shutdown]
	bodyReads bodyReads
}

// liveEntries returns the number of live entries, and whether they are a majority of the known ones.
func (o Options) liveEntries() (entries int, hasQuorum bool) {
	return o.Entries(), o.HasQuorum == nil || o.HasQuorum()
}

// New returns a Gateway.
func New(options Options) (*Gateway, error) {
	if options.Requests == nil {
		options.Requests = &Requests{}
	}
	g := &Gateway{
		options:       options,
		logger:        options.Logger,
		limitedLogger: options.Limiter.Logger(options.Logger, "gateway"),
		servers:       newServerTable(options.DataCentre),
		retryBudget:   newRetryBudget(options.Bounds.Retries, options.StartedAt, options.liveEntries),
		memory:        membudget.New(options.MaxBufferedBytes),
		patience:      patience.New(),
		work:          worktime.New(),
	}
	var err error
	g.metrics, err = newMetrics(options.Meter, g.schedulingDelay, g.memory.Used, options.Requests, options.Poison.Blocks)
	if err != nil {
		return g, err
	}
	return g, g.observeRateLimits(options.Meter)
}

func (g *Gateway) random() float64 { return rand.Float64() }

// Ready reports whether callers can be served: configuration and backend servers are loaded, the
// configuration is recent enough to check keys for a while, and the process isn't overloaded.
func (g *Gateway) Ready() bool { return g.NotReady() == "" }

// NotReady returns why callers can't be served, or "" if they can.
func (g *Gateway) NotReady() string {
	manifest, confirmed := g.options.Manifest.Current()
	switch {
	case g.shutdown.Load() != nil:
		return "stopping"
	case manifest == nil:
		return "no configuration yet"
	case !g.options.Directory.Loaded():
		return "no backend servers known yet"
	case !g.options.Poison.Known():
		return reasonNoEvidence
	case g.overloaded():
		return "short of processor time"
	case manifest.HasAccounts && steady.Since(confirmed) >= g.options.Bounds.RevokeWithin/2:
		return "the configuration may be out of date"
	}
	return ""
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.options.Requests.begin()()
	if g.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call, failure := g.accept(w, r)
	defer call.memory.Release()
	defer g.logCrash(call)
	if failure == nil {
		failure = g.checkPrompt(call)
	}
	if failure == nil {
		failure = checkSize(call)
	}
	if failure == nil {
		failure = g.checkShutdown(call, typicalSlotWait)
	}
	if failure == nil {
		failure = g.checkAccountLimit(call)
	}
	if failure != nil {
		g.finish(w, r, call, &callProgress{}, failure)
		return
	}
	ctx, cancel := call.context(r.Context())
	defer cancel()
	p := &callProgress{relay: newRelay(w, g.options.Codec, call.deadline, func() bool { return g.shutdown.Load() != nil })}
	failure = g.run(ctx, call, p)
	g.refundTokens(call, p)
	g.finish(w, r, call, p, failure)
}

const (
	// refusalWriteTimeout is how long a caller may take to read a refusal.
	refusalWriteTimeout = 10 * time.Second
	// lateWriteTimeout is how long after the deadline of a request its caller may take to read an answer that is
	// ready. Then its connection is closed, as the answer holds memory and, if it is a stream, a slot.
	lateWriteTimeout = 5 * time.Second
)

// limitWrite bounds the time for writing an answer, from its beginning: the request may have taken any time before. net/http
// removes the bound after the answer. Errors are ignored: a connection that is closed reports it to the write, and one that
// has no deadlines isn't a caller's.
func limitWrite(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// checkSize refuses a request that no engine has the memory for. It would be charged against the limit of its client
// account while it waits.
func checkSize(call *call) *Failure {
	if call.engine == nil || call.engine.MemoryTokens <= 0 || call.info.PromptTokens+call.info.MaxOutputTokens <= call.engine.MemoryTokens {
		return nil
	}
	return unavailable(KindTooLarge, sizeRetryAfter, "the request has more tokens than the memory of an engine")
}

// sizeRetryAfter is the Retry-After of a request that no engine has the memory for: a change of the configuration may
// bring larger ones.
const sizeRetryAfter = time.Minute

// checkAccountLimit charges a request against the limit of its client account, and returns a
// failure if the limit is exceeded.
func (g *Gateway) checkAccountLimit(call *call) *Failure {
	if call.account == nil || call.account.TokensPerSecond <= 0 {
		return nil
	}
	rate := limit.Rate{PerSecond: call.account.TokensPerSecond, Burst: call.account.TokenBurst}
	err := g.options.Limits.Admit(call.account.Name, rate, call.tokenCost(), time.Now())
	var exceeded *limit.ExceededError
	if errors.As(err, &exceeded) {
		return &Failure{
			Kind: KindLimit, Status: http.StatusTooManyRequests, RetryAfter: exceeded.RetryAfter,
			Detail: "the client account is over its limit",
		}
	}
	return nil
}

// refundTokens refunds the tokens of a request that reached no backend server.
func (g *Gateway) refundTokens(call *call, p *callProgress) {
	if call.account == nil || call.account.TokensPerSecond <= 0 || p.mayHaveRun {
		return
	}
	g.options.Limits.Refund(call.account.Name, call.tokenCost())
}

// finish writes the log line and metrics of a call, and the final answer if none has been sent.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, call *call, p *callProgress, failure *Failure) {
	call.finished = true
	elapsed := steady.Since(call.arrived)
	g.metrics.recordRequest(call, p, failure, elapsed)
	g.logRequest(call, p, failure, elapsed)
	if failure != nil {
		g.options.Requests.recordCut(call.info.ID, failure.CutBy)
	}
	switch {
	case failure == nil:
	case p.started():
		// Part of the answer has been sent. Closing the connection is the only way to signal
		// that the answer is incomplete.
		callerconn.Abort(w, r)
	case r.Context().Err() != nil && (failure.Kind == KindCallerLeft || failure.CutBy == CutClosedIdle):
		panic(http.ErrAbortHandler)
	case failure.Kind == KindOverloaded, failure.Kind == KindStopped, g.shutdown.Load() != nil:
		// Makes the caller send its next request on a new connection, to another process.
		w.Header().Set("Connection", "close")
		g.writeFailure(w, call, failure)
	default:
		g.writeFailure(w, call, failure)
	}
}

func (g *Gateway) logRequest(call *call, p *callProgress, failure *Failure, elapsed time.Duration) {
	event := g.logger.Info()
	event.Str("request_id", call.info.ID).Dur("took_ms", elapsed).Dur("configuration_age_ms", call.manifestAge)
	if call.manifest != nil {
		event.Int64("configuration", call.manifest.Version)
	}
	if call.route != nil {
		event.Str("route", call.route.Name).Str("service", call.service).Str("account", call.accountName()).
			Int("rank", call.rank()).Int("prompt_tokens", call.info.PromptTokens).Int("output_tokens", call.info.MaxOutputTokens)
	}
	if p.sends > 0 {
		event.Str("backend_server", p.server).Int("sends", p.sends).Dur("first_event_ms", p.firstEvent).
			Dur("longest_pause_ms", p.longestPause)
	}
	event.Dur("waited_ms", p.waited)
	if call.age > 0 {
		event.Dur("age_ms", call.age)
	}
	if stop := g.shutdown.Load(); stop != nil {
		event.Dur("stop_in_ms", steady.Until(stop.endsAt))
	}
	if failure == nil {
		event.Int("status", p.status).Str("outcome", "answered").Msg("request")
		return
	}
	if failure.CutBy != "" {
		event.Str("cut_by", string(failure.CutBy))
	}
	if failure.CutBy != "" && failure.CutBy == p.brokenBy {
		event.Str("no_retry", p.noRetry)
	}
	if p.started() {
		event.Str("last_event", p.relay.lastEventID)
	}
	event.Int("status", failure.Status).Str("outcome", string(failure.Kind)).Str("reason", failure.Detail).
		Dur("retry_after_ms", failure.RetryAfter).Bool("cut", p.started()).Msg("request")
}

// hasRoute reports whether the configuration in force has a route.
func (g *Gateway) hasRoute(name string) bool {
	manifest, _ := g.options.Manifest.Current()
	return manifest != nil && manifest.HasRoute(name)
}

// Run removes statistics of unused backend servers periodically, until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(unusedServerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			g.servers.prune(g.options.Directory.IDs(), now)
			g.options.Backpressure.Prune(g.registered)
			g.patience.Retain(g.hasRoute)
			g.work.Retain(g.hasRoute)
		}
	}
}
