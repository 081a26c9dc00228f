package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/deputy"
	"github.com/lagoonlane/lagoonlane/internal/feed"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/lateness"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/poison/keeper"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
	"github.com/lagoonlane/lagoonlane/platform"
)

const (
	// memoryLimitShare is the share of the machine's memory that is set as the Go memory limit.
	memoryLimitShare = 0.6
	// bufferedBytesShare is the share of the machine's memory for bodies and answers that are
	// buffered whole. The rest of memoryLimitShare is left for connections, buffers and
	// configuration.
	bufferedBytesShare = 0.2
	// messagesShare is the share of the machine's memory for messages of other entries that are being received.
	messagesShare = 0.05
	// configurationWaitShare and serversWaitShare are the longest waits of one read of the store, and the largest
	// age of what is known at the end of a wait, as shares of the bounds on configuration changes and on draining.
	// After readMarginShare more, a connection without a response counts as lost; the remainder of each bound is
	// the time for another read.
	configurationWaitShare = 0.6
	serversWaitShare       = 0.55
	readMarginShare        = 0.2
	// serversPauseShare is the pause after an update of backend servers, as a share of the bound
	// on draining. Each backend server renews its registration continuously; without a pause,
	// every renewal would cost every entry a read.
	serversPauseShare = 0.4
	// configurationMaxAgeShare and serversMaxAgeShare are the time since a topic was last read by any
	// entry after which an entry that is no reader reads it, as shares of the same bounds.
	configurationMaxAgeShare = 0.55
	serversMaxAgeShare       = 0.7
	// minReaderWaitShare and maxReaderWaitShare bound the timeout of a reader's long poll of the
	// configuration, as shares of the bound on its changes. It varies, so that the readers don't read
	// in step.
	minReaderWaitShare = 0.25
	maxReaderWaitShare = 0.5
	// statusWait is the timeout of one long poll for roll-out statuses while a roll-out is open.
	// Entries also send changes to each other directly.
	statusWait = 5 * time.Second
	// membersWait is the timeout of one long poll for the list of entries, which also send changes
	// to each other directly.
	membersWait = 20 * time.Second
	// minAcceptTime is the minimum time for which a stopping entry accepts new connections. The
	// load balancer takes an entry out of service after two failed readiness checks, one second
	// apart.
	minAcceptTime = 2500 * time.Millisecond
	// stopAcceptingBefore is the time before the end of the shutdown at which the entry stops
	// accepting connections. A connection that waits for its first request is closed within half
	// of this time.
	stopAcceptingBefore = time.Second
	// exitMargin is the time between the end of the last request and the kill of the process by
	// its supervisor.
	exitMargin = 500 * time.Millisecond
	// registerRetryDelay is the delay before another attempt to register this entry.
	registerRetryDelay = time.Second
	// callerIdleTimeout exceeds the time for which callers keep an idle connection under any
	// manifest.
	callerIdleTimeout = 2 * time.Minute
	// callerHeaderTimeout bounds the time in which a caller sends its request headers.
	callerHeaderTimeout = 10 * time.Second
	// maxCallerHeaderBytes is far above the limits of manifests, so that the gateway itself, not
	// net/http, rejects oversized headers.
	maxCallerHeaderBytes = 256 << 10
)

// node holds the state that both roles on the users' platform share.
type node struct {
	settings platform.Settings
	logger   zerolog.Logger
	logs     io.Closer
	metrics  *telemetry.Metrics
	internal *http.ServeMux
	// servers are closed at the end of the shutdown.
	servers []listenServer
	*lifecycleLog
}

// listenServer is the part of http.Server that a process needs to serve one address.
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
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	processLog, err := newLifecycleLog(logger, metrics.Meter, settings)
	if err != nil {
		return nil, err
	}
	if metricsPort > 0 {
		settings.Metrics = net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort))
	}
	return &node{settings: settings, logger: logger, logs: logs, metrics: metrics, internal: http.NewServeMux(), lifecycleLog: processLog}, nil
}

