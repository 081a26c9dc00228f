package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// enginePollInterval is the interval at which an engine's load report is requested.
	enginePollInterval = time.Second
	// enginePollTimeout bounds one request for a load report.
	enginePollTimeout = 2 * time.Second
	// versionReportLag is how long an engine's load report may omit a version after the
	// order to load it has completed.
	versionReportLag = 10 * time.Second
)

// server is a backend server with its queue and the state that the sidecar keeps for it.
type server struct {
	BackendServer
	// engine is nil for a plain service.
	engine   platform.Engine
	queue    *admission.Queue
	fence    *fence
	versions versionSet
	health   health
	share    shareCap
}

// versionSet holds the versions that are loaded on a backend server. As an engine's load
// reports lag behind its orders, completed orders take precedence over reports for
// versionReportLag. The zero value is an empty set that has had no report.
type versionSet struct {
	mu sync.Mutex
	// reported is true after the first report.
	reported bool
	names    []string
	// stopped holds the versions that are unloaded or being unloaded. Reports don't add them.
	stopped []string
	// loadedUntil holds, by version, until when a loaded version stays in the set even if
	// reports omit it.
	loadedUntil map[string]time.Time
}

// set replaces the versions by those of a report, subject to completed orders.
func (v *versionSet) set(names []string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reported = true
	v.names = slices.DeleteFunc(slices.Clone(names), v.isStopped)
	for name, until := range v.loadedUntil {
		if now.After(until) {
			delete(v.loadedUntil, name)
		} else if !slices.Contains(v.names, name) {
			v.names = append(v.names, name)
		}
	}
}

// isStopped reports whether a version is stopped. The caller holds mu.
func (v *versionSet) isStopped(name string) bool { return slices.Contains(v.stopped, name) }

// stop removes a version and ignores it in reports until add or resume.
func (v *versionSet) stop(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.loadedUntil, name)
	if !v.isStopped(name) {
		v.stopped = append(v.stopped, name)
	}
	v.names = slices.DeleteFunc(slices.Clone(v.names), v.isStopped)
}

// resume lets reports add a stopped version again.
func (v *versionSet) resume(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = slices.DeleteFunc(v.stopped, func(n string) bool { return n == name })
}

// add adds a version whose order to load has completed.
func (v *versionSet) add(name string, now time.Time) {
	v.resume(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loadedUntil == nil {
		v.loadedUntil = map[string]time.Time{}
	}
	v.loadedUntil[name] = now.Add(versionReportLag)
	if !slices.Contains(v.names, name) {
		v.names = append(slices.Clone(v.names), name)
	}
}

// list returns the versions and whether there has been a report. The caller must not modify
// the slice.
func (v *versionSet) list() ([]string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.names, v.reported
}

// pollEngine requests an engine's load report at enginePollInterval until ctx is done.
func (s *Sidecar) pollEngine(ctx context.Context, target *server) {
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		if target.health.pauseLeft(time.Now()) == 0 {
			s.refreshVersions(ctx, target)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshVersions requests a load report and updates the versions and the health of an
// engine.
func (s *Sidecar) refreshVersions(ctx context.Context, target *server) {
	ctx, stop := context.WithTimeout(ctx, enginePollTimeout)
	defer stop()
	load, err := target.engine.Load(ctx)
	if err != nil {
		s.logger.Debug().Err(err).Str("backend_server", target.ID).Msg("failed to get load report of engine")
		if isUnreachable(err) {
			target.health.recordFailure(time.Now())
		}
		return
	}
	target.health.recordSuccess()
	target.versions.set(load.Versions, time.Now())
}

// isUnreachable reports whether a call failed because the engine is unavailable or timed out.
func isUnreachable(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, context.DeadlineExceeded)
}

// servesVersion reports whether a backend server has a version loaded. An empty name matches any
// version. It requests a load report if an engine has sent none yet.
func (s *Sidecar) servesVersion(ctx context.Context, target *server, version string) bool {
	names, known := target.versions.list()
	if !known && target.engine != nil {
		s.refreshVersions(ctx, target)
		names, _ = target.versions.list()
	}
	return version == "" || slices.Contains(names, version)
}

// isContained reports whether a version is contained, and so must get no requests, on a route.
func (s *Sidecar) isContained(pool, version, route string) bool {
	if version == "" {
		return false
	}
	state := s.config.Current().GetVersions()[pool+"/"+version].GetState()
	if state == configpb.VersionState_VERSION_STATE_CONTAINED {
		return true
	}
	return s.containment != nil && s.containment.Contained(pool, version, route)
}

// refuseContained refuses the queued requests of contained versions.
func (s *Sidecar) refuseContained() {
	for _, id := range s.serverIDs {
		target := s.servers[id]
		target.queue.Refuse(admission.ReasonVersion, func(r admission.Request) bool {
			return s.isContained(target.Pool, r.Version, r.Route)
		})
	}
}

// load returns the load of a backend server for a response. The sequence number orders the
// reports of one boot.
func (s *Sidecar) load(target *server) *lanepb.Load {
	state := target.queue.Load()
	names, _ := target.versions.list()
	return &lanepb.Load{
		BackendServer:   target.ID,
		BootId:          s.bootID,
		Sequence:        s.reportSequence.Add(1),
		Running:         uint32(state.Running),
		Queued:          uint32(state.Queued),
		Limit:           uint32(state.Limit),
		WorkTokens:      state.Work,
		WorkByRank:      state.WorkByRank,
		TokensPerSecond: state.TokensPerSecond,
		FloorRank:       state.FloorRank,
		Full:            state.Full,
		Draining:        state.Draining,
		Versions:        names,
		Prefixes:        state.Prefixes,
	}
}
