package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/platform"
)

// settleWithin is how long a process waits for the lines of the requests that it cut,
// out of exitMargin: they end at once, unless there is no processor time.
const settleWithin = exitMargin / 2

// lifecycleLog writes what a process tells of its own start and end. A process that
// was killed is known by a start without the line of its end before it.
type lifecycleLog struct {
	log zerolog.Logger
	// loaded are the settings as they were read last.
	loaded platform.Settings
	front  string
	grace  time.Duration
	// boot differs at each start.
	boot        string
	began       time.Time
	stopBegan   time.Time
	limiter     *telemetry.Limiter
	requests    *gateway.Requests
	connections *transport.Connections
	// base is the context of all requests; end ends it.
	base context.Context
	end  context.CancelCauseFunc
}

// newLifecycleLog writes the first line of a process.
func newLifecycleLog(logger zerolog.Logger, meter metric.Meter, settings platform.Settings) (lifecycleLog, error) {
	l := lifecycleLog{
		log: logger, loaded: settings, front: settings.Front, grace: settings.Bounds.ShutdownGrace,
		boot: rand.Text(), began: time.Now(), requests: &gateway.Requests{},
	}
	l.base, l.end = context.WithCancelCause(context.Background())
	l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Str("settings", settings.Digest).Str("build", buildRevision()).
		Str("outcome", "starting").Msg("process")
	var err error
	if l.limiter, err = telemetry.NewLimiter(meter); err != nil {
		return l, err
	}
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

// watch puts a server's own errors into the log and makes its requests end with a
// cause. It returns the listener to serve on.
func (l *lifecycleLog) watch(server *http.Server, listener net.Listener, address string) net.Listener {
	server.ErrorLog = l.limiter.ServerErrors(l.log, address)
	server.BaseContext = func(net.Listener) context.Context { return l.base }
	if address != l.front {
		return listener
	}
	return l.connections.Watch(server, listener)
}

func (l *lifecycleLog) started() {
	l.log.Info().Int("pid", os.Getpid()).Str("boot", l.boot).Str("settings", l.loaded.Digest).
		Str("internal", l.loaded.Internal).Str("front", l.front).Dur("took_ms", time.Since(l.began)).Str("outcome", "started").Msg("process")
}

// stopping says why the process stops: the cause of ctx.
func (l *lifecycleLog) stopping(ctx context.Context) {
	l.stopBegan = time.Now()
	event := l.state().AnErr("cause", context.Cause(ctx))
	event.Dur("grace_ms", l.grace).Str("outcome", "stopping").Msg("process")
}

func (l *lifecycleLog) closingIdle() {
	l.state().Dur("took_ms", time.Since(l.stopBegan)).Str("outcome", "closing idle connections").Msg("process")
}

// state begins a line with what runs.
func (l *lifecycleLog) state() *zerolog.Event {
	connections := l.connections.Counts()
	return l.log.Info().Str("boot", l.boot).Int64("running", l.requests.Running()).
		Int64("connections", connections.Open).Int64("connections_active", connections.Active)
}

// cutRunning ends the requests that still run.
func (l *lifecycleLog) cutRunning() { l.end(&transport.StoppedError{}) }

// stopped writes the last line of a process, after those of the requests that it cut.
func (l *lifecycleLog) stopped() {
	ctx, cancel := context.WithTimeout(context.Background(), settleWithin)
	defer cancel()
	l.requests.Settle(ctx)
	cut, named := l.requests.Cut()
	connections := l.connections.Counts()
	l.state().Dur("took_ms", time.Since(l.stopBegan)).Int("requests_cut", cut).Strs("request_ids", named).
		Int64("closed_idle", connections.ClosedIdle).Int64("closed_arriving", connections.ClosedArriving).
		Str("outcome", "stopped").Msg("process")
}

// reloaded tells what a reading of the settings file has shown. What a process is bound
// to holds until its next start.
func (l *lifecycleLog) reloaded(settings platform.Settings, err error) {
	if err != nil {
		l.log.Error().Err(err).Str("settings", l.loaded.Digest).Str("outcome", "settings kept").Msg("reload")
		return
	}
	l.log.Info().Str("settings_before", l.loaded.Digest).Str("settings", settings.Digest).
		Strs("changes", l.loaded.Changes(settings)).Str("outcome", "settings read").Msg("reload")
	l.loaded = settings
}
