package admission

import (
	"container/list"

	"github.com/lagoonlane/lagoonlane/internal/prefix"
)

const (
	// maxPrefixes bounds the prompt prefixes that are remembered.
	maxPrefixes = 4096
	// maxTails bounds the prompts of which the whole length is remembered.
	maxTails = 64
)

// prefixCache estimates which prompt prefixes the backend server holds: those
// dispatched last. It doesn't listen to cache events, which are late and have gaps.
type prefixCache struct {
	byKey map[uint64]*heldPrefix
	// order holds all prefixes, the most recent first.
	order *list.List
	// leaves holds the longest prefixes that several prompts shared, and tails the
	// whole prompts: these are what later prompts are likely to begin with.
	leaves *list.List
	tails  *list.List
}

// heldPrefix is one remembered prefix.
type heldPrefix struct {
	key uint64
	// parent is the next shorter prefix; nil if there is none.
	parent *heldPrefix
	// shared is true once two prompts began with the prefix.
	shared bool
	// sharedChildren counts the next longer prefixes that are shared.
	sharedChildren int
	// place, leaf and tail are the elements in the lists; nil: not in it.
	place, leaf, tail *list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{byKey: map[uint64]*heldPrefix{}, order: list.New(), leaves: list.New(), tails: list.New()}
}

// use marks the prefixes of a dispatched prompt as the most recent ones.
// Prefixes are those of prefix.Hashes, the shortest first.
func (c *prefixCache) use(prefixes []uint64) {
	var longest *heldPrefix
	for _, key := range prefixes {
		longest = c.touch(key, longest)
	}
	if longest == nil {
		return
	}
	moveToFront(c.tails, &longest.tail, longest)
	if c.tails.Len() > maxTails {
		c.dropTail(c.tails.Back().Value.(*heldPrefix))
	}
	// A prefix outlives the longer ones that build on it.
	for p := longest; p != nil; p = p.parent {
		moveToFront(c.order, &p.place, p)
	}
	for c.order.Len() > maxPrefixes {
		c.forget(c.order.Back().Value.(*heldPrefix))
	}
}

// moveToFront puts a prefix at the front of a list, in which it may be already.
func moveToFront(l *list.List, element **list.Element, p *heldPrefix) {
	if *element == nil {
		*element = l.PushFront(p)
		return
	}
	l.MoveToFront(*element)
}

func (c *prefixCache) touch(key uint64, parent *heldPrefix) *heldPrefix {
	held := c.byKey[key]
	if held == nil {
		held = &heldPrefix{key: key, parent: parent}
		c.byKey[key] = held
		return held
	}
	if !held.shared {
		held.shared = true
		c.countChild(held.parent, 1)
	}
	c.placeLeaf(held)
	return held
}

// countChild counts a shared prefix that is the next longer one of p.
func (c *prefixCache) countChild(p *heldPrefix, by int) {
	if p == nil {
		return
	}
	p.sharedChildren += by
	c.placeLeaf(p)
}

// placeLeaf puts a prefix at the front of the leaves, or takes it out if it is none.
func (c *prefixCache) placeLeaf(p *heldPrefix) {
	if p.shared && p.sharedChildren == 0 {
		moveToFront(c.leaves, &p.leaf, p)
		return
	}
	if p.leaf != nil {
		c.leaves.Remove(p.leaf)
		p.leaf = nil
	}
}

func (c *prefixCache) dropTail(p *heldPrefix) {
	if p.tail != nil {
		c.tails.Remove(p.tail)
		p.tail = nil
	}
}

func (c *prefixCache) forget(p *heldPrefix) {
	c.order.Remove(p.place)
	delete(c.byKey, p.key)
	c.dropTail(p)
	if p.leaf != nil {
		c.leaves.Remove(p.leaf)
	}
	if p.shared {
		c.countChild(p.parent, -1)
	}
}

// cachedTokens returns how many leading tokens of a prompt are believed cached.
// The hashes are those of prefix.Hashes.
func (c *prefixCache) cachedTokens(hashes []uint64) uint32 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if c.byKey[hashes[i]] != nil {
			return prefix.LengthInTokens(i)
		}
	}
	return 0
}

// recent returns up to n prefixes that later prompts are likely to begin with:
// the longest shared ones, but half of n at most if there are enough others, then
// the whole of the last prompts, then others. Each kind is in the order of its last use.
func (c *prefixCache) recent(n int) []uint64 {
	keys := make([]uint64, 0, n)
	leaves := max(n/2, n-c.tails.Len())
	for e := c.leaves.Front(); e != nil && len(keys) < leaves; e = e.Next() {
		keys = append(keys, e.Value.(*heldPrefix).key)
	}
	for e := c.tails.Front(); e != nil && len(keys) < n; e = e.Next() {
		if held := e.Value.(*heldPrefix); held.leaf == nil {
			keys = append(keys, held.key)
		}
	}
	for e := c.order.Front(); e != nil && len(keys) < n; e = e.Next() {
		if held := e.Value.(*heldPrefix); held.leaf == nil && held.tail == nil {
			keys = append(keys, held.key)
		}
	}
	return keys
}
