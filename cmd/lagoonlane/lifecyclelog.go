package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/platform"
)

const (
	// answerWithin is how long a process waits, out of exitMargin, for the last answers of
	// the requests that it ends. They come at once, unless there is no processor time or a
	// caller doesn't read.
	answerWithin = exitMargin / 2
	// settleWithin is how long it waits for the lines of the rest, once their connections
	// are closed.
	settleWithin = exitMargin / 4
)

// lifecycleLog writes what a process tells of its own start and end. A process that
// was killed is known by a start without the line of its end before it.
type lifecycleLog struct {
	log zerolog.Logger
	// lines is the logger for what a fault may repeat.
	lines zerolog.Logger
	front string
	grace time.Duration
	// boot differs at each start.
	boot        string
	startBegan  time.Time
	stopBegan   time.Time
	limiter     *telemetry.Limiter
	requests    *gateway.Requests
	connections *transport.Connections
	// base is the context of all requests; end ends it.
	base context.Context
	end  context.CancelCauseFunc

	mu sync.Mutex
	// notReady is what the balancer was told last, if it was told.
	notReady string
	told     bool
	// loaded are the settings as they were read last.
	loaded platform.Settings
}

// newLifecycleLog writes the first line of a process.
func newLifecycleLog(logger zerolog.Logger, meter metric.Meter, settings platform.Settings) (*lifecycleLog, error) {
	l := &lifecycleLog{
		log: logger, loaded: settings, front: settings.Front, grace: settings.Bounds.ShutdownGrace,
		boot: rand.Text(), startBegan: time.Now(), requests: &gateway.Requests{},
	}
	l.base, l.end = context.WithCancelCause(context.Background())
	event := l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Str("settings", settings.Digest)
	if revision := buildRevision(); revision != "" {
		event.Str("build", revision)
	}
	event.Str("internal", settings.Internal).Str("front", settings.Front).Str("outcome", "starting").Msg("process")
	var err error
	if l.limiter, err = telemetry.NewLimiter(meter); err != nil {
		return nil, err
	}
	l.lines = l.limiter.Logger(logger, "process")
	l.connections, err = transport.NewConnections(l.limiter.Logger(logger, "connection"), meter)
	return l, err
}

// buildRevision returns the commit that the program was built from, or "".
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

// prepared puts a server's own errors into the log, and makes its requests end with a
// cause when the process ends them.
func (l *lifecycleLog) prepared(server *http.Server, name string) *http.Server {
	server.ErrorLog = l.limiter.ServerErrorLog(l.log, name)
	server.BaseContext = func(net.Listener) context.Context { return l.base }
	return server
}

// watched is prepared for the server of the front address, whose connections are counted.
func (l *lifecycleLog) watched(server *http.Server) {
	l.connections.Observe(server)
	l.prepared(server, "front")
}

// listener returns what the server of an address is served on.
func (l *lifecycleLog) listener(inner net.Listener, address string) net.Listener {
	if address != l.front {
		return inner
	}
	return l.connections.Listener(inner)
}

func (l *lifecycleLog) started() {
	l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Dur("took_ms", time.Since(l.startBegan)).
		Str("outcome", "started").Msg("process")
}

// stopping says why the process stops: the cause of ctx.
func (l *lifecycleLog) stopping(ctx context.Context) {
	l.stopBegan = time.Now()
	l.state().AnErr("cause", context.Cause(ctx)).Dur("grace_ms", l.grace).Str("outcome", "stopping").Msg("process")
}

func (l *lifecycleLog) closingIdle() {
	l.connections.MarkStopping()
	l.state().Dur("took_ms", time.Since(l.stopBegan)).Str("outcome", "closing idle connections").Msg("process")
}

// state begins a line with what runs.
func (l *lifecycleLog) state() *zerolog.Event {
	connections := l.connections.Counts()
	return l.log.Info().Str("boot", l.boot).Int64("running", l.requests.Running()).
		Int64("connections", connections.Open).Int64("connections_active", connections.Active)
}

// cutRunning ends the requests that still run, and waits for the answers of those whose
// callers have no part of one yet.
func (l *lifecycleLog) cutRunning() {
	l.end(&transport.StoppedError{})
	l.settle(answerWithin)
}

func (l *lifecycleLog) settle(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	l.requests.WaitIdle(ctx)
}

// stopped writes the last line of a process, after those of the requests that it cut.
// Err is the failure of a part of it, or nil.
func (l *lifecycleLog) stopped(err error) {
	l.settle(settleWithin)
	cut, named := l.requests.CutRequests()
	connections := l.connections.Counts()
	l.state().Dur("took_ms", time.Since(l.stopBegan)).Int("requests_cut", cut).Strs("request_ids", named).
		Int64("closed_idle", connections.ClosedIdle).Int64("closed_arriving", connections.ClosedArriving).
		Err(err).Str("outcome", "stopped").Msg("process")
}

// readinessTold notes what the balancer is told: why the process isn't ready, or "".
func (l *lifecycleLog) readinessTold(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told && l.notReady == reason {
		return
	}
	l.told, l.notReady = true, reason
	outcome := "ready"
	if reason != "" {
		outcome = "not ready"
	}
	l.lines.Info().Str("reason", reason).Str("outcome", outcome).Msg("readiness")
}

// reload reads the settings file again and tells what has changed in it. What a process
// is bound to (addresses, store) holds until its next start.
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
