// Package poison finds the parts of prompts that crash engines, and tells which requests must be kept
// from them. It decides from crashes and answers that this process and its peers have observed; it
// knows no transport and starts no goroutine.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// crashesToBlock is the number of separate crashes under a part, without an answer in between,
	// from which on the part is blocked.
	crashesToBlock = 3
	// separateCrashes is the shortest time between two crashes that count as separate.
	separateCrashes = 150 * time.Millisecond
	// minWeight is the weight of the crashes under a part from which on it is blocked. A crash has the weight 1; of
	// several engines that crash together, each has an equal part of it.
	minWeight = 2.0
	// commonCauseEngines and commonCauseShare are the number and the share of all engines that crash together
	// from which on their cause is not a prompt but their host, data centre or operator.
	commonCauseEngines = 3
	commonCauseShare   = 0.25
	// settleTime is the age of the first crash from which on a part is blocked. Until then, the answers
	// of other engines show that a part that many requests share is harmless.
	settleTime = 500 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = time.Minute
	// blockTTL is how long a part stays blocked after its last crash. The evidence then starts anew.
	blockTTL = 5 * time.Minute
	// maxCrashes, maxSuspects and maxBlocked bound what is kept: crashes without a known cause, requests
	// of one crash, and blocked parts.
	maxCrashes  = 16
	maxSuspects = 8
	maxBlocked  = 64
	// maxAnswers bounds the parts whose last answer is remembered.
	maxAnswers = 8192
	// maxPartBytes and maxRequestParts bound what is kept of one request.
	maxPartBytes    = 64
	maxRequestParts = 64
)

// Options configures a Tracker. Now and Logger are required.
type Options struct {
	// Now returns the current time.
	Now func() time.Time
	// Engines returns the number of engines. If nil, it is unknown and taken as 0.
	Engines func() int
	Logger  zerolog.Logger
}

// Tracker holds the evidence and the blocked parts. It is safe for concurrent use. A nil Tracker blocks
// nothing.
type Tracker struct {
	options Options

	mu sync.Mutex
	// crashes holds the crashes that no blocked part explains, by engine incarnation.
	crashes map[string]*crash
	// answered holds when a request with a part was last answered, here or at a peer; ownAnswers holds
	// the answers that this process has observed itself.
	answered, ownAnswers answerTimes
	blocked              map[string]*block
	// lastAnswer is when the last answer began that this process has observed.
	lastAnswer time.Time
}

// crash is the end of one engine incarnation.
type crash struct {
	at time.Time
	// suspects holds the shared parts of each request whose answer was about to begin.
	suspects [][]string
}

// block is a blocked part.
type block struct {
	since time.Time
	// lastCrash is when an engine last crashed under the part.
	lastCrash time.Time
}

// New returns a Tracker without evidence.
func New(options Options) *Tracker {
	return &Tracker{options: options, crashes: map[string]*crash{}, answered: newAnswerTimes(), ownAnswers: newAnswerTimes(), blocked: map[string]*block{}}
}

// tracked returns the parts of a prompt that are tracked: all but the last, which belongs to the request alone. It
// returns nil if a part is too long to be kept.
func tracked(parts []string) []string {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:min(len(parts)-1, maxRequestParts)]
	if !validParts(shared) {
		return nil
	}
	return shared
}

// Blocked returns the first blocked part among the parts of a prompt, and how long it will stay
// blocked.
func (t *Tracker) Blocked(parts []string) (part string, left time.Duration, blocked bool) {
	if t == nil {
		return "", 0, false
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.blocked) == 0 {
		return "", 0, false
	}
	t.update(now)
	for _, part := range tracked(parts) {
		if b := t.blocked[part]; b != nil {
			return part, b.lastCrash.Add(blockTTL).Sub(now), true
		}
	}
	return "", 0, false
}

// RecordCrash records that an engine incarnation ended while it was about to begin the answer to a request
// with some prompt parts.
func (t *Tracker) RecordCrash(incarnation string, parts []string) {
	shared := tracked(parts)
	if t == nil || len(shared) == 0 {
		return
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrash(incarnation, now, [][]string{shared})
	t.update(now)
}

// RecordAnswer records that an engine has survived the beginning of the answer to a request with some prompt
// parts. The answer began some time ago.
func (t *Tracker) RecordAnswer(parts []string, ago time.Duration) {
	shared := tracked(parts)
	if t == nil || len(shared) == 0 {
		return
	}
	at := t.options.Now().Add(-ago)
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.lastAnswer) {
		t.lastAnswer = at
	}
	for _, part := range shared {
		t.ownAnswers.record(part, at)
		t.answered.record(part, at)
	}
}

// addCrash adds the suspects of a crash. The caller holds t.mu.
func (t *Tracker) addCrash(incarnation string, at time.Time, suspects [][]string) {
	c := t.crashes[incarnation]
	if c == nil {
		c = &crash{at: at}
		t.crashes[incarnation] = c
	}
	// The earliest observation is the closest to the crash.
	if at.Before(c.at) {
		c.at = at
	}
	for _, parts := range suspects {
		known := slices.ContainsFunc(c.suspects, func(other []string) bool { return slices.Equal(parts, other) })
		if !known && len(c.suspects) < maxSuspects {
			c.suspects = append(c.suspects, parts)
		}
	}
}

