// Package rendezvous implements weighted rendezvous hashing: processes that know the same members
// choose the same one for a key, without exchanging anything.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a member for a key; the member with the highest score is chosen. Each
// member is chosen for a fraction of the keys that is proportional to its weight.
func Score(key, member string, weight float64) float64 {
	unit := (float64(xxhash.Sum64String(key+"\x00"+member)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
