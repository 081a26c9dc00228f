package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/platform"
)

const (
	// finalAnswerTimeout is the part of exitMargin in which a process waits for the final answers
	// of cancelled requests. They are sent immediately unless the processor is busy or a caller
	// does not read.
	finalAnswerTimeout = exitMargin / 2
	// finalLogTimeout is how long a process waits, after it has closed the remaining connections,
	// until their requests are logged.
	finalLogTimeout = exitMargin / 4
)

// lifecycleLog logs the start, readiness, reloads and shutdown of a process, and tracks its
// requests and connections. A start line that follows no "stopped" line means that the previous
// process was killed.
type lifecycleLog struct {
	log zerolog.Logger
	// limitedLog is rate-limited, for lines that a persistent fault can repeat.
	limitedLog   zerolog.Logger
	frontAddress string
	grace        time.Duration
	// boot is the boot id: a random value chosen at each start.
	boot        string
	startTime   time.Time
	stopTime    time.Time
	limiter     *telemetry.Limiter
	requests    *gateway.Requests
	connections *transport.Connections
	// baseContext is the parent context of all requests; cancelRequests cancels it.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc

	mu sync.Mutex
	// lastReason is the readiness reason logged last; it is valid only if readinessLogged is set.
	lastReason      string
	readinessLogged bool
	// loaded holds the most recently read settings.
	loaded platform.Settings
	guards connectionGuards
	// manifest holds the configuration of an entry; nil until it is set.
	manifest atomic.Pointer[fleet.Holder]
}

// headLimit returns the size of a caller's head above which its connection is closed.
func (l *lifecycleLog) headLimit() int64 {
	limit := int64(minHeadBytes)
	if holder := l.manifest.Load(); holder != nil {
		if manifest, _ := holder.Current(); manifest != nil {
			limit = max(limit, headLimitFactor*int64(manifest.Limits.MaxHeaderBytes))
		}
	}
	return limit
}

// newLifecycleLog creates the log of a process and writes its "starting" line.
func newLifecycleLog(logger zerolog.Logger, meter metric.Meter, settings platform.Settings) (*lifecycleLog, error) {
	l := &lifecycleLog{
		log: logger, loaded: settings, frontAddress: settings.Front, grace: settings.Bounds.ShutdownGrace,
		boot: rand.Text(), startTime: time.Now(), requests: &gateway.Requests{},
	}
	l.baseContext, l.cancelRequests = context.WithCancelCause(context.Background())
	event := l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Str("settings", settings.Digest)
	if revision := buildRevision(); revision != "" {
		event.Str("build", revision)
	}
	event.Str("internal", settings.Internal).Str("front", settings.Front).Str("outcome", "starting").Msg("process")
	var err error
	if l.limiter, err = telemetry.NewLimiter(meter); err != nil {
		return nil, err
	}
	l.limitedLog = l.limiter.Logger(logger, "process")
	l.connections, err = transport.NewConnections(l.limiter.Logger(logger, "connection"), meter)
	if err != nil {
		return nil, err
	}
	limits := machineLimits{memoryBytes: settings.MemoryBytes, descriptors: settings.Descriptors, openStreams: true}
	l.guards, err = newConnectionGuards(limits, l.headLimit, l.limiter.Logger(logger, "client connection"), meter)
	return l, err
}

// buildRevision returns the VCS revision that the program was built from, or "" if it is unknown.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// configureServer redirects the server's error log to the process log, derives its request
// contexts from baseContext, so that shutdown cancels them with a cause, and returns the server.
func (l *lifecycleLog) configureServer(server *http.Server, name string) *http.Server {
	server.ErrorLog = l.limiter.ServerErrorLog(l.log, name)
	server.BaseContext = func(net.Listener) context.Context { return l.baseContext }
	// Requests to "*" are answered like those to any other path without a route.
	server.DisableGeneralOptionsHandler = true
	if name == frontServer {
		l.guards.protectPublic(server)
	} else {
		l.guards.protectInternal(server)
	}
	return server
}

// frontServer is the name of the server of the front address.
const frontServer = "front"

// configureFrontServer applies configureServer to the server of the front address and counts its
// connections.
func (l *lifecycleLog) configureFrontServer(server *http.Server) {
	l.connections.Observe(server)
	l.configureServer(server, frontServer)
}

// wrapListener wraps the listener of an address to guard its connections, and that of the front address also to track
// them.
func (l *lifecycleLog) wrapListener(inner net.Listener, address string) net.Listener {
	if address != l.frontAddress {
		return l.guards.internal.Listener(inner)
	}
	return l.connections.Listener(l.guards.public.Listener(inner))
}

func (l *lifecycleLog) logStarted() {
	l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Dur("took_ms", time.Since(l.startTime)).
		Str("outcome", "started").Msg("process")
}

// logStopping records the start of the shutdown and logs its reason, which is the cause of ctx.
func (l *lifecycleLog) logStopping(ctx context.Context) {
	l.stopTime = time.Now()
	l.stateEvent().AnErr("cause", context.Cause(ctx)).Dur("grace_ms", l.grace).Str("outcome", "stopping").Msg("process")
}

func (l *lifecycleLog) beginClosingIdle() {
	l.connections.MarkStopping()
	l.stateEvent().Dur("took_ms", time.Since(l.stopTime)).Str("outcome", "closing idle connections").Msg("process")
}

// stateEvent returns a log event with the numbers of running requests and of open and active
// connections.
func (l *lifecycleLog) stateEvent() *zerolog.Event {
	connections := l.connections.Counts()
	return l.log.Info().Str("boot", l.boot).Int64("running", l.requests.Running()).
		Int64("connections", connections.Open).Int64("connections_active", connections.Active)
}

// cutRunning cancels the requests that are still running and waits for the answers of those that
// have not sent any part of an answer yet.
func (l *lifecycleLog) cutRunning() {
	l.cancelRequests(&transport.StoppedError{})
	l.waitIdle(finalAnswerTimeout)
}

func (l *lifecycleLog) waitIdle(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	l.requests.WaitIdle(ctx)
}

// logStopped waits until the cancelled requests are logged and writes the last line of the
// process. Err is the failure of a component, or nil.
func (l *lifecycleLog) logStopped(err error) {
	l.waitIdle(finalLogTimeout)
	cut, requestIDs := l.requests.CutRequests()
	connections := l.connections.Counts()
	l.stateEvent().Dur("took_ms", time.Since(l.stopTime)).Int("requests_cut", cut).Strs("request_ids", requestIDs).
		Int64("closed_idle", connections.ClosedIdle).Int64("closed_arriving", connections.ClosedArriving).
		Err(err).Str("outcome", "stopped").Msg("process")
}

// logReadiness logs a change of the readiness reported to the load balancer. Reason states why the
// process is not ready; it is empty if the process is ready.
func (l *lifecycleLog) logReadiness(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readinessLogged && l.lastReason == reason {
		return
	}
	l.readinessLogged, l.lastReason = true, reason
	outcome := "ready"
	if reason != "" {
		outcome = "not ready"
	}
	l.limitedLog.Info().Str("reason", reason).Str("outcome", outcome).Msg("readiness")
}

// reload reads the settings file again and logs the changes. Settings that are applied only at
// startup (addresses, store) keep their values until the next start.
func (l *lifecycleLog) reload() error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Info().Str("settings_before", l.loaded.Digest).Str("settings", settings.Digest).
		Strs("changes", l.loaded.Changes(settings)).Msg("settings")
	l.loaded = settings
	return nil
}