// update removes what is too old or explained, and blocks the parts for which the evidence suffices. The
// caller holds t.mu.
func (t *Tracker) update(now time.Time) {
	t.expire(now)
	for {
		t.dropExplained()
		part, last, found := t.findCause(now)
		if !found {
			break
		}
		t.blocked[part] = &block{since: now, lastCrash: last}
		t.options.Logger.Error().Str("prompt_part", part).Int("crashes", crashesToBlock).Dur("last_crash_age_ms", now.Sub(last)).
			Dur("for_ms", last.Add(blockTTL).Sub(now)).Str("outcome", "blocked").Msg("prompt part that crashes engines")
	}
	t.limitCrashes()
}

func (t *Tracker) expire(now time.Time) {
	for incarnation, c := range t.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(t.crashes, incarnation)
		}
	}
	for part, b := range t.blocked {
		// An answer that began before the part was blocked shows that it is harmless.
		if now.Sub(b.lastCrash) > blockTTL || t.answered.last(part).After(b.lastCrash) {
			delete(t.blocked, part)
			t.options.Logger.Warn().Str("prompt_part", part).Dur("blocked_ms", now.Sub(b.since)).Str("outcome", "released").Msg("prompt part that crashes engines")
		}
	}
}

// dropExplained removes the crashes under blocked parts: they are no evidence against the other parts of
// the same requests, nor against the other requests of the same engine.
func (t *Tracker) dropExplained() {
	for incarnation, c := range t.crashes {
		for _, parts := range c.suspects {
			for _, part := range parts {
				if b := t.blocked[part]; b != nil {
					if c.at.After(b.lastCrash) {
						b.lastCrash = c.at
					}
					delete(t.crashes, incarnation)
				}
			}
		}
	}
}

// candidate is a part under which engines have crashed.
type candidate struct {
	part string
	// depth is the position of the part in its prompt.
	depth int
	// crashes counts the separate crashes.
	crashes     int
	weight      float64
	first, last time.Time
}

// findCause returns the part that most probably causes the crashes, if the evidence suffices to block it:
// among those with enough crashes the one whose last answer is the longest ago and, among those without any,
// the most specific one. Parts that such a request shares with others have recent answers.
func (t *Tracker) findCause(now time.Time) (part string, last time.Time, found bool) {
	if len(t.blocked) >= maxBlocked || len(t.crashes) < crashesToBlock {
		return "", time.Time{}, false
	}
	candidates := t.candidates()
	if len(candidates) == 0 {
		return "", time.Time{}, false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(t.answered.last(a.part).Compare(t.answered.last(b.part)), cmp.Compare(b.depth, a.depth), strings.Compare(a.part, b.part))
	})
	if now.Sub(best.first) < settleTime {
		return "", time.Time{}, false
	}
	return best.part, best.last, true
}

// candidates returns the parts with enough crashes since their last answer.
func (t *Tracker) candidates() []candidate {
	found := map[string]*candidate{}
	for _, together := range t.crashGroups() {
		if t.haveCommonCause(together) {
			t.addSharedCause(together, found)
			continue
		}
		for part, engines := range t.suspectParts(together, found) {
			found[part].crashes++
			found[part].weight += float64(engines) / float64(len(together))
		}
	}
	var all []candidate
	for _, c := range found {
		if c.crashes >= crashesToBlock && c.weight >= minWeight {
			all = append(all, *c)
		}
	}
	return all
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

func (t *Tracker) haveCommonCause(together []*crash) bool {
	engines := 0
	if t.options.Engines != nil {
		engines = t.options.Engines()
	}
	return len(together) >= commonCauseEngines && float64(len(together)) >= commonCauseShare*float64(engines)
}

// addSharedCause adds the parts on which all engines of a group crashed at once, as a batch of requests with such a part
// makes them. Other engines must have answered since: parts that all requests share are in these answers, and without
// any answer the common cause may be outside the prompts.
func (t *Tracker) addSharedCause(together []*crash, found map[string]*candidate) {
	if !t.lastAnswer.After(together[len(together)-1].at) {
		return
	}
	for part, engines := range t.suspectParts(together, found) {
		if engines == len(together) {
			found[part].crashes += crashesToBlock
			found[part].weight += minWeight
		}
	}
}

// suspectParts returns the number of crashes of a group under each part since its last answer, and adds the parts to
// found.
func (t *Tracker) suspectParts(together []*crash, found map[string]*candidate) map[string]int {
	engines := map[string]int{}
	for _, c := range together {
		counted := map[string]bool{}
		for _, parts := range c.suspects {
			for depth, part := range parts {
				if counted[part] || !c.at.After(t.answered.last(part)) {
					continue
				}
				counted[part] = true
				engines[part]++
				if found[part] == nil {
					found[part] = &candidate{part: part, first: c.at}
				}
				found[part].depth, found[part].last = max(found[part].depth, depth), c.at
			}
		}
	}
	return engines
}

// limitCrashes keeps the newest crashes.
func (t *Tracker) limitCrashes() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	times := make([]time.Time, 0, len(t.crashes))
	for _, c := range t.crashes {
		times = append(times, c.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	oldest := times[len(times)-maxCrashes]
	for incarnation, c := range t.crashes {
		if c.at.Before(oldest) {
			delete(t.crashes, incarnation)
		}
	}
}

func validParts(parts []string) bool {
	return len(parts) <= maxRequestParts && !slices.ContainsFunc(parts, func(part string) bool { return len(part) > maxPartBytes })
}
