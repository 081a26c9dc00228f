package main

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	pkgerrors "github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/connguard"
	"github.com/lagoonlane/lagoonlane/internal/settings"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// Limits of client connections to the platform's services and to backend servers.
const (
	platformDialTimeout = 2 * time.Second
	platformIdleConns   = 64
)

// runFunc is background work that runs until ctx is done.
type runFunc func(ctx context.Context) error

// process holds the state that both roles share.
type process struct {
	logger   zerolog.Logger
	logs     io.Closer
	metrics  *telemetry.Metrics
	internal *http.ServeMux
	settings settings.Process
	limiter  *telemetry.Limiter
	draining atomic.Bool
}

// drainServer is a server that can close its connections gracefully as they become idle.
type drainServer interface {
	listenServer
	Shutdown(ctx context.Context) error
}

// roleHooks holds the role-specific parts of a process.
type roleHooks struct {
	// ready reports whether the process can serve.
	ready func() bool
	// background work starts once the servers are listening, and is stopped after they are closed.
	background []runFunc
	// drain rejects new work and waits until running work has finished.
	drain runFunc
	// public serves callers and operators. It is nil for a sidecar.
	public http.Handler
}

// memoryLimitVariable is the variable by which an operator sets the memory limit of the Go runtime.
const memoryLimitVariable = "GOMEMLIMIT"

func newProcess(role string, processSettings settings.Process, logs io.Writer) (*process, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	logger, closer, err := telemetry.NewProcessLogger(logs, processSettings.LogLevel, role, processSettings.ID, metrics)
	if err != nil {
		return nil, err
	}
	if os.Getenv(memoryLimitVariable) == "" {
		debug.SetMemoryLimit(int64(math.Round(memoryLimitShare * defaultMemoryBytes)))
	}
	limiter, err := telemetry.NewLimiter(metrics.Meter)
	if err != nil {
		return nil, err
	}
	return &process{
		logs:     closer,
		logger:   logger.With().Str("data_centre", processSettings.DataCentre).Logger(),
		limiter:  limiter,
		metrics:  metrics,
		internal: http.NewServeMux(),
		settings: processSettings,
	}, nil
}

// serve runs the process until ctx is done or a component fails, and then drains it.
func (p *process) serve(ctx context.Context, hooks roleHooks) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	servers, err := p.startServers(group, hooks)
	if err != nil {
		return firstError(err, p.logs.Close())
	}
	for _, run := range hooks.background {
		group.Go(func() error { return runUntilDone(groupCtx, run) })
	}
	p.logger.Info().Str("internal", p.settings.Internal).Str("public", p.settings.Public).Msg("serving")

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	p.shutDown(background, hooks, servers)
	stop()
	err = group.Wait()
	p.logger.Info().Msg("stopped")
	return firstError(err, p.logs.Close())
}

// runUntilDone runs background work. It returns nil if the work ended because ctx was cancelled.
func runUntilDone(ctx context.Context, run runFunc) error {
	err := run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startServers opens the listeners and starts the servers in the group. It returns *ListenError if
// an address cannot be bound.
func (p *process) startServers(group *errgroup.Group, hooks roleHooks) ([]drainServer, error) {
	internal := transport.NewInternalServer(p.internalHandler(hooks.ready))
	internal.ErrorLog = p.limiter.ServerErrorLog(p.logger, "internal")
	guards, err := newConnectionGuards(machineLimits{}, func() int64 { return publicHeadBytes }, p.limiter.Logger(p.logger, "client connection"), p.metrics.Meter)
	if err != nil {
		return nil, err
	}
	guards.protectInternal(internal)
	if err := startServer(group, internal, p.settings.Internal, guards.internal); err != nil {
		return nil, err
	}
	if hooks.public == nil {
		return []drainServer{internal}, nil
	}
	httpServer := transport.NewPublicServer(p.publicHandler(hooks))
	httpServer.ErrorLog = p.limiter.ServerErrorLog(p.logger, "public")
	public := callerconn.NewServer(httpServer)
	guards.protectPublic(httpServer)
	if err := startServer(group, public, p.settings.Public, guards.public); err != nil {
		if closeErr := firstError(internal.Close(), group.Wait()); closeErr != nil {
			p.logger.Warn().Err(closeErr).Str("server", "internal").Msg("failed to end a server after another one could not start")
		}
		return nil, err
	}
	return []drainServer{public, internal}, nil
}

// publicHeadBytes is the size of a caller's head above which its connection is closed. Smaller heads that are too large
// for a request are refused with a reason.
const publicHeadBytes = 512 << 10

func startServer(group *errgroup.Group, server listenServer, address string, guard *connguard.Guard) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return pkgerrors.WithStack(&ListenError{Address: address, Cause: err})
	}
	group.Go(func() error {
		err := server.Serve(guard.Listener(listener))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return pkgerrors.WithStack(err)
	})
	return nil
}

// shutDown rejects new work, waits for running work up to the drain timeout, and closes the
// servers.
func (p *process) shutDown(ctx context.Context, hooks roleHooks, servers []drainServer) {
	p.draining.Store(true)
	p.logger.Info().Msg("draining")
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(p.settings.DrainTimeout))
	defer cancel()
	if err := hooks.drain(drainCtx); err != nil {
		p.logger.Warn().Err(err).Msg("requests were still running at the end of the drain timeout")
	}
	for _, server := range servers {
		if err := server.Shutdown(drainCtx); err != nil {
			p.logger.Warn().Err(err).Msg("closing connections that were still open at the end of the drain timeout")
			if err := server.Close(); err != nil {
				p.logger.Warn().Err(err).Msg("failed to close a server")
			}
		}
	}
}

// internalHandler serves health checks and metrics without authentication, and all other paths
// only with the peer key.
func (p *process) internalHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	p.registerHealth(mux, ready)
	mux.Handle("GET /metrics", p.metrics.Handler)
	mux.Handle("/", transport.RequireKey(p.settings.PeerKey.Reveal(), p.internal))
	return mux
}

// publicHandler serves callers, operators and the health checks of the platform's load balancer.
func (p *process) publicHandler(hooks roleHooks) http.Handler {
	mux := http.NewServeMux()
	p.registerHealth(mux, hooks.ready)
	mux.Handle("/", hooks.public)
	return mux
}

// registerHealth registers the health checks. Errors of writing are ignored: the prober has left, and the next probe
// gets its own answer.
func (p *process) registerHealth(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if p.draining.Load() || !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}

// ListenError reports that the process cannot listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// newPlatformClient returns an HTTP client for the platform's services and for backend servers.
func newPlatformClient() *http.Client {
	dialer := &net.Dialer{Timeout: platformDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: platformIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}}
}

// peerURL returns the base URL of another lagoonlane process.
func peerURL(address string) string { return "http://" + address }
