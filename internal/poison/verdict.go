package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of crashes under a part, without an answer in between, from which on it is blocked.
	crashesToBlock = 3
	// separateCrashes is the shortest time between two crashes that count as separate.
	separateCrashes = 150 * time.Millisecond
	// minWeight is the weight of the crashes under a part from which on it is blocked. Of several engines that crash
	// together, each has an equal part of the weight 1.
	minWeight = 2.0
	// batchEngines is the number of engines that crash together under one part from which on they may count as a batch
	// of requests with it, and batchShare their smallest share of the engines that crash at that moment. Such a batch has
	// half of the crashes that are needed, and all of them if nothing else crashed.
	batchEngines = 3
	batchShare   = 0.5
	// commonCauseShare is the share of all engines that crash together from which on their cause may be another than a
	// prompt.
	commonCauseShare = 0.25
	// settleTime is the age of the first crash from which on a part is blocked. Until then, the answers
	// of other engines show that a part that many requests share is harmless.
	settleTime = 500 * time.Millisecond
	// answersBeforeBatch is the number of answers before a batch without any to its part, and answersAfterBatch that of
	// answers after a batch without any to a part that was answered before, that tell the part from one that waited by
	// chance at all engines that were lost together.
	answersBeforeBatch = 100
	answersAfterBatch  = 20
)

// update removes what is too old, answered or explained, and blocks the parts for which the evidence suffices. The
// caller holds t.mu.
func (t *Tracker) update(now time.Time) {
	t.expire(now)
	if t.evidence > promptEvaluation && now.Sub(t.evaluatedAt) < time.Duration(t.evidence)*evaluationPause {
		return
	}
	if !t.changed && t.evidence > promptEvaluation && now.Sub(t.evaluatedAt) < settleTime {
		return
	}
	t.changed, t.evaluatedAt = false, now
	t.prune()
	for {
		t.dropExplained(now)
		best, found := t.findCause(now)
		if !found || len(t.blocks) >= maxBlocked {
			break
		}
		parts := t.inseparable(best)
		if t.blockParts+len(parts) > maxBlockParts {
			break
		}
		b := t.addBlock(partsID(parts), parts, now, best.last)
		t.logBlock(b, now).Int("crashes", best.engines).Int("depth", best.depth).Msg(blockMessage)
		t.notifyChange(false)
	}
}

func (t *Tracker) expire(now time.Time) {
	for incarnation, c := range t.crashes {
		if now.Sub(c.at) > crashTTL {
			t.dropCrash(incarnation)
		}
	}
	for _, b := range t.blocks {
		if now.Sub(b.lastCrash) > blockTTL {
			t.dropBlock(b)
		}
	}
	for incarnation, at := range t.explained {
		if now.Sub(at) > crashTTL {
			delete(t.explained, incarnation)
		}
	}
	for id, answer := range t.cleared {
		// A peer or a record may hold the block until it expires.
		if answer.released && now.Sub(answer.at) <= blockTTL {
			continue
		}
		if now.Sub(answer.at) > crashTTL || len(t.crashes) == 0 && len(t.blocks) == 0 {
			delete(t.cleared, id)
		}
	}
}

// prune removes the parts that have been answered since a crash from its requests.
func (t *Tracker) prune() {
	for _, c := range t.crashes {
		isAnswered := func(id part) bool { return t.answered.last(id).After(c.at) }
		for _, s := range c.requests {
			if !slices.ContainsFunc(s.parts, isAnswered) {
				continue
			}
			var kept, answered []part
			for _, id := range s.parts {
				if isAnswered(id) {
					answered = append(answered, id)
					continue
				}
				kept = append(kept, id)
			}
			t.dropParts(answered)
			s.parts = kept
		}
	}
}

// dropExplained removes the crashes under blocked parts: they are no evidence against the other parts of
// the same requests, nor against the other requests of the same engine.
func (t *Tracker) dropExplained(now time.Time) {
	for incarnation, c := range t.crashes {
		if t.explain(c) || now.Sub(c.at) >= settleTime && t.narrow(c, now) {
			if len(t.explained) < maxExplained {
				t.explained[incarnation] = c.at
			}
			t.dropCrash(incarnation)
		}
	}
}

