// Package poison finds the parts of prompts that crash engines, and tells which requests must be kept
// from them. It decides from crashes and answers that this process and its peers have observed; it
// knows no transport and starts no goroutine.
package poison

import (
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// crashTTL is how long a crash counts.
	crashTTL = time.Minute
	// blockTTL is how long a block stays after its last crash. The evidence then starts anew.
	blockTTL = 5 * time.Minute
	// maxCrashes, maxSuspects and maxBlocked bound what is kept: crashes without a known cause, requests
	// of one crash, and blocks. maxExplained bounds the incarnations whose crash a block explains. maxEvidence bounds the
	// parts of all these requests and blocks, maxBlockParts those of the blocks.
	maxCrashes    = 256
	maxSuspects   = 32
	maxBlocked    = 64
	maxExplained  = 1 << 10
	maxEvidence   = 1 << 17
	maxBlockParts = maxEvidence / 2
	// maxAnswers bounds the parts whose last answer is remembered. Of a prompt these are the suspects, and the first and
	// last maxEdgeParts parts.
	maxAnswers   = 1 << 15
	maxEdgeParts = 64
	// maxCleared bounds the parts that were suspected or blocked and then answered.
	maxCleared = 1 << 14
	// maxIncarnationBytes bounds the name of an engine incarnation.
	maxIncarnationBytes = 256
	// promptEvaluation is the number of parts up to which the evidence is evaluated whenever it is used.
	// Larger evidence is evaluated at most once per evaluationPause and part, which bounds the processor time.
	promptEvaluation = 1 << 12
	evaluationPause  = 4 * time.Microsecond
)

// Options configures a Tracker. Now and Logger are required.
type Options struct {
	// Now returns the current time.
	Now func() time.Time
	// Engines returns the number of engines. If nil, it is unknown and taken as 0.
	Engines func() int
	// OnChange is called when there is evidence that a record may lack: own if this process observed it. It must neither
	// block nor call the Tracker. It may be nil.
	OnChange func(own bool)
	// Places is the number of places from which evidence of earlier processes is restored; Known is false until then.
	Places int
	Logger zerolog.Logger
}

// Tracker holds the evidence and the blocks. It is safe for concurrent use. A nil Tracker blocks
// nothing.
type Tracker struct {
	options Options

	mu sync.Mutex
	// crashes holds the crashes that no block explains, by engine incarnation.
	crashes map[string]*crash
	// explained holds when the engine incarnations crashed whose crash a block explains.
	explained map[string]time.Time
	// suspects counts the requests of the crashes with a part.
	suspects map[part]int
	// evidence is the number of parts of all requests of the crashes and of all blocks, blockParts that of the blocks.
	evidence, blockParts int
	// answered holds when a request with a part was last answered, here or at a peer. cleared holds the answers of this
	// process to suspects, and all that released a blocked part, which peers must learn.
	answered answerTimes
	cleared  map[part]clearance
	counter  answerCounter
	// blocks holds the blocks by their ids, byPart those that contain a part.
	blocks map[uint64]*block
	byPart map[part][]*block
	// changed is set if the evidence has changed since evaluatedAt.
	changed     bool
	evaluatedAt time.Time
	// awaited is the number of places from which evidence hasn't been restored yet.
	awaited int
}

// clearance is an answer to a part that was suspected or, if released is set, blocked.
type clearance struct {
	at       time.Time
	released bool
}

// crash is the end of one engine incarnation.
type crash struct {
	at time.Time
	// requests holds the requests whose answers were about to begin, by their ids.
	requests map[uint64]*suspect
}

// suspect is a request whose answer was about to begin when its engine crashed.
type suspect struct {
	// parts holds the parts that have not been answered since, in their order.
	parts []part
	// knownBy holds the peers that have it.
	knownBy map[string]bool
}

// block keeps requests that contain all of some parts from the engines: a single part, or several that were never seen
// apart, so that any of them may be the cause.
type block struct {
	id    uint64
	parts []part
	since time.Time
	// lastCrash is when an engine last crashed under all of the parts.
	lastCrash time.Time
	knownBy   map[string]bool
}

