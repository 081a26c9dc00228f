package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/lateness"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
	"github.com/lagoonlane/lagoonlane/platform"
)

const (
	// memoryPart is the part of the machine's memory that the garbage collector keeps to.
	memoryPart = 0.6
	// heldPart is the part of the machine's memory for bodies and answers that are held
	// whole: what is left of memoryPart serves connections, buffers and configuration.
	heldPart = 0.2
	// configurationWaitPart and serversWaitPart are how long one read of the store waits
	// for news, in parts of the bounds on configuration changes and on draining: a
	// connection that went silent is found within the rest.
	configurationWaitPart = 0.75
	serversWaitPart       = 0.7
	// serversPausePart is the pause after news of backend servers, in parts of the bound on
	// draining. Each server renews its entry all the time: without a pause, each renewal
	// would cost each entry a read.
	serversPausePart = 0.4
	// statesWait is how long one read waits for news of roll-outs while there is one. Entries
	// tell each other of changes.
	statesWait = 5 * time.Second
	// membersWait is the same for the list of entries, which tell each other of changes.
	membersWait = 20 * time.Second
	// leaveAfter is how long an entry that was told to stop takes new connections at least:
	// the balancer needs two looks, a second apart, to find that it isn't ready.
	leaveAfter = 2500 * time.Millisecond
	// closeBefore is the time before the end of a stop in which no connection is accepted:
	// one that waits for its first request ends within half of it.
	closeBefore = time.Second
	// exitMargin is left between the end of the last request and the kill.
	exitMargin = 500 * time.Millisecond
	// registerRetry is the time between two tries to register this entry.
	registerRetry = time.Second
	// callerIdleTimeout is longer than callers keep an idle connection by any manifest.
	callerIdleTimeout = 2 * time.Minute
	// callerHeaderTimeout bounds the time that a caller takes to send its headers.
	callerHeaderTimeout = 10 * time.Second
	// maxCallerHeaderBytes is far above what manifests allow, so that the gateway
	// itself refuses a large header.
	maxCallerHeaderBytes = 256 << 10
)

// node is what both roles on the users' platform have in common.
type node struct {
	settings platform.Settings
	logger   zerolog.Logger
	logs     io.Closer
	metrics  *telemetry.Metrics
	internal *http.ServeMux
	// servers are closed when the process ends.
	servers []listenServer
	*lifecycleLog
}

// listenServer is what a process needs of a server of one address.
type listenServer interface {
	Serve(net.Listener) error
	Close() error
}

func newNode(role string, metricsPort int) (*node, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	logger, logs, err := telemetry.NewProcessLogger(os.Stdout, zerolog.InfoLevel.String(), role, settings.ID, metrics)
	if err != nil {
		return nil, err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	}
	life, err := newLifecycleLog(logger, metrics.Meter, settings)
	if err != nil {
		return nil, err
	}
	if metricsPort > 0 {
		settings.Metrics = net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort))
	}
	return &node{settings: settings, logger: logger, logs: logs, metrics: metrics, internal: http.NewServeMux(), lifecycleLog: life}, nil
}

// listen serves a handler on an address until the node ends.
func (n *node) listen(group *errgroup.Group, server listenServer, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(&ListenError{Address: address, Cause: err})
	}
	listener = n.listener(listener, address)
	n.servers = append(n.servers, server)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.logger.Error().Str("address", address).Err(err).Str("outcome", "no longer served").Msg("listener")
			return errors.WithStack(err)
		}
		return nil
	})
	return nil
}

// listenInternal serves other processes and the metrics page.
func (n *node) listenInternal(group *errgroup.Group) error {
	if err := n.listen(group, n.prepared(transport.NewInternalServer(n.internal), "internal"), n.settings.Internal); err != nil {
		return err
	}
	page := http.NewServeMux()
	page.Handle("GET /metrics", n.metrics.Handler)
	return n.listen(group, n.prepared(transport.NewInternalServer(page), "metrics"), n.settings.Metrics)
}