// listen starts server on address; it is closed when the node shuts down. It returns *ListenError
// if the address cannot be bound.
func (n *node) listen(group *errgroup.Group, server listenServer, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(&ListenError{Address: address, Cause: err})
	}
	listener = n.wrapListener(listener, address)
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

// listenInternal starts the internal server for other processes and the server of the metrics
// page.
func (n *node) listenInternal(group *errgroup.Group) error {
	if err := n.listen(group, n.configureServer(transport.NewOpenInternalServer(n.internal), "internal"), n.settings.Internal); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", n.metrics.Handler)
	return n.listen(group, n.configureServer(transport.NewOpenInternalServer(metricsMux), "metrics"), n.settings.Metrics)
}

// run starts the background work and serves until ctx is done or a component fails. It then calls
// drain to finish running requests, cancels the remaining ones, closes the servers and waits for
// the background work.
func (n *node) run(ctx context.Context, group *errgroup.Group, groupCtx context.Context, stop context.CancelFunc, work []runFunc, drain func(context.Context)) error {
	for _, run := range work {
		group.Go(func() error {
			err := runUntilDone(groupCtx, run)
			if err != nil {
				n.logger.Error().Err(err).Str("outcome", "ended").Msg("background work")
			}
			return err
		})
	}
	n.logStarted()
	endedCtx := ctx
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		endedCtx = groupCtx
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.Bounds.ShutdownGrace-exitMargin)
	defer cancel()
	n.logStopping(endedCtx)
	drain(drainCtx)
	n.cutRunning()
	for _, server := range n.servers {
		if err := server.Close(); err != nil {
			n.logger.Warn().Err(err).Msg("failed to close a server")
		}
	}
	stop()
	err := group.Wait()
	n.logStopped(err)
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

// runPlatformSidecar serves the sidecar role: it grants the slots of the engine on the same
// machine.
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
	keeper.NewHolder(steady.Now, n.logger).Register(n.internal)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	if err := n.listenInternal(group); err != nil {
		return err
	}
	return n.run(ctx, group, groupCtx, stop, []runFunc{server.Run}, func(context.Context) { server.Drain() })
}

// entryNode is an entry process on the users' platform.
type entryNode struct {
	*node
	store         *platform.Store
	configuration *platform.ConfigurationSource
	directory     *fleet.Directory
	servers       *platform.ServerSource
	feeds         entryFeeds
	roster        *roster.Roster
	gateway       *gateway.Gateway
	deputy        *deputy.Deputy
	rollouts      *rollout.Controller
	poison        *poison.Tracker
	evidence      promptKeepers
	backpressure  *backpressure.Tracker
	lateness      *lateness.Meter
	upstream      *upstream.Client
	public        *callerconn.Server
	// registrationLost receives a value when this entry must register in the store again.
	registrationLost chan struct{}
}

