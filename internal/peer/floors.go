package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// floor is the rank from which on tiers are held out of a pool, until a time.
type floor struct {
	rank  uint32
	until time.Time
}

// Floor returns the lowest tier rank that a pool still takes, as the strictest
// process in force says, and false when no process sheds.
func (n *Node) Floor(pool string) (uint32, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank, found := uint32(0), false
	for _, f := range []floor{n.peerFloors[pool], n.localFloors[pool]} {
		if time.Now().Before(f.until) && (!found || f.rank < rank) {
			rank, found = f.rank, true
		}
	}
	return rank, found
}

// AnnounceFloor says that this process holds tiers ranked below rank out of a
// pool for some time. Neighbours learn it at once when it is new or stricter.
func (n *Node) AnnounceFloor(pool string, rank uint32, valid time.Duration) {
	n.mu.Lock()
	previous := n.localFloors[pool]
	changed := time.Now().After(previous.until) || previous.rank != rank
	n.localFloors[pool] = floor{rank: rank, until: time.Now().Add(valid)}
	n.mu.Unlock()
	if changed {
		n.wakeNeighbours("")
	}
}

// floorNotices returns the floors in force with the time that they still hold.
func (n *Node) floorNotices() []*lanepb.FloorNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var notices []*lanepb.FloorNotice
	for _, source := range []map[string]floor{n.localFloors, n.peerFloors} {
		for pool, f := range source {
			remaining := time.Until(f.until)
			if remaining <= 0 {
				delete(source, pool)
				continue
			}
			notices = append(notices, &lanepb.FloorNotice{Pool: pool, FloorRank: f.rank, ValidMs: uint32(remaining.Milliseconds())})
		}
	}
	slices.SortFunc(notices, func(a, b *lanepb.FloorNotice) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetFloorRank(), b.GetFloorRank()))
	})
	return notices[:min(len(notices), maxFloorNotices)]
}

// mergeFloors keeps the strictest floor of each pool that still holds, and hands
// on what is new. The time that a floor holds only shrinks on its way, so that
// floors don't keep each other alive.
func (n *Node) mergeFloors(notices []*lanepb.FloorNotice) {
	now := time.Now()
	changed := false
	n.mu.Lock()
	for _, notice := range notices {
		until := now.Add(time.Duration(notice.GetValidMs()) * time.Millisecond)
		current, ok := n.peerFloors[notice.GetPool()]
		if !ok || now.After(current.until) || notice.GetFloorRank() < current.rank {
			n.peerFloors[notice.GetPool()] = floor{rank: notice.GetFloorRank(), until: until}
			changed = true
			continue
		}
		if notice.GetFloorRank() == current.rank && until.After(current.until) {
			n.peerFloors[notice.GetPool()] = floor{rank: current.rank, until: until}
		}
	}
	n.mu.Unlock()
	if changed {
		n.wakeNeighbours("")
	}
}