// run serves until ctx is done or a part of the role fails, then lets leave end what is running.
func (n *node) run(ctx context.Context, group *errgroup.Group, groupCtx context.Context, stop context.CancelFunc, work []runFunc, leave func(context.Context)) error {
	for _, run := range work {
		group.Go(func() error {
			err := untilDone(groupCtx, run)
			if err != nil {
				n.logger.Error().Err(err).Str("outcome", "ended").Msg("background work")
			}
			return err
		})
	}
	n.started()
	ended := ctx
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		ended = groupCtx
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.Bounds.ShutdownGrace-exitMargin)
	defer cancel()
	n.stopping(ended)
	leave(bounded)
	n.cutRunning()
	for _, server := range n.servers {
		if err := server.Close(); err != nil {
			n.logger.Warn().Err(err).Msg("a listener could not be closed")
		}
	}
	stop()
	err := group.Wait()
	n.stopped(err)
	return errors.WithMessage(firstError(err, n.logs.Close()), "platform role")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// runPlatformSidecar hands out the slots of the engine on the same machine.
func runPlatformSidecar(ctx context.Context, signals *signalHandler, metricsPort int) error {
	n, err := newNode("sidecar", metricsPort)
	if err != nil {
		return err
	}
	signals.attach(n.logger, n.reload)
	server := slots.NewServer(slots.ServerOptions{
		Queue:   admission.NewSlotQueue(admission.SlotOptions{}),
		Probe:   platform.NewEngineProbe(n.settings.Engine),
		Logger:  n.logger,
		Limiter: n.limiter,
	})
	n.internal.Handle("GET "+slots.Path, server)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	if err := n.listenInternal(group); err != nil {
		return err
	}
	return n.run(ctx, group, groupCtx, stop, []runFunc{server.Run}, func(context.Context) { server.Drain() })
}

// entryNode is an entry on the users' platform.
type entryNode struct {
	*node
	store         *platform.Store
	configuration *platform.ConfigurationSource
	directory     *fleet.Directory
	servers       *platform.ServerSource
	roster        *roster.Roster
	gateway       *gateway.Gateway
	rollouts      *rollout.Controller
	lateness      *lateness.Meter
	upstream      *upstream.Client
	public        *callerconn.Server
}

func newEntryNode(metricsPort int) (*entryNode, error) {
	n, err := newNode("entry", metricsPort)
	if err != nil {
		return nil, err
	}
	e := &entryNode{node: n, store: platform.NewStore(n.settings.StoreURL), directory: fleet.NewDirectory(), lateness: &lateness.Meter{}}
	holder := &fleet.Holder{}
	e.configuration = platform.NewConfigurationSource(holder, n.logger)
	codec := platform.Codec{}
	strays := n.limiter.Logger(n.logger, "stray answer")
	e.upstream = upstream.New(upstream.Options{
		RequestIDOf: func(h http.Header) string { return codec.DecodeAnswer(h).RequestID },
		OnStrayAnswer: func(server, sent, answered string) {
			strays.Warn().Str("request_id", sent).Str("backend_server", server).Str("answered", answered).
				Str("outcome", "passed over").Msg("stray answer")
		},
	})
	e.servers = platform.NewServerSource(e.directory, n.logger)
	e.servers.OnRemoved = e.upstream.CloseIdleTo
	peers := transport.NewClient("", nil)
	pool := limit.NewPool(time.Now())
	bounds := n.settings.Bounds
	e.rollouts, err = rollout.New(rollout.Options{
		ID: n.settings.ID, Bounds: rollout.Bounds{Share: bounds.ExposureShare, Slack: bounds.ExposureSlack},
		Log: &platform.RolloutLog{Store: e.store}, Ready: e.directory.Ready,
		Membership: func() rollout.Membership { return e.roster.Membership() },
		Logger:     n.logger, Meter: n.metrics.Meter,
	})
	if err != nil {
		return nil, err
	}
	e.roster = roster.New(roster.Options{
		ID: n.settings.ID, Address: n.settings.Internal, BootID: n.boot, Client: peers, Pool: pool,
		Configuration:        e.configuration.Configuration,
		OnNewerConfiguration: func(raw []byte) { e.configuration.Offer(raw, "peer") },
		OnVerified:           e.configuration.MarkVerified,
		Rollouts:             e.rollouts,
		Logger:               n.logger,
	})
	sidecars := slots.NewClient(nil)
	sidecars.Logger = n.limiter.Logger(n.logger, "slot connection")
	e.gateway, err = gateway.New(gateway.Options{
		DataCentre: n.settings.DataCentre, Codec: codec, Manifest: holder, Directory: e.directory,
		Upstream: e.upstream, Slots: sidecars,
		SidecarAddress: gateway.SidecarAddress(strconv.Itoa(n.settings.InternalPort)),
		Rollouts:       e.rollouts, Lateness: e.lateness, Entries: e.roster.AliveEntries, Limits: pool,
		Bounds: gateway.Bounds{
			ApplyWithin: bounds.ApplyWithin, RevokeWithin: bounds.RevokeWithin,
			Retries: gateway.RetryBounds{Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack},
		},
		MaxBufferedBytes: int64(heldPart * float64(n.settings.MemoryBytes)),
		Logger:           n.logger, Meter: n.metrics.Meter, Limiter: n.limiter, Requests: n.requests,
	})
	return e, err
}

