package move

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// kindEngine is the kind of backend server that loads versions by order.
const kindEngine = "engine"

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// loadSteps returns the load orders in waves and their total duration. A pool of plain services
// has no load steps, as each instance runs a fixed version.
func (p *Planner) loadSteps(ctx context.Context, state *configpb.State, intent command.Intent, servers []platform.BackendServer) ([]*configpb.MoveStep, time.Duration, error) {
	engines := engineIDs(servers)
	if len(engines) == 0 {
		return nil, 0, checkServiceInstances(servers, intent)
	}
	artifact := state.GetVersions()[config.VersionKey(intent.Pool, intent.ToVersion)].GetArtifact()
	stored, err := p.options.Weights.Artifact(ctx, artifact)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil, 0, infeasible(intent, "the weight store has no artifact %q", artifact)
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "plan")
	}
	budget, err := p.options.Weights.Budget(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "plan")
	}
	if budget.BytesPerSecond == 0 {
		return nil, 0, infeasible(intent, "the weight store delivers nothing at present")
	}
	steps, total := p.loadWaves(engines, stored.SizeBytes, budget)
	return steps, total, nil
}

// loadWaves splits the engines into load steps. Their planned times follow from the weight
// store's rate.
func (p *Planner) loadWaves(engines []string, size uint64, budget platform.WeightBudget) ([]*configpb.MoveStep, time.Duration) {
	waveSize := (len(engines) + loadWaveDivisor - 1) / loadWaveDivisor
	queueTime := transferTime(budget.QueuedBytes, budget.BytesPerSecond)
	total := time.Duration(0)
	var steps []*configpb.MoveStep
	for wave := range slices.Chunk(engines, waveSize) {
		planned := queueTime + transferTime(size*uint64(len(wave)), budget.BytesPerSecond) + p.timing.LoadOverhead
		steps = append(steps, &configpb.MoveStep{
			Kind: configpb.StepKind_STEP_KIND_LOAD, BackendServers: wave, PlannedMs: uint64(planned.Milliseconds()),
		})
		total += planned
		queueTime = 0
	}
	return steps, total
}

func transferTime(bytes, rate uint64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// engineIDs returns the ids of the backend servers that are engines.
func engineIDs(servers []platform.BackendServer) []string {
	var ids []string
	for _, server := range servers {
		if server.Kind == kindEngine {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// checkServiceInstances returns an error if no backend server runs the new version.
func checkServiceInstances(servers []platform.BackendServer, intent command.Intent) error {
	for _, server := range servers {
		if server.Version == intent.ToVersion {
			return nil
		}
	}
	return infeasible(intent, "pool %q has no live instance of version %q", intent.Pool, intent.ToVersion)
}

// unloadStep returns the step that unloads the old version, or nil if another route still uses it
// or there is no engine.
func unloadStep(state *configpb.State, intent command.Intent, routes []string, servers []platform.BackendServer) *configpb.MoveStep {
	engines := engineIDs(servers)
	if len(engines) == 0 || usedByOtherRoute(state, intent.Pool, intent.FromVersion, routes) {
		return nil
	}
	return &configpb.MoveStep{Kind: configpb.StepKind_STEP_KIND_UNLOAD, BackendServers: engines, ShareBp: fullShareBP}
}

// usedByOtherRoute reports whether a route that isn't listed sends requests to a version.
func usedByOtherRoute(state *configpb.State, pool, version string, routes []string) bool {
	for name, route := range state.GetRoutes() {
		if route.GetPool() == pool && config.ShareOf(route, version) > 0 && !slices.Contains(routes, name) {
			return true
		}
	}
	return false
}
