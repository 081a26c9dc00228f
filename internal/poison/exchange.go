package poison

import (
	"slices"
	"strings"
	"time"
)

const (
	// relayTolerance is how much later than known a peer's time of a crash must be to be adopted. Each
	// exchange makes a time appear later by the duration of the message.
	relayTolerance = 2 * time.Second
	// maxCrashRelayAge and maxBlockRelayAge are the ages up to which crashes and blocks of peers are adopted:
	// well before they expire, so that two processes don't renew them for each other.
	maxCrashRelayAge = crashTTL / 2
	maxBlockRelayAge = blockTTL - time.Minute
)

// Report is the evidence that a process sends to its peers: its own answers, and the crashes and blocks that it
// knows. Ages are in milliseconds at the time of the report.
type Report struct {
	Crashes []CrashReport `json:"crashes,omitempty"`
	// AnswerAges holds the age of the process's own last answer to each part of the crashes, and to each blocked
	// part, that has one.
	AnswerAges map[string]int64 `json:"answer_ages_ms,omitempty"`
	Blocked    []BlockReport    `json:"blocked,omitempty"`
}

// CrashReport describes the crash of one engine incarnation that no blocked part explains.
type CrashReport struct {
	Incarnation string `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"`
	// Suspects holds the shared prompt parts of the requests whose answers were about to begin.
	Suspects [][]string `json:"suspects"`
}

// BlockReport describes a blocked part.
type BlockReport struct {
	Part string `json:"part"`
	// AgeMS is the time since it was blocked, LastCrashAgeMS that since the last crash under it.
	AgeMS          int64 `json:"age_ms"`
	LastCrashAgeMS int64 `json:"last_crash_age_ms"`
}

// Report returns the report for peers, or nil if there is nothing to report.
func (t *Tracker) Report() *Report {
	if t == nil {
		return nil
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.blocked) == 0 {
		return nil
	}
	t.update(now)
	report := &Report{AnswerAges: map[string]int64{}}
	for incarnation, c := range t.crashes {
		report.Crashes = append(report.Crashes, CrashReport{Incarnation: incarnation, AgeMS: now.Sub(c.at).Milliseconds(), Suspects: slices.Clone(c.suspects)})
		for _, parts := range c.suspects {
			for _, part := range parts {
				t.reportAnswer(report, part, now)
			}
		}
	}
	for part, b := range t.blocked {
		t.reportAnswer(report, part, now)
		report.Blocked = append(report.Blocked, BlockReport{Part: part, AgeMS: now.Sub(b.since).Milliseconds(), LastCrashAgeMS: now.Sub(b.lastCrash).Milliseconds()})
	}
	slices.SortFunc(report.Crashes, func(a, b CrashReport) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	slices.SortFunc(report.Blocked, func(a, b BlockReport) int { return strings.Compare(a.Part, b.Part) })
	return report
}

func (t *Tracker) reportAnswer(report *Report, part string, now time.Time) {
	if at := t.ownAnswers.last(part); !at.IsZero() {
		report.AnswerAges[part] = now.Sub(at).Milliseconds()
	}
}

// HandleReport takes over the evidence of a peer, as of a time on the clock of the options. Parts that are
// too long, and more than the kept number, are ignored.
func (t *Tracker) HandleReport(peer string, report *Report, at time.Time) {
	if t == nil || report == nil {
		return
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for part, age := range report.AnswerAges {
		if len(part) <= maxPartBytes && age >= 0 {
			t.answered.record(part, at.Add(-milliseconds(age)))
		}
	}
	for _, b := range report.Blocked {
		t.adopt(peer, b, now, at)
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxCrashes)] {
		suspects := slices.DeleteFunc(slices.Clone(c.Suspects), func(parts []string) bool { return !validParts(parts) })
		if c.AgeMS >= 0 && milliseconds(c.AgeMS) <= maxCrashRelayAge && len(c.Incarnation) <= maxPartBytes && len(suspects) > 0 {
			t.addCrash(c.Incarnation, at.Add(-milliseconds(c.AgeMS)), suspects)
		}
	}
	t.update(now)
}

// adopt blocks a part that a peer has blocked.
func (t *Tracker) adopt(peer string, report BlockReport, now, at time.Time) {
	lastCrash := at.Add(-milliseconds(report.LastCrashAgeMS))
	if report.LastCrashAgeMS < 0 || report.AgeMS < 0 || len(report.Part) > maxPartBytes || now.Sub(lastCrash) > maxBlockRelayAge || t.answered.last(report.Part).After(lastCrash) {
		return
	}
	known := t.blocked[report.Part]
	switch {
	case known != nil:
		if lastCrash.Sub(known.lastCrash) > relayTolerance {
			known.lastCrash = lastCrash
		}
	case len(t.blocked) < maxBlocked:
		t.blocked[report.Part] = &block{since: at.Add(-milliseconds(report.AgeMS)), lastCrash: lastCrash}
		t.options.Logger.Error().Str("prompt_part", report.Part).Str("peer", peer).Int64("last_crash_age_ms", report.LastCrashAgeMS).
			Dur("for_ms", lastCrash.Add(blockTTL).Sub(now)).Str("outcome", "blocked").Msg("prompt part that crashes engines")
	}
}

// BlockedParts returns the number of blocked parts.
func (t *Tracker) BlockedParts() int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.blocked)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
