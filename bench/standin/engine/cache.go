package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// Units of a prompt.
const (
	// TokenBytes is the number of prompt bytes in one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 64
)

// PromptTokens returns the number of tokens in a prompt; it is at least 1.
func PromptTokens(prompt string) int { return max(1, (len(prompt)+TokenBytes-1)/TokenBytes) }

// blockHashes returns one hash for each complete block of a prompt. Each hash
// covers the prompt from its start to the end of the block.
func blockHashes(version, prompt string) []uint64 {
	const size = BlockTokens * TokenBytes
	hash := fnv.New64a()
	// Versions don't share cached blocks. Hash writes never fail.
	_, _ = hash.Write([]byte(version))
	var blocks []uint64
	for start := 0; start+size <= len(prompt); start += size {
		_, _ = hash.Write([]byte(prompt[start : start+size]))
		blocks = append(blocks, hash.Sum64())
	}
	return blocks
}

// PrefixIndex counts, for each block, the engines that have it cached. It serves
// measurements only; routers must not use it, because real engines don't publish
// the contents of their caches. A nil index is empty and ignores changes.
type PrefixIndex struct {
	mu           sync.Mutex
	engineCounts map[uint64]int
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{engineCounts: map[uint64]int{}} }

func (x *PrefixIndex) add(block uint64, n int) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.engineCounts[block] += n
	if x.engineCounts[block] == 0 {
		delete(x.engineCounts, block)
	}
}

// longestPrefix returns the number of leading blocks of which each is cached by at
// least one engine.
func (x *PrefixIndex) longestPrefix(blocks []uint64) int {
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, block := range blocks {
		if x.engineCounts[block] == 0 {
			return i
		}
	}
	return len(blocks)
}

// prefixCache is an LRU cache of prompt blocks. It must be locked by its user.
type prefixCache struct {
	limit  int
	lru    *list.List
	blocks map[uint64]*list.Element
	index  *PrefixIndex
	// everCached holds all blocks that were ever cached. It stays empty without an index.
	everCached map[uint64]bool
}

func newPrefixCache(limit int, index *PrefixIndex) *prefixCache {
	return &prefixCache{
		limit: limit, lru: list.New(), blocks: map[uint64]*list.Element{}, index: index, everCached: map[uint64]bool{},
	}
}

// countNeverCached returns the number of blocks that this cache has never held.
func (p *prefixCache) countNeverCached(blocks []uint64) int {
	count := 0
	for _, block := range blocks {
		if !p.everCached[block] {
			count++
		}
	}
	return count
}

// lookup returns the number of leading blocks that are cached and marks them as
// recently used.
func (p *prefixCache) lookup(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := p.blocks[block]
		if !ok {
			return i
		}
		p.lru.MoveToFront(element)
	}
	return len(blocks)
}

// insert caches blocks and evicts the least recently used ones over the limit. It
// inserts in reverse order, so that a block is evicted before its prefix, without
// which it can't be used.
func (p *prefixCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if element, ok := p.blocks[block]; ok {
			p.lru.MoveToFront(element)
			continue
		}
		p.blocks[block] = p.lru.PushFront(block)
		p.index.add(block, 1)
		if p.index != nil {
			p.everCached[block] = true
		}
	}
	for p.lru.Len() > p.limit {
		oldest := p.lru.Back()
		p.evict(oldest)
	}
}

func (p *prefixCache) evict(element *list.Element) {
	p.lru.Remove(element)
	block := element.Value.(uint64)
	delete(p.blocks, block)
	p.index.add(block, -1)
}

// clear removes all blocks, as when the engine's process ends.
func (p *prefixCache) clear() {
	for p.lru.Len() > 0 {
		p.evict(p.lru.Back())
	}
}
