package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// relayTolerance is how much later than known a peer's time of a crash must be to be adopted. Each
	// exchange makes a time appear later by the duration of the message.
	relayTolerance = 2 * time.Second
	// maxCrashRelayAge and maxBlockRelayAge are the ages up to which crashes and blocks of peers are adopted:
	// well before they expire, so that two processes don't renew them for each other.
	maxCrashRelayAge = crashTTL / 2
	maxBlockRelayAge = blockTTL - time.Minute
	// maxReportParts bounds the parts in one report; what is left out follows in later ones. The first item is sent
	// whatever its size. maxReportAnswers bounds the answers in one report.
	maxReportParts   = 1 << 12
	maxReportAnswers = 1 << 11
	// maxKnownBy bounds the peers of which is known that they have an item. It is sent to others again and again.
	maxKnownBy = 1 << 10

	partBytes = 8
)

// Report is the evidence that a process sends to a peer: what the peer isn't known to have. Ages are in milliseconds at
// the time of the report. Parts have eight bytes each; ids hash all that an item said when it was new.
type Report struct {
	// Have holds the ids of all requests and blocks that the sender has, eight bytes each.
	Have     []byte          `json:"have,omitempty"`
	Suspects []SuspectReport `json:"suspects,omitempty"`
	// Answers holds the sender's own answers to parts that are or were suspected, and those that released a block.
	Answers []AnswerReport `json:"answers,omitempty"`
	Blocked []BlockReport  `json:"blocked,omitempty"`
}

// AnswerReport is the last answer to a request with a part, as far as the sender knows.
type AnswerReport struct {
	Part  uint64 `json:"part"`
	AgeMS int64  `json:"age_ms"`
}

// SuspectReport describes a request whose answer was about to begin when its engine crashed.
type SuspectReport struct {
	ID          uint64 `json:"id"`
	Incarnation string `json:"incarnation"`
	// AgeMS is that of the crash.
	AgeMS int64 `json:"age_ms"`
	// Parts holds the parts that have not been answered since.
	Parts []byte `json:"parts"`
}

// BlockReport describes a block.
type BlockReport struct {
	ID uint64 `json:"id"`
	// Parts is empty if the peer has the block.
	Parts []byte `json:"parts,omitempty"`
	// AgeMS is the time since it was set, LastCrashAgeMS that since the last crash under it.
	AgeMS          int64 `json:"age_ms"`
	LastCrashAgeMS int64 `json:"last_crash_age_ms"`
}

