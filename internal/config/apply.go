package config

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Apply applies one record to a state. It returns the next state and an audit entry with the
// decision on the record. The entry is nil for a record that changes only the offset, such as
// a snapshot, a lease renewal or an unknown kind.
//
// Apply never modifies state: the result shares all unchanged parts with it. A record at an
// offset that was already applied returns state itself. The result keeps references to record,
// which must not be modified afterwards.
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
