package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSubsetSidecars is the minimum number of sidecars of a pool in an entry's subset, if the
	// pool has that many.
	minSubsetSidecars = 12
	// entriesPerSidecar is the average number of entries that send to each sidecar.
	entriesPerSidecar = 4
)

// splitPools divides each pool into this entry's subset and the rest. An entry takes the sidecars
// with the highest hash of entry and sidecar (rendezvous hashing), so that a change of the
// instance list affects few connections.
func splitPools(entryID string, entries int, servers map[string]*server) (subsets, others map[string][]*server) {
	bySidecar := map[string]map[string][]*server{}
	for _, s := range servers {
		if bySidecar[s.pool] == nil {
			bySidecar[s.pool] = map[string][]*server{}
		}
		bySidecar[s.pool][s.target.Address] = append(bySidecar[s.pool][s.target.Address], s)
	}
	subsets, others = map[string][]*server{}, map[string][]*server{}
	for pool, sidecars := range bySidecar {
		for i, address := range rankAddresses(entryID, sidecars) {
			if i < subsetSize(len(sidecars), entries) {
				subsets[pool] = append(subsets[pool], sidecars[address]...)
			} else {
				others[pool] = append(others[pool], sidecars[address]...)
			}
		}
		sortServers(subsets[pool])
		sortServers(others[pool])
	}
	return subsets, others
}

// subsetSize returns the number of sidecars of a pool in one entry's subset.
func subsetSize(sidecars, entries int) int {
	share := (sidecars*entriesPerSidecar + entries - 1) / entries
	return min(sidecars, max(minSubsetSidecars, share))
}

// rankAddresses sorts the sidecar addresses by descending hash of entry and address.
func rankAddresses(entryID string, sidecars map[string][]*server) []string {
	type ranked struct {
		address string
		weight  uint64
	}
	list := make([]ranked, 0, len(sidecars))
	for address := range sidecars {
		list = append(list, ranked{address: address, weight: xxhash.Sum64String(entryID + "\x00" + address)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.address < b.address {
			return -1
		}
		return 1
	})
	addresses := make([]string, len(list))
	for i, candidate := range list {
		addresses[i] = candidate.address
	}
	return addresses
}

func sortServers(servers []*server) {
	slices.SortFunc(servers, func(a, b *server) int {
		if a.target.BackendServer < b.target.BackendServer {
			return -1
		}
		return 1
	})
}
