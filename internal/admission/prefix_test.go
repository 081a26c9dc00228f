package admission

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// prompt returns the hashes of a prompt of a shared document and own blocks.
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

// TestSharedPrefixesAreReported has more blocks of single prompts than a report
// holds: they may not push out the documents that prompts share.
func TestSharedPrefixesAreReported(t *testing.T) {
	c := newPrefixCache()
	for own := uint64(1); own <= 40; own++ {
		c.use(prompt(1+own%5, own))
	}
	reported := c.recent(maxReportedPrefixes)
	for document := uint64(1); document <= 5; document++ {
		qt.Assert(t, slices.Contains(reported, document<<32|10), qt.IsTrue, qt.Commentf("document %d", document))
	}
	// The whole prompts are reported too: a conversation goes on from them.
	qt.Assert(t, slices.Contains(reported, 40<<48|20), qt.IsTrue)
}

func TestForgottenPrefixIsNoLongerShared(t *testing.T) {
	c := newPrefixCache()
	c.use([]uint64{1, 2})
	c.use([]uint64{1, 2})
	qt.Assert(t, c.recent(2), qt.DeepEquals, []uint64{2, 1})
	c.evict(c.byKey[2])
	qt.Assert(t, c.recent(2), qt.DeepEquals, []uint64{1})
}

// TestPrefixCacheStaysConsistent uses random prompts until many are forgotten.
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
