package admission

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// prompt returns the block hashes of a prompt with a shared document and blocks of its own.
func prompt(document, own uint64) []uint64 {
	const documentBlocks, ownBlocks = 10, 20
	var hashes []uint64
	for i := uint64(1); i <= documentBlocks; i++ {
		hashes = append(hashes, document<<32|i)
	}
	for i := uint64(1); i <= ownBlocks; i++ {
		hashes = append(hashes, own<<48|i)
	}
	return hashes
}

// TestSharedPrefixesAreReported dispatches more unshared blocks than a report can hold. They must
// not displace the prefixes of documents that several prompts share.
func TestSharedPrefixesAreReported(t *testing.T) {
	c := newPrefixCache()
	for own := uint64(1); own <= 40; own++ {
		c.use(prompt(1+own%5, own))
	}
	reported := c.recent(maxReportedPrefixes)
	for document := uint64(1); document <= 5; document++ {
		qt.Assert(t, slices.Contains(reported, document<<32|10), qt.IsTrue, qt.Commentf("document %d", document))
	}
	// Whole prompts are reported too, because the next request of a conversation extends them.
	qt.Assert(t, slices.Contains(reported, 40<<48|20), qt.IsTrue)
}

func TestEvictedPrefixIsNoLongerShared(t *testing.T) {
	c := newPrefixCache()
	c.use([]uint64{1, 2})
	c.use([]uint64{1, 2})
	qt.Assert(t, c.recent(2), qt.DeepEquals, []uint64{2, 1})
	c.evict(c.byKey[2])
	qt.Assert(t, c.recent(2), qt.DeepEquals, []uint64{1})
}

// TestPrefixCacheStaysConsistent uses random prompts until many prefixes have been evicted.
func TestPrefixCacheStaysConsistent(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	c := newPrefixCache()
	for own := uint64(1); own <= 2000; own++ {
		c.use(prompt(1+random.Uint64N(50), 100+own))
		qt.Assert(t, c.recency.Len() <= maxPrefixes, qt.IsTrue)
		qt.Assert(t, c.wholePrompts.Len() <= maxWholePrompts, qt.IsTrue)
	}
	qt.Assert(t, len(c.byKey), qt.Equals, c.recency.Len())
	for e := c.leaves.Front(); e != nil; e = e.Next() {
		held := e.Value.(*cachedPrefix)
		qt.Assert(t, c.byKey[held.key], qt.Equals, held)
		qt.Assert(t, held.shared && held.sharedChildren == 0, qt.IsTrue)
	}
	reported := c.recent(maxReportedPrefixes)
	slices.Sort(reported)
	qt.Assert(t, slices.Compact(reported), qt.HasLen, maxReportedPrefixes)
}