func newEntryNode(metricsPort int) (*entryNode, error) {
	n, err := newNode("entry", metricsPort)
	if err != nil {
		return nil, err
	}
	e := &entryNode{node: n, store: platform.NewStore(n.settings.StoreURL), directory: fleet.NewDirectory(), lateness: &lateness.Meter{}, registrationLost: make(chan struct{}, 1)}
	holder := &fleet.Holder{}
	n.manifest.Store(holder)
	e.configuration = platform.NewConfigurationSource(holder, n.logger)
	codec := platform.Codec{}
	strayLogger := n.limiter.Logger(n.logger, "stray answer")
	e.upstream = upstream.New(upstream.Options{
		RequestIDOf: func(h http.Header) string { return codec.DecodeAnswer(h).RequestID },
		OnStrayAnswer: func(server, sent, answered string) {
			strayLogger.Warn().Str("request_id", sent).Str("backend_server", server).Str("answered", answered).
				Str("outcome", "passed over").Msg("stray answer")
		},
	})
	e.servers = platform.NewServerSource(e.directory, n.logger)
	e.servers.OnRemoved = e.upstream.CloseIdleTo
	peerClient := transport.NewClient("", nil)
	pool := limit.NewPool(time.Now())
	pool.AwaitEntries()
	bounds := n.settings.Bounds
	e.rollouts, err = rollout.New(rollout.Options{
		ID: n.settings.ID, Bounds: rollout.Bounds{Share: bounds.ExposureShare, Slack: bounds.ExposureSlack},
		Log: &platform.RolloutLog{Store: e.store}, Ready: e.directory.Ready, Registered: e.directory.Registered,
		Membership: func() rollout.Membership { return e.roster.Membership() },
		Logger:     n.logger, Meter: n.metrics.Meter,
	})
	if err != nil {
		return nil, err
	}
	e.poison = poison.New(poison.Options{
		Now: steady.Now, Engines: func() int { return len(e.directory.IDs()) }, OnChange: func(own bool) { e.evidence.request(own) }, Places: 2, Logger: n.logger,
	})
	if e.evidence, err = e.newKeepers(holder, peerClient); err != nil {
		return nil, err
	}
	e.backpressure = backpressure.New(backpressure.Options{ID: n.settings.ID, Now: steady.Now, Logger: n.limiter.Logger(n.logger, "backpressure")})
	e.feeds = e.newFeeds()
	e.roster = roster.New(roster.Options{
		ID: n.settings.ID, Address: n.settings.Internal, BootID: n.boot, Client: peerClient, Pool: pool,
		Configuration:        e.configuration.Configuration,
		OnNewerConfiguration: func(raw []byte) { e.configuration.Offer(raw, "peer") },
		OnVerified:           e.configuration.MarkVerified,
		Rollouts:             e.rollouts,
		Poison:               e.poison,
		Backpressure:         e.backpressure,
		Feeds:                []*feed.Feed{e.feeds.operator, e.feeds.servers, e.feeds.entries},
		MaxBufferedBytes:     int64(messagesShare * float64(n.settings.MemoryBytes)),
		Logger:               n.logger,
	})
	e.gateway, err = e.newGateway(codec, holder, pool)
	return e, err
}

// promptKeepers keep the evidence about prompts in the store, which survives the loss of all machines, and at sidecars,
// which can be reached while the store is away.
type promptKeepers struct{ store, sidecars *keeper.Keeper }

func (k promptKeepers) request(own bool) {
	k.store.Request(own)
	k.sidecars.Request(own)
}

func (e *entryNode) newKeepers(holder *fleet.Holder, client *http.Client) (promptKeepers, error) {
	options := keeper.Options{
		Name: "store", Tracker: e.poison, Log: &platform.PromptLog{Store: e.store},
		Rank: func() int { return e.roster.Membership().Rank }, Isolated: func() bool { return e.roster.IsIsolated() },
		CanServe: func() bool {
			manifest, _ := holder.Current()
			return manifest != nil && e.directory.Loaded()
		},
		Patience: keeper.DefaultPatience, Logger: e.logger, Meter: e.metrics.Meter,
	}
	store, err := keeper.New(options)
	if err != nil {
		return promptKeepers{}, err
	}
	sidecarAddress := gateway.SidecarAddress(strconv.Itoa(e.settings.InternalPort), holder)
	addresses := func() (list []string) {
		for _, id := range e.directory.IDs() {
			if server, registered := e.directory.Server(id); registered {
				list = append(list, sidecarAddress(server))
			}
		}
		return slices.DeleteFunc(list, func(address string) bool { return address == "" })
	}
	options.Name, options.Live, options.Ready, options.Patience = "sidecars", true, options.CanServe, 0
	options.Log = &keeper.Peers{Client: client, Addresses: addresses, URL: peerURL}
	sidecars, err := keeper.New(options)
	return promptKeepers{store: store, sidecars: sidecars}, err
}