// runPlatformEntry serves the platform's callers.
func runPlatformEntry(ctx context.Context, signals *signalHandler, metricsPort int) error {
	e, err := newEntryNode(metricsPort)
	if err != nil {
		return err
	}
	signals.attach(e.logger, e.reload)
	e.roster.Register(e.internal)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	if err := e.listenInternal(group); err != nil {
		return err
	}
	ready := e.prepared(&http.Server{Handler: e.readiness(), ReadHeaderTimeout: callerHeaderTimeout}, "ready")
	if err := e.listen(group, ready, e.settings.Ready); err != nil {
		return err
	}
	front := &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
	}
	e.public = callerconn.NewServer(front)
	e.watched(front)
	if err := e.listen(group, e.public, e.settings.Front); err != nil {
		return err
	}
	follow := func(topic string, listener platform.Listener, wait, pause time.Duration) runFunc {
		return (&platform.Follower{Store: e.store, Topic: topic, Listener: listener, Logger: e.logger, Wait: wait, Pause: pause}).Run
	}
	bounds := e.settings.Bounds
	configurationWait := time.Duration(configurationWaitPart * float64(bounds.ApplyWithin))
	serversWait := time.Duration(serversWaitPart * float64(bounds.DrainWithin))
	serversPause := time.Duration(serversPausePart * float64(bounds.DrainWithin))
	orders := &platform.OrderSource{Controller: e.rollouts, Logger: e.logger}
	states := follow(platform.TopicStatus, &platform.StatusSource{Controller: e.rollouts, Logger: e.logger}, statesWait, 0)
	operator := platform.Listeners{e.configuration, orders}
	return e.run(ctx, group, groupCtx, stop, []runFunc{
		follow(platform.TopicOperator, operator, configurationWait, 0),
		follow(platform.TopicServers, e.servers, serversWait, serversPause),
		follow(platform.TopicEntries, &platform.MemberSource{Roster: e.roster, Logger: e.logger}, membersWait, time.Second),
		func(ctx context.Context) error { return e.rollouts.RunWhileOpen(ctx, states) }, e.rollouts.Run,
		e.register, e.roster.Run, e.gateway.Run, e.upstream.Run, e.lateness.Run,
	}, e.leave)
}

// readiness answers the platform's balancer.
func (e *entryNode) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := e.gateway.NotReady()
		e.readinessTold(reason)
		if reason != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// register tells the other entries of this one, through the store.
func (e *entryNode) register(ctx context.Context) error {
	member := platform.Member{ID: e.settings.ID, Address: e.settings.Internal}
	value, err := platform.EncodeMember(member)
	if err != nil {
		return err
	}
	for {
		err := e.store.Put(ctx, platform.TopicEntries, member.ID, value)
		if err == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		e.logger.Warn().Err(err).Str("outcome", "not registered").Msg("entry")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(registerRetry):
		}
	}
}

// leave takes the entry out of the balancer, then ends connections as their requests end.
// While the requests of its first part keep the process, it goes on to accept: where most
// entries of a zone stop at once, the balancer sends callers to all of them.
func (e *entryNode) leave(bounded context.Context) {
	within := e.settings.Bounds.ShutdownGrace - exitMargin
	e.gateway.BeginShutdown(within)
	accepting, cancel := context.WithTimeout(bounded, max(within-closeBefore, 0))
	defer cancel()
	select {
	case <-time.After(leaveAfter):
	case <-bounded.Done():
	}
	e.requests.MarkRunning()
	e.requests.WaitMarked(accepting)
	e.closingIdle()
	if err := e.public.Shutdown(bounded); err != nil {
		e.logger.Warn().Err(err).Int64("running", e.requests.Running()).Msg("requests were still running at the end of the grace time")
	}
}
