package config

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// ToSnapshot returns a snapshot of a state without the parts that FromSnapshot rebuilds. It
// shares its parts with state.
func ToSnapshot(state *configpb.State) *configpb.Snapshot {
	trimmed := shallowCopy(state)
	trimmed.Operations = nil
	return &configpb.Snapshot{State: trimmed}
}

// FromSnapshot rebuilds the state from a snapshot.
func FromSnapshot(snapshot *configpb.Snapshot) *configpb.State {
	state := shallowCopy(snapshot.GetState())
	state.Operations = indexOperations(state.Audit)
	return state
}

func shallowCopy(state *configpb.State) *configpb.State {
	return newEdit(state, state.GetOffset(), nil).state
}