// explain reports whether a request of a crash is blocked, and notes the crash in the block.
func (t *Tracker) explain(c *crash) (explained bool) {
	for _, s := range c.requests {
		for _, b := range t.blocksOf(s.parts) {
			if !containsAll(s.parts, b.parts) {
				continue
			}
			explained = true
			if c.at.After(b.lastCrash) {
				b.lastCrash = c.at
			}
		}
	}
	return explained
}

// narrow reports whether a request of a crash contains some of the parts of a block, which it blocks then: the others
// aren't needed for a crash.
func (t *Tracker) narrow(c *crash, now time.Time) (narrowed bool) {
	for _, s := range c.requests {
		for _, b := range t.blocksOf(s.parts) {
			both := intersection(b.parts, s.parts)
			id := partsID(both)
			if t.blocks[id] != nil || len(t.blocks) >= maxBlocked || t.blockParts+len(both) > maxBlockParts {
				continue
			}
			narrowed = true
			t.logBlock(t.addBlock(id, both, now, c.at), now).Str("reason", "crash under a part of block "+formatID(b.id)).Msg(blockMessage)
			t.notifyChange(false)
		}
	}
	return narrowed
}

// blocksOf returns the blocks with any of some parts.
func (t *Tracker) blocksOf(parts []part) []*block {
	if len(t.blocks) == 0 {
		return nil
	}
	var list []*block
	for _, id := range parts {
		for _, b := range t.byPart[id] {
			if !slices.Contains(list, b) {
				list = append(list, b)
			}
		}
	}
	return list
}

// candidate is a part under which engines have crashed.
type candidate struct {
	part part
	// depth is the position of the part in its prompt.
	depth int
	// engines counts the crashes, crashes the separate ones: each engine of a batch counts as one.
	engines     int
	crashes     float64
	weight      float64
	first, last time.Time
}

// findCause returns the part that most probably causes the crashes, if the evidence suffices to block it:
// among those with enough crashes the one whose last answer is the longest ago and, among those without any, the one
// with the most crashes, and the most specific one. Parts that such a request shares with others have recent answers.
func (t *Tracker) findCause(now time.Time) (best candidate, found bool) {
	if len(t.crashes) < crashesToBlock {
		return candidate{}, false
	}
	for _, c := range t.candidates(now) {
		if c.crashes < crashesToBlock || c.weight < minWeight || now.Sub(c.first) < settleTime || !t.isDistinguished(c.part, now) {
			continue
		}
		if !found || t.compare(c, &best) < 0 {
			best, found = *c, true
		}
	}
	return best, found
}

