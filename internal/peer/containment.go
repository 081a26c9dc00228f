package peer

import (
	"cmp"
	"slices"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// containmentKey identifies a contained version.
type containmentKey struct{ pool, version string }

// Contain stops this process from sending requests to a version and notifies the neighbours
// immediately. It reports whether the containment is new. A notice without a revision gets the
// revision of the version in the current configuration.
func (n *Node) Contain(notice *lanepb.ContainmentNotice) bool {
	if notice.GetVersionRevision() == 0 {
		notice.VersionRevision = revisionOf(n.options.Config.Current(), notice.GetPool(), notice.GetVersion())
	}
	return n.mergeContainments([]*lanepb.ContainmentNotice{notice}, "")
}

// Contained reports whether requests to a version are blocked. Containment covers every route
// of the version's pool, including when the failure was observed on a single route.
func (n *Node) Contained(pool, version, _ string) bool {
	state := n.options.Config.Current()
	configured := state.GetVersions()[versionKey(pool, version)]
	if configured.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.containments) == 0 {
		return false
	}
	notice, ok := n.containments[containmentKey{pool, version}]
	return ok && notice.GetVersionRevision() >= n.registrationOffset(state, pool, version)
}

// Containments returns the notices in force at this process, sorted by pool and version.
func (n *Node) Containments() []*lanepb.ContainmentNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropSupersededContainments()
	notices := make([]*lanepb.ContainmentNotice, 0, len(n.containments))
	for _, notice := range n.containments {
		notices = append(notices, notice)
	}
	slices.SortFunc(notices, func(a, b *lanepb.ContainmentNotice) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return notices
}

// containmentNotices returns the notices for one message, at most maxContainmentNotices.
func (n *Node) containmentNotices() []*lanepb.ContainmentNotice {
	notices := n.Containments()
	return notices[:min(len(notices), maxContainmentNotices)]
}

// mergeContainments stores new notices, forwards them to all neighbours except the sender, and
// reports whether any notice was new.
func (n *Node) mergeContainments(notices []*lanepb.ContainmentNotice, from string) bool {
	state := n.options.Config.Current()
	added := false
	n.mu.Lock()
	for _, notice := range notices {
		added = n.storeContainment(state, notice) || added
	}
	n.mu.Unlock()
	if added {
		n.wakeNeighbours(from)
	}
	return added
}

// storeContainment stores a notice unless the version has been registered again since, or a
// notice with the same or a later revision is already stored. The caller holds n.mu.
func (n *Node) storeContainment(state *configpb.State, notice *lanepb.ContainmentNotice) bool {
	key := containmentKey{notice.GetPool(), notice.GetVersion()}
	if notice.GetVersionRevision() < n.registrationOffset(state, key.pool, key.version) {
		return false
	}
	if existing, ok := n.containments[key]; ok && existing.GetVersionRevision() >= notice.GetVersionRevision() {
		return false
	}
	n.containments[key] = notice
	n.options.Logger.Warn().Str("pool", key.pool).Str("version", key.version).Str("route", notice.GetRoute()).
		Str("reason", notice.GetReason()).Str("reporter", notice.GetReporter()).Msg("version contained")
	return true
}

// dropSupersededContainments removes notices about versions that an operator has registered
// again since. The caller holds n.mu.
func (n *Node) dropSupersededContainments() {
	state := n.options.Config.Current()
	for key, notice := range n.containments {
		if notice.GetVersionRevision() < n.registrationOffset(state, key.pool, key.version) {
			delete(n.containments, key)
		}
	}
}

// movingVersions returns the versions of unfinished moves. Evidence is exchanged for these only.
func movingVersions(state *configpb.State) map[string]bool {
	moving := map[string]bool{}
	for _, move := range state.GetMoves() {
		if finished(move.GetState()) {
			continue
		}
		moving[versionKey(move.GetPool(), move.GetFromVersion())] = true
		moving[versionKey(move.GetPool(), move.GetToVersion())] = true
	}
	return moving
}

func finished(state configpb.MoveState) bool {
	return state == configpb.MoveState_MOVE_STATE_DONE || state == configpb.MoveState_MOVE_STATE_REVERSED
}

func versionKey(pool, version string) string { return pool + "/" + version }

func revisionOf(state *configpb.State, pool, version string) uint64 {
	return state.GetRevisions()[versionEntity(pool, version)]
}

func versionEntity(pool, version string) string { return "version/" + versionKey(pool, version) }
