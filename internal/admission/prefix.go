package admission

import (
	"container/list"

	"github.com/lagoonlane/lagoonlane/internal/prefix"
)

const (
	// maxPrefixes bounds the prompt prefixes that are remembered.
	maxPrefixes = 4096
	// maxWholePrompts bounds the prompts of which the whole length is remembered.
	maxWholePrompts = 64
)

// prefixCache estimates which prompt prefixes the backend server holds: those
// dispatched last. It doesn't listen to cache events, which are late and have gaps.
type prefixCache struct {
	byKey map[uint64]*cachedPrefix
	// recency holds all prefixes, the most recent first.
	recency *list.List
	// leaves holds the longest prefixes that several prompts shared, and tails the
	// whole prompts: these are what later prompts are likely to begin with.
	leaves       *list.List
	wholePrompts *list.List
}

// cachedPrefix is one remembered prefix.
type cachedPrefix struct {
	key uint64
	// parent is the next shorter prefix; nil if there is none.
	parent *cachedPrefix
	// shared is true once two prompts began with the prefix.
	shared bool
	// sharedChildren counts the next longer prefixes that are shared.
	sharedChildren int
	// orderElement, leaf and tail are the elements in the lists; nil: not in it.
	orderElement, leafElement, promptElement *list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{byKey: map[uint64]*cachedPrefix{}, recency: list.New(), leaves: list.New(), wholePrompts: list.New()}
}

// use marks the prefixes of a dispatched prompt as the most recent ones.
// Prefixes are those of prefix.Hashes, the shortest first.
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
	// A prefix outlives the longer ones that build on it.
	for p := longest; p != nil; p = p.parent {
		moveToFront(c.recency, &p.orderElement, p)
	}
	for c.recency.Len() > maxPrefixes {
		c.evict(c.recency.Back().Value.(*cachedPrefix))
	}
}

// moveToFront puts a prefix at the front of a list, in which it may be already.
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

// addSharedChildren counts a shared prefix that is the next longer one of p.
func (c *prefixCache) addSharedChildren(p *cachedPrefix, delta int) {
	if p == nil {
		return
	}
	p.sharedChildren += delta
	c.updateLeaf(p)
}

// updateLeaf puts a prefix at the front of the leaves, or takes it out if it is none.
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
	c.recency.Remove(p.orderElement)
	delete(c.byKey, p.key)
	c.removeWholePrompt(p)
	if p.leafElement != nil {
		c.leaves.Remove(p.leafElement)
	}
	if p.shared {
		c.addSharedChildren(p.parent, -1)
	}
}

// cachedTokens returns how many leading tokens of a prompt are believed cached.
// The hashes are those of prefix.Hashes.
func (c *prefixCache) cachedTokens(hashes []uint64) uint32 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if c.byKey[hashes[i]] != nil {
			return prefix.Tokens(i)
		}
	}
	return 0
}

// recent returns up to n prefixes that later prompts are likely to begin with:
// the longest shared ones, but half of n at most if there are enough others, then
// the whole of the last prompts, then others. Each kind is in the order of its last use.
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
