package peer

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// chordBase is the ratio of one chord's length to the next shorter one.
	chordBase = 4
	// treeArity is the number of children of a process in the tree of sums.
	treeArity = 2
)

// neighbour is a process that this one calls.
type neighbour struct {
	address string
	client  lanepb.Peer
	cancel  context.CancelFunc
	wakeUp  chan struct{}
	// sums says whether the neighbour is this process's parent in the tree of sums.
	isParent atomic.Bool
}

// wake makes the next exchange happen at once.
func (nb *neighbour) wake() {
	select {
	case nb.wakeUp <- struct{}{}:
	default:
	}
}

// neighbours returns the addresses to call, each with whether it is the parent
// in the tree of sums.
func (n *Node) neighbours() map[string]bool {
	isParent := map[string]bool{}
	for _, address := range chords(n.options.Peers(), n.options.Address) {
		isParent[address] = false
	}
	if parent, ok := treeParent(n.aggregationMembers(), n.options.Address); ok {
		isParent[parent] = true
	}
	return isParent
}

func (n *Node) aggregationMembers() []string {
	if n.options.Sharers != nil {
		return n.options.Sharers()
	}
	return append(n.options.Peers(), n.options.Address)
}

// chords returns the processes at distances 1, 4, 16 and so on along the ring
// of all addresses in order. Exchanges go both ways, so that few hops join any two.
func chords(peers []string, self string) []string {
	ring := sortedRing(peers, self)
	index, _ := slices.BinarySearch(ring, self)
	var chosen []string
	for distance := 1; distance < len(ring); distance *= chordBase {
		chosen = append(chosen, ring[(index+distance)%len(ring)])
	}
	return chosen
}

// treeParent returns the parent of a process in the tree over all sharers in
// the order of their addresses. A parent's address comes before its child's in
// every process's list, so that lists that differ never make a circle.
func treeParent(members []string, self string) (string, bool) {
	if !slices.Contains(members, self) {
		return "", false
	}
	sorted := sortedRing(members, self)
	index, _ := slices.BinarySearch(sorted, self)
	if index == 0 {
		return "", false
	}
	return sorted[(index-1)/treeArity], true
}

func sortedRing(addresses []string, self string) []string {
	ring := append(slices.Clone(addresses), self)
	slices.Sort(ring)
	return slices.Compact(ring)
}
