package admission

import (
	"container/list"

	"github.com/lagoonlane/lagoonlane/internal/prefix"
)

const (
	// maxPrefixes bounds the number of prompt prefixes in the cache estimate.
	maxPrefixes = 4096
	// maxWholePrompts bounds the number of prompts that are kept at their full length.
	maxWholePrompts = 64
)

// prefixCache estimates which prompt prefixes the backend server holds in its cache: the most
// recently dispatched ones. Cache events of the server are not used, because they arrive late
// and with gaps.
type prefixCache struct {
	byKey map[uint64]*cachedPrefix
	// recency holds all prefixes, the most recently used first.
	recency *list.List
	// leaves holds the longest prefixes that several prompts shared, and wholePrompts the full
	// prompts. Later prompts are most likely to begin with one of these.
	leaves       *list.List
	wholePrompts *list.List
}

// cachedPrefix is one prefix in the cache estimate.
type cachedPrefix struct {
	key uint64
	// parent is the next shorter prefix, or nil.
	parent *cachedPrefix
	// shared reports whether at least two prompts began with the prefix.
	shared bool
	// sharedChildren is the number of shared prefixes that are one block longer.
	sharedChildren int
	// recencyElement, leafElement and promptElement are the prefix's elements in recency, leaves
	// and wholePrompts; nil if it is not in the list.
	recencyElement, leafElement, promptElement *list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{byKey: map[uint64]*cachedPrefix{}, recency: list.New(), leaves: list.New(), wholePrompts: list.New()}
}

// use marks the prefixes of a dispatched prompt as most recently used. The prefixes are those
// of prefix.Hashes, the shortest first.
func (c *prefixCache) use(prefixes []uint64) {
	var longest *cachedPrefix
	for _, key := range prefixes {
		longest = c.markUsed(key, longest)
	}
	if longest == nil {
		return
	}
	moveToFront(c.wholePrompts, &longest.promptElement, longest)
	if c.wholePrompts.Len() > maxWholePrompts {
		c.removeWholePrompt(c.wholePrompts.Back().Value.(*cachedPrefix))
	}
	// Shorter prefixes are moved last, so that a prefix is evicted after its extensions.
	for p := longest; p != nil; p = p.parent {
		moveToFront(c.recency, &p.recencyElement, p)
	}
	for c.recency.Len() > maxPrefixes {
		c.evict(c.recency.Back().Value.(*cachedPrefix))
	}
}

// moveToFront moves a prefix to the front of a list, inserting it if necessary.
func moveToFront(l *list.List, element **list.Element, p *cachedPrefix) {
	if *element == nil {
		*element = l.PushFront(p)
		return
	}
	l.MoveToFront(*element)
}

func (c *prefixCache) markUsed(key uint64, parent *cachedPrefix) *cachedPrefix {
	cached := c.byKey[key]
	if cached == nil {
		cached = &cachedPrefix{key: key, parent: parent}
		c.byKey[key] = cached
		return cached
	}
	if !cached.shared {
		cached.shared = true
		c.addSharedChildren(cached.parent, 1)
	}
	c.updateLeaf(cached)
	return cached
}

// addSharedChildren adds delta to the number of shared prefixes that extend p by one block.
func (c *prefixCache) addSharedChildren(p *cachedPrefix, delta int) {
	if p == nil {
		return
	}
	p.sharedChildren += delta
	c.updateLeaf(p)
}

// updateLeaf moves a shared prefix without shared children to the front of the leaves, and
// removes any other prefix from them.
func (c *prefixCache) updateLeaf(p *cachedPrefix) {
	if p.shared && p.sharedChildren == 0 {
		moveToFront(c.leaves, &p.leafElement, p)
		return
	}
	if p.leafElement != nil {
		c.leaves.Remove(p.leafElement)
		p.leafElement = nil
	}
}

func (c *prefixCache) removeWholePrompt(p *cachedPrefix) {
	if p.promptElement != nil {
		c.wholePrompts.Remove(p.promptElement)
		p.promptElement = nil
	}
}

func (c *prefixCache) evict(p *cachedPrefix) {
	c.recency.Remove(p.recencyElement)
	delete(c.byKey, p.key)
	c.removeWholePrompt(p)
	if p.leafElement != nil {
		c.leaves.Remove(p.leafElement)
	}
	if p.shared {
		c.addSharedChildren(p.parent, -1)
	}
}

// cachedTokens returns the estimated number of leading prompt tokens in the cache. The hashes
// are those of prefix.Hashes.
func (c *prefixCache) cachedTokens(hashes []uint64) uint32 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if c.byKey[hashes[i]] != nil {
			return prefix.LengthInTokens(i)
		}
	}
	return 0
}

// recent returns up to n prefixes that later prompts are likely to begin with: first the
// longest shared ones, limited to half of n if there are enough others, then the most recent
// whole prompts, then the remaining prefixes. Each group is ordered by its last use.
func (c *prefixCache) recent(n int) []uint64 {
	keys := make([]uint64, 0, n)
	maxLeaves := max(n/2, n-c.wholePrompts.Len())
	for e := c.leaves.Front(); e != nil && len(keys) < maxLeaves; e = e.Next() {
		keys = append(keys, e.Value.(*cachedPrefix).key)
	}
	for e := c.wholePrompts.Front(); e != nil && len(keys) < n; e = e.Next() {
		if p := e.Value.(*cachedPrefix); p.leafElement == nil {
			keys = append(keys, p.key)
		}
	}
	for e := c.recency.Front(); e != nil && len(keys) < n; e = e.Next() {
		if p := e.Value.(*cachedPrefix); p.leafElement == nil && p.promptElement == nil {
			keys = append(keys, p.key)
		}
	}
	return keys
}