// New returns a Tracker without evidence.
func New(options Options) *Tracker {
	return &Tracker{
		options: options, crashes: map[string]*crash{}, explained: map[string]time.Time{}, suspects: map[part]int{}, answered: newAnswerTimes(), cleared: map[part]clearance{},
		blocks: map[uint64]*block{}, byPart: map[part][]*block{}, awaited: options.Places,
	}
}

// Known reports whether the evidence of earlier processes has been taken over, or is done without.
func (t *Tracker) Known() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.awaited <= 0
}

// MarkLoaded notes that the evidence of one place has been restored, or is done without.
func (t *Tracker) MarkLoaded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaited--
}

// MarkKnown makes Known true.
func (t *Tracker) MarkKnown() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaited = 0
}

// notifyChange calls OnChange. The caller holds t.mu.
func (t *Tracker) notifyChange(own bool) {
	if t.options.OnChange != nil {
		t.options.OnChange(own)
	}
}

// Blocked reports whether a prompt is blocked, for how long still, and the position of the blocked part, the last one if
// there are several.
func (t *Tracker) Blocked(prompt Prompt) (position int, left time.Duration, blocked bool) {
	if t == nil {
		return 0, 0, false
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.blocks) == 0 {
		return 0, 0, false
	}
	t.update(now)
	for i, id := range prompt.parts {
		for _, b := range t.byPart[id] {
			if id == b.parts[len(b.parts)-1] && containsAll(prompt.parts, b.parts) {
				return i, b.lastCrash.Add(blockTTL).Sub(now), true
			}
		}
	}
	return 0, 0, false
}

