package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	pkgerrors "github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/settings"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// Limits of connections to the platform's services and to backend servers.
const (
	platformDialTimeout = 2 * time.Second
	platformIdleConns   = 64
)

// runFunc is background work that ends when ctx is done.
type runFunc func(ctx context.Context) error

// process is what both roles have in common.
type process struct {
	logger   zerolog.Logger
	logs     io.Closer
	metrics  *telemetry.Metrics
	internal *http.ServeMux
	settings settings.Process
	limiter  *telemetry.Limiter
	draining atomic.Bool
}

// drainServer is a server that ends its connections as they come to rest.
type drainServer interface {
	listenServer
	Shutdown(ctx context.Context) error
}

// lifecycle is what differs between the roles.
type lifecycle struct {
	// ready reports whether the process can serve.
	ready func() bool
	// background is started first and ends last.
	background []runFunc
	// drain refuses new work and waits for the running one.
	drain runFunc
	// public serves callers and operators; nil for a sidecar.
	public http.Handler
}

func newProcess(role string, own settings.Process, logs io.Writer) (*process, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	logger, closer, err := telemetry.NewProcessLogger(logs, own.LogLevel, role, own.ID, metrics)
	if err != nil {
		return nil, err
	}
	limiter, err := telemetry.NewLimiter(metrics.Meter)
	if err != nil {
		return nil, err
	}
	return &process{
		logs:     closer,
		logger:   logger.With().Str("data_centre", own.DataCentre).Logger(),
		limiter:  limiter,
		metrics:  metrics,
		internal: http.NewServeMux(),
		settings: own,
	}, nil
}

// serve runs the process until ctx is done or a part of it fails, then drains it.
func (p *process) serve(ctx context.Context, life lifecycle) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	servers, err := p.startServers(group, life)
	if err != nil {
		return firstError(err, p.logs.Close())
	}
	for _, run := range life.background {
		group.Go(func() error { return untilDone(groupCtx, run) })
	}
	p.logger.Info().Str("internal", p.settings.Internal).Str("public", p.settings.Public).Msg("serving")

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	p.shutDown(background, life, servers)
	stop()
	err = group.Wait()
	p.logger.Info().Msg("stopped")
	return firstError(err, p.logs.Close())
}

// untilDone runs background work. That it ended because ctx is done is no failure.
func untilDone(ctx context.Context, run runFunc) error {
	err := run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startServers opens the listeners and serves them in the group.
func (p *process) startServers(group *errgroup.Group, life lifecycle) ([]drainServer, error) {
	internal := transport.NewInternalServer(p.internalHandler(life.ready))
	internal.ErrorLog = p.limiter.ServerErrorLog(p.logger, "internal")
	if err := startServer(group, internal, p.settings.Internal); err != nil {
		return nil, err
	}
	if life.public == nil {
		return []drainServer{internal}, nil
	}
	front := transport.NewPublicServer(p.publicHandler(life))
	front.ErrorLog = p.limiter.ServerErrorLog(p.logger, "public")
	public := callerconn.NewServer(front)
	if err := startServer(group, public, p.settings.Public); err != nil {
		_ = internal.Close()
		_ = group.Wait()
		return nil, err
	}
	return []drainServer{public, internal}, nil
}

func startServer(group *errgroup.Group, server listenServer, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return pkgerrors.WithStack(&ListenError{Address: address, Cause: err})
	}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return pkgerrors.WithStack(err)
	})
	return nil
}

// shutDown refuses new work, waits for the running one and closes the servers.
func (p *process) shutDown(ctx context.Context, life lifecycle, servers []drainServer) {
	p.draining.Store(true)
	p.logger.Info().Msg("draining")
	bounded, cancel := context.WithTimeout(ctx, time.Duration(p.settings.DrainTimeout))
	defer cancel()
	if err := life.drain(bounded); err != nil {
		p.logger.Warn().Err(err).Msg("requests were still running at the end of the drain timeout")
	}
	for _, server := range servers {
		if err := server.Shutdown(bounded); err != nil {
			p.logger.Warn().Err(err).Msg("closing connections that did not end in time")
			_ = server.Close()
		}
	}
}

// internalHandler serves health and metrics to everyone, and the rest to holders of the peer key.
func (p *process) internalHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	p.registerHealth(mux, ready)
	mux.Handle("GET /metrics", p.metrics.Handler)
	mux.Handle("/", transport.RequireKey(p.settings.PeerKey.Reveal(), p.internal))
	return mux
}

// publicHandler serves callers and operators, and health to the platform's balancer.
func (p *process) publicHandler(life lifecycle) http.Handler {
	mux := http.NewServeMux()
	p.registerHealth(mux, life.ready)
	mux.Handle("/", life.public)
	return mux
}

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

// ListenError says that an address could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// newPlatformClient returns a client for the platform's services or for backend servers.
func newPlatformClient() *http.Client {
	dialer := &net.Dialer{Timeout: platformDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: platformIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}}
}

// peerURL returns the URL of another lagoonlane process.
func peerURL(address string) string { return "http://" + address }
