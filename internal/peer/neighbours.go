package peer

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// chordBase is the ratio of the distances of consecutive chords.
	chordBase = 4
	// treeArity is the number of children of a node in the aggregation tree.
	treeArity = 2
)

// neighbour is a process to which this process makes exchange calls.
type neighbour struct {
	address string
	client  lanepb.Peer
	cancel  context.CancelFunc
	wakeUp  chan struct{}
	// isParent is set if the neighbour is this process's parent in the aggregation tree.
	isParent atomic.Bool
}

// wake triggers the next exchange without waiting for the period to elapse.
func (nb *neighbour) wake() {
	select {
	case nb.wakeUp <- struct{}{}:
	default:
	}
}

// neighbours returns the addresses to call. The value is true for the parent in the
// aggregation tree.
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

// aggregationMembers returns the addresses of the processes in the aggregation tree.
func (n *Node) aggregationMembers() []string {
	if n.options.AggregationMembers != nil {
		return n.options.AggregationMembers()
	}
	return append(n.options.Peers(), n.options.Address)
}

// chords returns the processes at distances 1, 4, 16 and so on along the ring of all addresses
// in sorted order. Exchanges are bidirectional, so any two processes are connected by few hops.
func chords(peers []string, self string) []string {
	ring := sortedRing(peers, self)
	index, _ := slices.BinarySearch(ring, self)
	var chosen []string
	for distance := 1; distance < len(ring); distance *= chordBase {
		chosen = append(chosen, ring[(index+distance)%len(ring)])
	}
	return chosen
}

// treeParent returns the parent of a process in the tree over all members in the order of their
// addresses. The address of a parent always sorts before those of its children, so processes
// with different member lists can't form a cycle.
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