// RecordCrash records that an engine incarnation ended while it was about to begin the answer to a request.
func (t *Tracker) RecordCrash(incarnation string, prompt Prompt) {
	if t == nil || len(prompt.parts) == 0 || len(incarnation) > maxIncarnationBytes {
		return
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := prompt.distinct()
	t.addCrash(incarnation, now, requestID(incarnation, parts), parts)
	t.update(now)
	t.notifyChange(true)
}

// RecordAnswer records that an engine has survived the beginning of the answer to a request. The answer began some time
// ago.
func (t *Tracker) RecordAnswer(prompt Prompt, ago time.Duration) {
	if t == nil || len(prompt.parts) == 0 {
		return
	}
	at := t.options.Now().Add(-ago)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.record(at)
	for i, id := range prompt.parts {
		isEdge := i < maxEdgeParts || i >= len(prompt.parts)-maxEdgeParts
		if suspected := t.suspects[id] > 0 || len(t.byPart[id]) > 0; suspected || isEdge {
			t.recordAnswer(id, at, true)
			if suspected {
				t.clear(id, at, false)
			}
		}
	}
	t.changed = true
}

// recordAnswer records an answer to a part, at this process or at a peer. The caller holds t.mu.
func (t *Tracker) recordAnswer(id part, at time.Time, own bool) {
	t.answered.record(id, at, own)
	for _, b := range t.byPart[id] {
		if at.After(b.lastCrash) {
			// The request was sent without the other parts of the block, or before the block.
			t.releasePart(b, id)
			t.clear(id, at, true)
			t.notifyChange(own)
		}
	}
}

// clear notes an answer to a part that was suspected or blocked. The caller holds t.mu.
func (t *Tracker) clear(id part, at time.Time, released bool) {
	known, found := t.cleared[id]
	switch {
	case !found && len(t.cleared) >= maxCleared:
	case !found || at.After(known.at):
		t.cleared[id] = clearance{at: at, released: released || known.released}
	case released && !known.released:
		known.released = true
		t.cleared[id] = known
	}
}

// addCrash adds a request to the suspects of a crash. It reports whether the request is new. The caller holds t.mu.
func (t *Tracker) addCrash(incarnation string, at time.Time, id uint64, parts []part) (added bool) {
	if _, explained := t.explained[incarnation]; explained {
		return false
	}
	c := t.crashes[incarnation]
	if isNew := c == nil || c.requests[id] == nil; isNew {
		t.makeRoom(incarnation, len(parts))
		if t.evidence+len(parts) > maxEvidence || c == nil && len(t.crashes) >= maxCrashes {
			return false
		}
	}
	if c == nil {
		c = &crash{at: at, requests: map[uint64]*suspect{}}
		t.crashes[incarnation] = c
	}
	// The earliest observation is the closest to the crash.
	if at.Before(c.at) {
		c.at = at
	}
	if c.requests[id] != nil || len(c.requests) >= maxSuspects {
		return false
	}
	c.requests[id] = &suspect{parts: parts, knownBy: map[string]bool{}}
	t.evidence += len(parts)
	for _, id := range parts {
		t.suspects[id]++
	}
	t.changed = true
	return true
}

// makeRoom forgets the oldest crashes, but for one, until there is room for a request of that one. The caller holds t.mu.
func (t *Tracker) makeRoom(incarnation string, parts int) {
	for len(t.crashes) >= maxCrashes && t.crashes[incarnation] == nil || t.evidence+parts > maxEvidence {
		oldest := ""
		for other, c := range t.crashes {
			if other != incarnation && (oldest == "" || c.at.Before(t.crashes[oldest].at)) {
				oldest = other
			}
		}
		if oldest == "" {
			return
		}
		t.dropCrash(oldest)
	}
}

// dropCrash forgets a crash. The caller holds t.mu.
func (t *Tracker) dropCrash(incarnation string) {
	for _, s := range t.crashes[incarnation].requests {
		t.dropParts(s.parts)
	}
	delete(t.crashes, incarnation)
}

// dropParts no longer counts parts of a request as suspects.
func (t *Tracker) dropParts(parts []part) {
	t.evidence -= len(parts)
	for _, id := range parts {
		if t.suspects[id]--; t.suspects[id] <= 0 {
			delete(t.suspects, id)
		}
	}
}

// addBlock blocks the requests with all of some parts. The caller holds t.mu.
func (t *Tracker) addBlock(id uint64, parts []part, since, lastCrash time.Time) *block {
	b := &block{id: id, parts: parts, since: since, lastCrash: lastCrash, knownBy: map[string]bool{}}
	t.blocks[b.id] = b
	t.evidence += len(parts)
	t.blockParts += len(parts)
	for _, id := range parts {
		t.byPart[id] = append(t.byPart[id], b)
	}
	return b
}

// releasePart takes a part that is harmless out of a block. The caller holds t.mu.
func (t *Tracker) releasePart(b *block, id part) {
	t.unindex(b, id)
	kept := make([]part, 0, len(b.parts)-1)
	for _, other := range b.parts {
		if other != id {
			kept = append(kept, other)
		}
	}
	b.parts = kept
	t.evidence--
	t.blockParts--
	t.changed = true
	if len(kept) == 0 {
		t.dropBlock(b)
	}
}

// dropBlock ends a block. The caller holds t.mu.
func (t *Tracker) dropBlock(b *block) {
	for _, id := range b.parts {
		t.unindex(b, id)
	}
	t.evidence -= len(b.parts)
	t.blockParts -= len(b.parts)
	delete(t.blocks, b.id)
	t.options.Logger.Warn().Str("block", formatID(b.id)).Int("parts", len(b.parts)).Dur("blocked_ms", t.options.Now().Sub(b.since)).Str("outcome", "released").Msg(blockMessage)
}

func (t *Tracker) unindex(b *block, id part) {
	var rest []*block
	for _, other := range t.byPart[id] {
		if other != b {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(t.byPart, id)
		return
	}
	t.byPart[id] = rest
}

// Blocks returns the number of blocks.
func (t *Tracker) Blocks() int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.blocks)
}

func formatID(id uint64) string { return strconv.FormatUint(id, 16) }
