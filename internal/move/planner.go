package move

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// PlannerOptions configures a Planner. Config, Instances and Weights are required.
type PlannerOptions struct {
	Config    config.View
	Instances platform.Instances
	Weights   platform.Weights
	// Evidence provides the request rates of the routes at this entry; nil: unknown.
	Evidence  Evidence
	Timing    Timing
	Tolerance health.Tolerance
}

// Planner turns intents into plans. It implements command.Planner.
type Planner struct {
	options PlannerOptions
	timing  Timing
}

var _ command.Planner = (*Planner)(nil)

// NewPlanner returns a Planner.
func NewPlanner(options PlannerOptions) *Planner {
	return &Planner{options: options, timing: options.Timing.withDefaults()}
}

// Plan returns the move with its steps, and the revisions of its routes. It returns
// *command.InfeasibleError if the move can't be done as intended, and a platform error if the
// platform is unavailable.
func (p *Planner) Plan(ctx context.Context, intent command.Intent) (*configpb.Move, map[string]uint64, error) {
	state := p.options.Config.Current()
	if intent.ID == "" {
		intent.ID = "m-" + rand.Text()[:8]
	}
	routes, err := movedRoutes(state, intent)
	if err != nil {
		return nil, nil, err
	}
	servers, entries, err := p.poolMembers(ctx, intent)
	if err != nil {
		return nil, nil, err
	}
	loads, loadTime, err := p.loadSteps(ctx, state, intent, servers)
	if err != nil {
		return nil, nil, err
	}
	minCanary, err := p.canaryTime(intent, routes, entries)
	if err != nil {
		return nil, nil, err
	}
	unload := unloadStep(state, intent, routes, servers)
	steps, err := p.schedule(intent, loads, loadTime, minCanary, unload)
	if err != nil {
		return nil, nil, err
	}
	move := &configpb.Move{
		Id: intent.ID, Pool: intent.Pool, FromVersion: intent.FromVersion, ToVersion: intent.ToVersion,
		Routes: routes, FinishByUnixMs: intent.FinishBy.UnixMilli(), Steps: steps,
	}
	return move, routeRevisions(state, routes), nil
}

func infeasible(intent command.Intent, format string, args ...any) error {
	return errors.WithStack(&command.InfeasibleError{Move: intent.ID, Reason: fmt.Sprintf(format, args...)})
}

// movedRoutes validates the versions of an intent and returns the routes of the move, sorted.
func movedRoutes(state *configpb.State, intent command.Intent) ([]string, error) {
	for _, name := range []string{intent.FromVersion, intent.ToVersion} {
		if state.GetVersions()[config.VersionKey(intent.Pool, name)] == nil {
			return nil, infeasible(intent, "pool %q has no version %q", intent.Pool, name)
		}
	}
	to := state.GetVersions()[config.VersionKey(intent.Pool, intent.ToVersion)]
	if to.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
		return nil, infeasible(intent, "version %q is contained: %s", intent.ToVersion, to.GetReason())
	}
	for id, move := range state.GetMoves() {
		if config.MoveActive(move) && move.GetPool() == intent.Pool && overlapsVersions(move, intent) {
			return nil, infeasible(intent, "move %q already moves a version of pool %q", id, intent.Pool)
		}
	}
	routes := slices.Clone(intent.Routes)
	if len(routes) == 0 {
		for name, route := range state.GetRoutes() {
			if route.GetPool() == intent.Pool && config.ShareOf(route, intent.FromVersion) > 0 {
				routes = append(routes, name)
			}
		}
	}
	slices.Sort(routes)
	for _, name := range routes {
		if route := state.GetRoutes()[name]; route == nil || route.GetPool() != intent.Pool {
			return nil, infeasible(intent, "pool %q has no route %q", intent.Pool, name)
		}
	}
	if len(routes) == 0 {
		return nil, infeasible(intent, "no route of pool %q uses version %q", intent.Pool, intent.FromVersion)
	}
	return routes, nil
}

// overlapsVersions reports whether a move involves one of the versions of an intent.
func overlapsVersions(move *configpb.Move, intent command.Intent) bool {
	versions := []string{move.GetFromVersion(), move.GetToVersion()}
	return slices.Contains(versions, intent.FromVersion) || slices.Contains(versions, intent.ToVersion)
}

// routeRevisions returns the current revisions of the routes, by name.
func routeRevisions(state *configpb.State, routes []string) map[string]uint64 {
	found := map[string]uint64{}
	for _, name := range routes {
		found[name] = state.GetRevisions()[config.RouteEntity(name)]
	}
	return found
}

// poolMembers returns the live backend servers of the pool and the number of live entries.
func (p *Planner) poolMembers(ctx context.Context, intent command.Intent) ([]platform.BackendServer, int, error) {
	list, err := p.options.Instances.List(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "plan")
	}
	var servers []platform.BackendServer
	entries := 0
	for _, instance := range list {
		if instance.State != platform.InstanceLive {
			continue
		}
		if instance.Role == platform.RoleEntry {
			entries++
		}
		for _, server := range instance.BackendServers {
			if server.Pool == intent.Pool {
				servers = append(servers, server)
			}
		}
	}
	slices.SortFunc(servers, func(a, b platform.BackendServer) int { return compareStrings(a.ID, b.ID) })
	if len(servers) == 0 {
		return nil, 0, infeasible(intent, "pool %q has no live backend server", intent.Pool)
	}
	return servers, entries, nil
}

// canaryTime returns the minimum time at the canary share within which each route collects enough
// evidence at its present request rate.
func (p *Planner) canaryTime(intent command.Intent, routes []string, entries int) (time.Duration, error) {
	longest := p.timing.MinCanary
	if p.options.Evidence == nil {
		return longest, nil
	}
	requiredRequests := float64(p.options.Tolerance.RequiredRequests())
	for _, route := range routes {
		key := health.Key{Pool: intent.Pool, Version: intent.FromVersion, Route: route}
		rate, known := p.options.Evidence.Rate(key, time.Minute)
		rate *= float64(max(entries, 1))
		if !known || rate == 0 {
			continue
		}
		seconds := requiredRequests / (rate * canaryShareBP / fullShareBP)
		longest = max(longest, time.Duration(math.Ceil(seconds))*time.Second)
	}
	return longest, nil
}
