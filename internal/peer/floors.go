package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// floor is the lowest tier rank that a pool still serves while shedding. It expires at until. A
// higher number is a lower rank, so the strictest of several floors has the lowest number.
type floor struct {
	rank  uint32
	until time.Time
}

// Floor returns the strictest unexpired floor of a pool, and false if no process sheds load from it.
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

// AnnounceFloor announces that this process sheds tiers below a rank of a pool for the given
// time. Neighbours are notified immediately when the floor is new or has changed.
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

// floorNotices returns the unexpired floors with their remaining validity.
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

// mergeFloors keeps the strictest unexpired floor of each pool and forwards new ones. The
// validity of a floor only shrinks on its way, so processes can't keep a floor alive by sending
// it to each other.
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
