package claim

import (
	"bytes"
	"time"
	"unique"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// evictionSlack is how much longer than the window a claim is kept, so that all readers decide
// in the same way about a claim whose append was slow or whose author's clock is behind.
const evictionSlack = 5 * time.Minute

// table is the replayed state of the claim stream: the claim in force for each key.
type table struct {
	windowMS int64
	inForce  map[string]*configpb.Claim
	// applied holds the claims that took effect, in the order of the stream.
	applied []*configpb.Claim
	// latestMS is the highest claimed_unix_ms in the stream.
	latestMS int64
}

func newTable(window time.Duration) *table {
	return &table{windowMS: window.Milliseconds(), inForce: map[string]*configpb.Claim{}}
}

// apply applies one claim of the stream and returns the claim in force for its key.
func (t *table) apply(claim *configpb.Claim) *configpb.Claim {
	key := string(claim.GetKeyHash())
	t.latestMS = max(t.latestMS, claim.GetClaimedUnixMs())
	holder, inForce := t.lookup(claim.GetKeyHash(), claim.GetClaimedUnixMs())
	if inForce && !replaces(claim, holder) {
		return holder
	}
	intern(claim)
	t.inForce[key] = claim
	t.applied = append(t.applied, claim)
	t.evict()
	return claim
}

// lookup returns the claim in force for a key at a time, in milliseconds since the Unix epoch.
func (t *table) lookup(keyHash []byte, unixMS int64) (*configpb.Claim, bool) {
	holder := t.inForce[string(keyHash)]
	if holder == nil || holder.GetClaimedUnixMs()+t.windowMS <= unixMS {
		return nil, false
	}
	return holder, true
}

// replaces reports whether a claim replaces the one in force.
func replaces(claim, holder *configpb.Claim) bool {
	return claim.GetPrevious() != "" &&
		claim.GetPrevious() == holder.GetDispatchId() &&
		sameRequest(claim, holder)
}

func sameRequest(a, b *configpb.Claim) bool {
	return bytes.Equal(a.GetFingerprint(), b.GetFingerprint())
}

// evict drops the claims on which no later claim can depend.
func (t *table) evict() {
	limit := t.latestMS - t.windowMS - evictionSlack.Milliseconds()
	for len(t.applied) > 0 && t.applied[0].GetClaimedUnixMs() < limit {
		oldest := t.applied[0]
		t.applied[0] = nil
		t.applied = t.applied[1:]
		key := string(oldest.GetKeyHash())
		if t.inForce[key] == oldest {
			delete(t.inForce, key)
		}
	}
}

// intern shares the storage of strings that many claims have in common.
func intern(claim *configpb.Claim) {
	claim.SidecarAddress = unique.Make(claim.GetSidecarAddress()).Value()
	claim.BootId = unique.Make(claim.GetBootId()).Value()
	claim.BackendServer = unique.Make(claim.GetBackendServer()).Value()
}