// Report returns the report for a peer, or nil if there is nothing to report.
func (t *Tracker) Report(peer string) *Report {
	if t == nil {
		return nil
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.empty() {
		return nil
	}
	t.update(now)
	size := 0
	r := t.report(now, peer, func(_ string, parts []part) bool {
		if size > 0 && size+len(parts) > maxReportParts {
			return false
		}
		size += len(parts)
		return true
	})
	for id := range t.blocks {
		r.Have = binary.LittleEndian.AppendUint64(r.Have, id)
	}
	for _, c := range t.crashes {
		for id := range c.requests {
			r.Have = binary.LittleEndian.AppendUint64(r.Have, id)
		}
	}
	return r
}

// empty reports whether there is nothing to report. The caller holds t.mu.
func (t *Tracker) empty() bool {
	return len(t.crashes) == 0 && len(t.blocks) == 0 && len(t.cleared) == 0
}

// report returns all blocks, with the parts that the peer lacks and that fit, the requests that the peer lacks and that
// fit, the latest first, and answers. The caller holds t.mu.
func (t *Tracker) report(now time.Time, peer string, fits func(incarnation string, parts []part) bool) *Report {
	r := &Report{}
	blocks := slices.SortedFunc(maps.Values(t.blocks), func(a, b *block) int {
		return cmp.Or(b.lastCrash.Compare(a.lastCrash), cmp.Compare(a.id, b.id))
	})
	for _, b := range blocks {
		report := BlockReport{ID: b.id, AgeMS: now.Sub(b.since).Milliseconds(), LastCrashAgeMS: now.Sub(b.lastCrash).Milliseconds()}
		if !b.knownBy[peer] && fits("", b.parts) {
			report.Parts = packParts(b.parts)
		}
		r.Blocked = append(r.Blocked, report)
	}
	incarnations := slices.SortedFunc(maps.Keys(t.crashes), func(a, b string) int {
		return cmp.Or(t.crashes[b].at.Compare(t.crashes[a].at), cmp.Compare(a, b))
	})
	for _, incarnation := range incarnations {
		c := t.crashes[incarnation]
		for _, id := range slices.Sorted(maps.Keys(c.requests)) {
			if s := c.requests[id]; !s.knownBy[peer] && fits(incarnation, s.parts) {
				r.Suspects = append(r.Suspects, SuspectReport{ID: id, Incarnation: incarnation, AgeMS: now.Sub(c.at).Milliseconds(), Parts: packParts(s.parts)})
			}
		}
	}
	for id, answer := range t.cleared {
		if len(r.Answers) >= maxReportAnswers {
			// The order of a map differs each time, so that all are sent in the end.
			break
		}
		r.Answers = append(r.Answers, AnswerReport{Part: uint64(id), AgeMS: now.Sub(answer.at).Milliseconds()})
	}
	return r
}

// HandleReport takes over the evidence of a peer, as of a time on the clock of the options. More than the kept number is
// ignored. A peer without evidence, as after its start, has the report nil.
func (t *Tracker) HandleReport(peer string, report *Report, at time.Time) {
	if t == nil {
		return
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if report == nil {
		t.noteKnown(peer, nil)
		return
	}
	t.merge(peer, report, now, at, relayLimits)
	t.noteKnown(peer, report.Have)
	t.update(now)
}

// mergeLimits are the ages up to which evidence is adopted.
type mergeLimits struct{ crashAge, blockAge time.Duration }

var relayLimits = mergeLimits{crashAge: maxCrashRelayAge, blockAge: maxBlockRelayAge}

// merge takes over a report as of a time. The caller holds t.mu.
func (t *Tracker) merge(from string, report *Report, now, at time.Time, limits mergeLimits) {
	for _, a := range report.Answers[:min(len(report.Answers), maxReportAnswers)] {
		if a.AgeMS >= 0 {
			t.recordAnswer(part(a.Part), at.Add(-milliseconds(a.AgeMS)), false)
		}
	}
	t.changed = t.changed || len(report.Answers) > 0
	for _, b := range report.Blocked[:min(len(report.Blocked), maxBlocked)] {
		t.adopt(from, b, now, at, limits)
	}
	for _, s := range report.Suspects[:min(len(report.Suspects), maxCrashes*maxSuspects)] {
		age, parts := milliseconds(s.AgeMS), unpackParts(s.Parts)
		if s.AgeMS < 0 || now.Sub(at.Add(-age)) > limits.crashAge || len(s.Incarnation) > maxIncarnationBytes || len(parts) == 0 {
			continue
		}
		if t.addCrash(s.Incarnation, at.Add(-age), s.ID, parts) {
			t.notifyChange(false)
		}
		for _, id := range parts {
			if own := t.answered.own(id); own.After(at.Add(-age)) {
				t.clear(id, own, false)
			}
		}
	}
}

// noteKnown notes what a peer has. A peer that has started again lacks what it had.
func (t *Tracker) noteKnown(peer string, have []byte) {
	known := map[uint64]bool{}
	for ; len(have) >= partBytes; have = have[partBytes:] {
		known[binary.LittleEndian.Uint64(have)] = true
	}
	note := func(id uint64, knownBy map[string]bool) {
		switch {
		case !known[id]:
			delete(knownBy, peer)
		case len(knownBy) < maxKnownBy:
			knownBy[peer] = true
		}
	}
	for id, b := range t.blocks {
		note(id, b.knownBy)
	}
	for _, c := range t.crashes {
		for id, s := range c.requests {
			note(id, s.knownBy)
		}
	}
}

// adopt blocks what a peer has blocked.
func (t *Tracker) adopt(from string, report BlockReport, now, at time.Time, limits mergeLimits) {
	lastCrash := at.Add(-milliseconds(report.LastCrashAgeMS))
	if report.LastCrashAgeMS < 0 || report.AgeMS < 0 || now.Sub(lastCrash) > limits.blockAge {
		return
	}
	if known := t.blocks[report.ID]; known != nil {
		if lastCrash.Sub(known.lastCrash) > relayTolerance {
			known.lastCrash = lastCrash
		}
		return
	}
	var parts []part
	for _, id := range unpackParts(report.Parts) {
		if last := t.answered.last(id); last.After(lastCrash) {
			// The peer hasn't heard of the answer that released the part.
			t.clear(id, last, true)
			continue
		}
		parts = append(parts, id)
	}
	if len(parts) == 0 || len(t.blocks) >= maxBlocked || t.blockParts+len(parts) > maxBlockParts || t.evidence+len(parts) > maxEvidence {
		return
	}
	b := t.addBlock(report.ID, parts, at.Add(-milliseconds(report.AgeMS)), lastCrash)
	t.logBlock(b, now).Str("peer", from).Msg(blockMessage)
	t.notifyChange(false)
}

const blockMessage = "prompt part that crashes engines"

// logBlock begins the line of a new block.
func (t *Tracker) logBlock(b *block, now time.Time) *zerolog.Event {
	return t.options.Logger.Error().Str("prompt_part", b.parts[len(b.parts)-1].String()).Int("parts", len(b.parts)).Str("block", formatID(b.id)).Dur("last_crash_age_ms", now.Sub(b.lastCrash)).
		Dur("for_ms", b.lastCrash.Add(blockTTL).Sub(now)).Str("outcome", "blocked")
}

func packParts(parts []part) []byte {
	data := make([]byte, 0, partBytes*len(parts))
	for _, id := range parts {
		data = binary.LittleEndian.AppendUint64(data, uint64(id))
	}
	return data
}

// unpackParts returns at most maxPromptParts parts.
func unpackParts(data []byte) []part {
	parts := make([]part, 0, min(len(data)/partBytes, maxPromptParts))
	for ; len(data) >= partBytes && len(parts) < maxPromptParts; data = data[partBytes:] {
		parts = append(parts, part(binary.LittleEndian.Uint64(data)))
	}
	return parts
}

// partsID hashes parts in any order.
func partsID(parts []part) uint64 {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return xxhash.Sum64(packParts(sorted))
}

// requestID identifies a request at an engine incarnation.
func requestID(incarnation string, parts []part) uint64 {
	return xxhash.Sum64(append(packParts(parts), incarnation...))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