// compare orders candidates, the most probable cause first.
func (t *Tracker) compare(a, b *candidate) int {
	return cmp.Or(t.answered.last(a.part).Compare(t.answered.last(b.part)), cmp.Compare(b.engines, a.engines), cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
}

// inseparable returns the parts that may as well be the cause as a candidate, and itself: those that were never answered
// either, and are in each request of a crash with it.
func (t *Tracker) inseparable(best candidate) []part {
	if !t.answered.last(best.part).IsZero() {
		return []part{best.part}
	}
	var parts []part
	for _, c := range t.crashes {
		for _, s := range c.requests {
			if !slices.Contains(s.parts, best.part) {
				continue
			}
			if parts == nil {
				parts = slices.DeleteFunc(slices.Clone(s.parts), func(id part) bool { return !t.answered.last(id).IsZero() })
				continue
			}
			parts = intersection(parts, s.parts)
		}
	}
	return parts
}

// candidates returns the parts under which enough engines have crashed since their last answers.
func (t *Tracker) candidates(now time.Time) map[part]*candidate {
	frequent := t.frequentParts()
	found := make(map[part]*candidate, len(frequent))
	if len(frequent) == 0 {
		return found
	}
	for _, together := range t.crashGroups() {
		g, commonCause := t.newGroup(together, frequent), t.haveCommonCause(together)
		for id, p := range g.parts {
			c := found[id]
			if c == nil {
				c = &candidate{part: id, first: p.first}
				found[id] = c
			}
			c.engines += p.engines
			c.depth, c.last = max(c.depth, p.depth), p.last
			share := float64(p.engines) / float64(len(together))
			switch {
			case p.engines < batchEngines || !t.hasContrast(id, g, now):
				if !commonCause {
					c.crashes++
					c.weight += share
				}
			case g.explainedBy(id, t):
				c.crashes += crashesToBlock
				c.weight += minWeight
			case share >= batchShare:
				c.crashes += crashesToBlock / 2.0
				c.weight += minWeight / 2
			case !commonCause:
				c.crashes++
				c.weight += share
			}
		}
	}
	return found
}

// frequentParts returns the parts under which at least crashesToBlock engines have crashed.
func (t *Tracker) frequentParts() map[part]bool {
	all := make([]part, 0, t.evidence)
	for _, c := range t.crashes {
		from := len(all)
		for _, s := range c.requests {
			all = append(all, s.parts...)
		}
		slices.Sort(all[from:])
		all = all[:from+len(slices.Compact(all[from:]))]
	}
	slices.Sort(all)
	frequent := map[part]bool{}
	for i := crashesToBlock - 1; i < len(all); i++ {
		if all[i] == all[i-crashesToBlock+1] {
			frequent[all[i]] = true
		}
	}
	return frequent
}

// group is a group of crashes that are not separate.
type group struct {
	crashes []*crash
	// parts holds the frequent parts of its requests.
	parts map[part]*groupPart
}

type groupPart struct {
	engines, depth int
	first, last    time.Time
	// crashed holds whether each crash of the group was under the part.
	crashed []bool
}

func (t *Tracker) newGroup(together []*crash, frequent map[part]bool) *group {
	g := &group{crashes: together, parts: map[part]*groupPart{}}
	for i, c := range together {
		for _, s := range c.requests {
			for depth, id := range s.parts {
				if !frequent[id] {
					continue
				}
				p := g.parts[id]
				if p == nil {
					p = &groupPart{first: c.at, crashed: make([]bool, len(together))}
					g.parts[id] = p
				}
				p.depth, p.last = max(p.depth, depth), c.at
				if !p.crashed[i] {
					p.crashed[i] = true
					p.engines++
				}
			}
		}
	}
	return g
}

// haveCommonCause reports whether so many engines crashed together that their cause may be their host, data centre or
// operator.
func (t *Tracker) haveCommonCause(together []*crash) bool {
	engines := 0
	if t.options.Engines != nil {
		engines = t.options.Engines()
	}
	return len(together) >= batchEngines && float64(len(together)) >= commonCauseShare*float64(engines)
}

// explainedBy reports whether a part explains the whole group: all engines crashed under it or, if it was never
// answered, under it or under others of which that holds too.
func (g *group) explainedBy(id part, t *Tracker) bool {
	if g.parts[id].engines == len(g.crashes) {
		return true
	}
	if !t.answered.last(id).IsZero() {
		return false
	}
	explained := make([]bool, len(g.crashes))
	n := 0
	for other, p := range g.parts {
		if p.engines < batchEngines-1 || !t.answered.last(other).IsZero() {
			continue
		}
		for i, crashed := range p.crashed {
			if crashed && !explained[i] {
				explained[i] = true
				n++
			}
		}
	}
	return n == len(g.crashes)
}

// isDistinguished reports whether requests without a part were answered since its last answer. A part of all requests
// isn't distinguished from any other cause of the crashes.
func (t *Tracker) isDistinguished(id part, now time.Time) bool {
	if last := t.answered.last(id); !last.IsZero() {
		return t.counter.after(last) > 0
	}
	return t.counter.inPeriod(now) > 0
}

// hasContrast reports whether answers without a part show that it isn't common to all requests, so that it isn't by
// chance that many engines crashed together under it.
func (t *Tracker) hasContrast(id part, g *group, now time.Time) bool {
	after := t.counter.after(g.crashes[len(g.crashes)-1].at)
	if !t.answered.last(id).IsZero() {
		return after >= answersAfterBatch
	}
	return after > 0 || t.counter.inPeriod(now) >= answersBeforeBatch
}

// crashGroups returns the crashes in groups of those that are not separate, the earliest first.
func (t *Tracker) crashGroups() [][]*crash {
	sorted := slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	var groups [][]*crash
	for _, c := range sorted {
		if n := len(groups); n > 0 && c.at.Sub(groups[n-1][0].at) < separateCrashes {
			groups[n-1] = append(groups[n-1], c)
			continue
		}
		groups = append(groups, []*crash{c})
	}
	return groups
}
