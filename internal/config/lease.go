package config

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// applyLease applies a claim, a renewal or a release. Renewals leave no audit entry.
func (e *edit) applyLease(record *configpb.LeaseRecord) *configpb.AuditEntry {
	entry := &configpb.AuditEntry{
		Operator:         record.GetHolder(),
		Entity:           "lease/" + record.GetName(),
		Action:           "lease",
		ExpectedRevision: record.GetPreviousFencing(),
	}
	current := e.state.GetLeases()[record.GetName()]
	switch record.GetAction() {
	case configpb.LeaseRecord_ACTION_CLAIM:
		return e.claimLease(entry, record, current)
	case configpb.LeaseRecord_ACTION_RENEW:
		e.renewLease(record, current)
	case configpb.LeaseRecord_ACTION_RELEASE:
		if e.isHolder(record, current) {
			delete(e.leases(), record.GetName())
			entry.Detail = "released"
			e.appendAudit(e.completeEntry(entry, nil))
			return entry
		}
	}
	return nil
}

func (e *edit) claimLease(entry *configpb.AuditEntry, record *configpb.LeaseRecord, current *configpb.Lease) *configpb.AuditEntry {
	if record.GetName() == "" || record.GetHolder() == "" || record.GetTtlMs() == 0 {
		return e.completeEntry(entry, invalid(entry.Entity, "a claim has a name, a holder and a time to live"))
	}
	if current.GetFencing() != record.GetPreviousFencing() {
		conflict := &ConflictError{Entity: entry.Entity, WinnerOffset: current.GetFencing(), Winner: current.GetHolder()}
		return e.completeEntry(entry, conflict)
	}
	e.leases()[record.GetName()] = &configpb.Lease{
		Name:          record.GetName(),
		Holder:        record.GetHolder(),
		Fencing:       e.offset,
		TtlMs:         record.GetTtlMs(),
		RenewedOffset: e.offset,
	}
	entry.Detail = "claimed"
	e.appendAudit(e.completeEntry(entry, nil))
	return entry
}

func (e *edit) renewLease(record *configpb.LeaseRecord, current *configpb.Lease) {
	if !e.isHolder(record, current) {
		return
	}
	e.leases()[record.GetName()] = &configpb.Lease{
		Name:          current.GetName(),
		Holder:        current.GetHolder(),
		Fencing:       current.GetFencing(),
		TtlMs:         current.GetTtlMs(),
		RenewedOffset: e.offset,
	}
}

func (e *edit) isHolder(record *configpb.LeaseRecord, current *configpb.Lease) bool {
	return current.GetFencing() != 0 &&
		current.GetFencing() == record.GetPreviousFencing() &&
		current.GetHolder() == record.GetHolder()
}