// newGateway returns the gateway of the entry, and sets its deputy.
func (e *entryNode) newGateway(codec platform.Codec, holder *fleet.Holder, pool *limit.Pool) (*gateway.Gateway, error) {
	n, bounds := e.node, e.settings.Bounds
	sidecars := slots.NewClient(nil)
	sidecars.Logger = n.limiter.Logger(n.logger, "slot connection")
	sidecarAddress := gateway.SidecarAddress(strconv.Itoa(n.settings.InternalPort), holder)
	e.deputy = e.newDeputy(sidecars, sidecarAddress)
	return gateway.New(gateway.Options{
		DataCentre: n.settings.DataCentre, Codec: codec, Manifest: holder, Directory: e.directory,
		Upstream: e.upstream, Slots: sidecars,
		SidecarAddress: sidecarAddress, DeputyAddress: e.deputy.Address,
		Rollouts: e.rollouts, Poison: e.poison, Backpressure: e.backpressure, Lateness: e.lateness, Entries: e.roster.AliveEntries, Limits: pool,
		HasQuorum: func() bool {
			_, hasQuorum := e.roster.Alive()
			return hasQuorum
		},
		StartedAt: steady.Now(),
		Bounds: gateway.Bounds{
			ApplyWithin: bounds.ApplyWithin, RevokeWithin: bounds.RevokeWithin,
			Retries: gateway.RetryBounds{Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack},
		},
		MaxBufferedBytes: int64(bufferedBytesShare * float64(n.settings.MemoryBytes)),
		Logger:           n.logger, Meter: n.metrics.Meter, Limiter: n.limiter, Requests: n.requests,
	})
}

func (e *entryNode) newDeputy(client *slots.Client, sidecarAddress func(fleet.Server) string) *deputy.Deputy {
	return deputy.New(deputy.Options{
		ID: e.settings.ID, Entries: e.roster.KnownEntries, Alive: e.roster.Alive, Client: client, Logger: e.logger, Limiter: e.limiter,
		Sidecar: func(engine string) (string, bool) {
			server, registered := e.directory.Server(engine)
			return sidecarAddress(server), registered
		},
		SidecarActive: func(engine string) bool {
			// An engine that isn't registered has the zero incarnation, for which nothing is known.
			server, _ := e.directory.Server(engine)
			return e.backpressure.SidecarActive(server.Incarnation())
		},
	})
}

// entryFeeds are the topics of the store that entries pass on to each other.
type entryFeeds struct{ operator, servers, entries *feed.Feed }

func (e *entryNode) newFeeds() entryFeeds {
	bounds := e.settings.Bounds
	isReader := func() bool { return e.roster.IsReader() }
	orders := &platform.OrderSource{Controller: e.rollouts, Logger: e.logger}
	evacuations := &platform.EvacuationSource{Directory: e.directory, Logger: e.logger}
	return entryFeeds{
		operator: feed.New(feed.Options{
			Topic: platform.TopicOperator, Listener: platform.Listeners{e.configuration, orders, evacuations}, IsReader: isReader,
			MaxAge: time.Duration(configurationMaxAgeShare * float64(bounds.ApplyWithin)),
		}),
		servers: feed.New(feed.Options{
			Topic: platform.TopicServers, Listener: e.servers, IsReader: isReader,
			MaxAge: time.Duration(serversMaxAgeShare * float64(bounds.DrainWithin)), IsRenewal: platform.IsServerRenewal,
		}),
		entries: feed.New(feed.Options{
			Topic: platform.TopicEntries, IsReader: isReader, MaxAge: membersWait,
			Listener: &platform.MemberSource{
				Logger: e.logger, AddEntry: func(id, address string) { e.roster.AddEntry(id, address) }, OnRewound: func() {
					e.requestRegistration()
					e.evidence.store.Rewound()
				},
			},
		}),
	}
}

