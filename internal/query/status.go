package query

import (
	"maps"
	"net/http"
	"slices"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// status responds with the state of this process: its offset, the log, active moves, contained
// versions and leases.
func (s *server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	state := s.options.Config.Current()
	answer := operatorapi.Status{
		Offset:    state.GetOffset(),
		Ready:     true,
		Tiers:     len(state.GetTiers()),
		Accounts:  len(state.GetAccounts()),
		Routes:    len(state.GetRoutes()),
		Versions:  len(state.GetVersions()),
		Contained: containedVersions(state),
	}
	if s.options.Log != nil {
		answer.Ready = s.options.Log.Ready()
		answer.LogDown = s.options.Log.LogDown()
	}
	var err error
	if answer.Moves, err = activeMoves(state); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	if answer.Leases, err = leases(state); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	operatorapi.WriteJSON(w, answer)
}

func containedVersions(state *configpb.State) []string {
	var contained []string
	for key, version := range state.GetVersions() {
		if version.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
			contained = append(contained, key)
		}
	}
	slices.Sort(contained)
	return contained
}

func activeMoves(state *configpb.State) ([]operatorapi.Item, error) {
	var items []operatorapi.Item
	for _, id := range slices.Sorted(maps.Keys(state.GetMoves())) {
		move := state.GetMoves()[id]
		if !config.MoveActive(move) {
			continue
		}
		entity := config.MoveEntity(id)
		item, err := operatorapi.NewItem(entity, state.GetRevisions()[entity], move)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func leases(state *configpb.State) ([]operatorapi.Item, error) {
	var items []operatorapi.Item
	for _, name := range slices.Sorted(maps.Keys(state.GetLeases())) {
		lease := state.GetLeases()[name]
		item, err := operatorapi.NewItem("lease/"+name, lease.GetFencing(), lease)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}
