package config

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Apply folds one record into a state. It returns the next state, and what the
// record did or why it did nothing; the entry is nil for a record that changes
// nothing but the offset (a snapshot, a lease renewal, an unknown kind).
//
// state is never changed: the result shares every part that the record leaves
// alone. A record at an offset that is already folded returns state itself. The
// result keeps references to record, which must not be changed afterwards.
func Apply(state *configpb.State, offset uint64, record *configpb.Record) (*configpb.State, *configpb.AuditEntry) {
	if offset <= state.GetOffset() {
		return state, nil
	}
	e := newEdit(state, offset, record)
	switch body := record.GetBody().(type) {
	case *configpb.Record_Command:
		return e.state, e.applyCommand(body.Command)
	case *configpb.Record_Lease:
		return e.state, e.applyLease(body.Lease)
	case *configpb.Record_Progress:
		return e.state, e.applyProgress(body.Progress)
	case *configpb.Record_Containment:
		return e.state, e.applyContainment(body.Containment)
	}
	return e.state, nil
}