// runPlatformEntry serves the entry role, which forwards the platform's callers to backend
// servers.
func runPlatformEntry(ctx context.Context, signals *signalHandler, metricsPort int) error {
	e, err := newEntryNode(metricsPort)
	if err != nil {
		return err
	}
	signals.attach(e.logger, e.reload)
	e.roster.Register(e.internal)
	e.deputy.Register(e.internal)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	if err := e.listenInternal(group); err != nil {
		return err
	}
	ready := e.configureServer(&http.Server{Handler: e.readiness(), ReadHeaderTimeout: callerHeaderTimeout}, "ready")
	if err := e.listen(group, ready, e.settings.Ready); err != nil {
		return err
	}
	front := &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
	}
	e.public = callerconn.NewServer(front)
	e.configureFrontServer(front)
	if err := e.listen(group, e.public, e.settings.Front); err != nil {
		return err
	}
	bounds := e.settings.Bounds
	always := func(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }
	configurationWait := func() time.Duration {
		share := configurationWaitShare
		if e.roster.HasFollowers() {
			share = minReaderWaitShare + (maxReaderWaitShare-minReaderWaitShare)*rand.Float64()
		}
		return time.Duration(share * float64(bounds.ApplyWithin))
	}
	follow := func(f *feed.Feed, wait func() time.Duration, pause time.Duration) runFunc {
		return (&platform.Follower{Store: e.store, Feed: f, Logger: e.logger, Wait: wait, Pause: pause}).Run
	}
	// followWithin reads a topic whose changes must be known within a bound.
	followWithin := func(f *feed.Feed, wait func() time.Duration, maxAgeShare float64, bound, pause time.Duration) runFunc {
		return (&platform.Follower{
			Store: e.store, Feed: f, Logger: e.logger, Wait: wait, Pause: pause,
			MaxAge: time.Duration(maxAgeShare * float64(bound)), Margin: time.Duration(readMarginShare * float64(bound)),
		}).Run
	}
	serversPause := time.Duration(serversPauseShare * float64(bounds.DrainWithin))
	statuses := follow(feed.New(feed.Options{
		Topic: platform.TopicStatus, Listener: &platform.StatusSource{Controller: e.rollouts, Logger: e.logger},
	}), always(statusWait), 0)
	return e.run(ctx, group, groupCtx, stop, []runFunc{
		followWithin(e.feeds.operator, configurationWait, configurationWaitShare, bounds.ApplyWithin, 0),
		followWithin(e.feeds.servers, always(time.Duration(serversWaitShare*float64(bounds.DrainWithin))), serversWaitShare, bounds.DrainWithin, serversPause),
		follow(e.feeds.entries, always(membersWait), time.Second),
		func(ctx context.Context) error { return e.rollouts.RunWhileOpen(ctx, statuses) }, e.rollouts.Run,
		e.register, e.evidence.store.Run, e.evidence.sidecars.Run, e.roster.Run, e.gateway.Run, e.upstream.Run, e.lateness.Run,
	}, e.drain)
}

// readiness returns the handler of the readiness check that the platform's load balancer sends.
func (e *entryNode) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := e.gateway.NotReady()
		e.logReadiness(reason)
		if reason != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// requestRegistration makes register publish this entry again.
func (e *entryNode) requestRegistration() {
	select {
	case e.registrationLost <- struct{}{}:
	default:
	}
}

// register publishes this entry in the store for the other entries, and again when the store may have lost it. It
// retries until it succeeds.
func (e *entryNode) register(ctx context.Context) error {
	member := platform.Member{ID: e.settings.ID, Address: e.settings.Internal}
	value, err := platform.EncodeMember(member)
	if err != nil {
		return err
	}
	for {
		err := e.store.Put(ctx, platform.TopicEntries, member.ID, value)
		if err == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.registrationLost:
				continue
			}
		}
		e.logger.Warn().Err(err).Str("outcome", "not registered").Msg("entry")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(registerRetryDelay):
		}
	}
}

// drain makes the entry fail its readiness checks, keeps accepting connections for at least
// minAcceptTime, and then closes connections as their requests end. While requests from that first
// phase are still running, it keeps accepting until stopAcceptingBefore the end: if most entries
// of a zone stop at the same time, the load balancer sends callers to all of them.
func (e *entryNode) drain(ctx context.Context) {
	drainTime := e.settings.Bounds.ShutdownGrace - exitMargin
	e.gateway.BeginShutdown(drainTime)
	e.deputy.Close()
	acceptCtx, cancel := context.WithTimeout(ctx, max(drainTime-stopAcceptingBefore, 0))
	defer cancel()
	select {
	case <-time.After(minAcceptTime):
	case <-ctx.Done():
	}
	e.requests.MarkRunning()
	e.requests.WaitMarked(acceptCtx)
	e.beginClosingIdle()
	if err := e.public.Shutdown(ctx); err != nil {
		e.logger.Warn().Err(err).Int64("running", e.requests.Running()).Msg("requests were still running at the end of the grace time")
	}
}
