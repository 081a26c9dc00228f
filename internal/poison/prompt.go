package poison

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxPromptParts bounds the parts of one prompt that are tracked. The head of a request has no room for more.
const maxPromptParts = 1 << 14

// part identifies a prompt part: the number that its id is in hexadecimal or, for another id, its hash.
type part uint64

func partOf(id string) part {
	// Only one way to write a number is taken for it, so that different ids stay different.
	if n, err := strconv.ParseUint(id, 16, 64); err == nil && part(n).String() == id {
		return part(n)
	}
	return part(xxhash.Sum64String(id))
}

func (p part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Prompt holds the parts of a prompt that it may share with others, in order: all but the last, which belongs to the
// request alone.
type Prompt struct{ parts []part }

// NewPrompt returns the prompt with the given part ids.
func NewPrompt(ids []string) Prompt {
	if len(ids) < 2 {
		return Prompt{}
	}
	ids = ids[:min(len(ids)-1, maxPromptParts)]
	parts := make([]part, len(ids))
	for i, id := range ids {
		parts[i] = partOf(id)
	}
	return Prompt{parts}
}

// distinct returns the parts without repetitions, in order.
func (p Prompt) distinct() []part {
	seen := make(map[part]bool, len(p.parts))
	list := make([]part, 0, len(p.parts))
	for _, id := range p.parts {
		if !seen[id] {
			seen[id] = true
			list = append(list, id)
		}
	}
	return list
}

// containsAll reports whether a list contains all of some parts.
func containsAll(list, some []part) bool {
	if len(some) > len(list) {
		return false
	}
	if len(some) == 1 {
		return slices.Contains(list, some[0])
	}
	set := make(map[part]bool, len(list))
	for _, id := range list {
		set[id] = true
	}
	for _, id := range some {
		if !set[id] {
			return false
		}
	}
	return true
}

// intersection returns the parts of list that are in other, in the order of list.
func intersection(list, other []part) []part {
	set := make(map[part]bool, len(other))
	for _, id := range other {
		set[id] = true
	}
	var both []part
	for _, id := range list {
		if set[id] {
			both = append(both, id)
		}
	}
	return both
}
