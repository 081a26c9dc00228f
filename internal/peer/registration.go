package peer

import "github.com/lagoonlane/lagoonlane/internal/rpc/configpb"

// registrationCache caches the offsets of the last registrations of versions for one state.
type registrationCache struct {
	state   *configpb.State
	offsets map[containmentKey]uint64
}

// registrationOffset returns the offset at which an operator last registered a version, or 0 if
// the audit trail has no such entry. A change of the version's state changes its revision but
// isn't a registration. The caller holds n.mu.
func (n *Node) registrationOffset(state *configpb.State, pool, version string) uint64 {
	if n.registrations.state != state {
		n.registrations = registrationCache{state: state, offsets: map[containmentKey]uint64{}}
	}
	key := containmentKey{pool, version}
	offset, ok := n.registrations.offsets[key]
	if !ok {
		offset = lastPutOffset(state, versionEntity(pool, version))
		n.registrations.offsets[key] = offset
	}
	return offset
}

// lastPutOffset returns the offset of the last accepted "put" of an entity, or 0.
func lastPutOffset(state *configpb.State, entity string) uint64 {
	audit := state.GetAudit()
	for i := len(audit) - 1; i >= 0; i-- {
		entry := audit[i]
		isAccepted := entry.GetResult() == configpb.AuditResult_AUDIT_RESULT_ACCEPTED
		if isAccepted && entry.GetEntity() == entity && entry.GetAction() == "put" {
			return entry.GetOffset()
		}
	}
	return 0
}
