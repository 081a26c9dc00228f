package poison

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxRecordBytes bounds a record. What is left out of it are the crashes that are the longest ago.
	maxRecordBytes = 160 << 10
	// A part takes partRecordBytes in a record at most, any other item itemRecordBytes and the name of its incarnation.
	partRecordBytes = 11
	itemRecordBytes = 128
	// answersPerItem is the number of answers that take as much room as another item.
	answersPerItem = 2
)

// recordLimits adopt all that still counts: a record makes nothing appear later than it was.
var recordLimits = mergeLimits{crashAge: crashTTL, blockAge: blockTTL}

// record is the evidence of all processes as it is kept outside of them.
type record struct {
	// SavedMS is the time of day of the report, in Unix milliseconds.
	SavedMS int64 `json:"saved_ms"`
	// Report also holds the last answers to suspects before their crashes.
	Report *Report `json:"report"`
}

// Record encodes the evidence as of a time of day.
func (t *Tracker) Record(timeOfDay time.Time) ([]byte, error) {
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	data, err := json.Marshal(record{SavedMS: timeOfDay.UnixMilli(), Report: t.recordReport(now)})
	return data, errors.Wrap(err, "encode the evidence about prompts")
}

// recordReport returns the report for a record. The caller holds t.mu.
func (t *Tracker) recordReport(now time.Time) *Report {
	size := itemRecordBytes * (1 + len(t.blocks) + maxReportAnswers/answersPerItem)
	r := t.report(now, "", func(incarnation string, parts []part) bool {
		if size += itemRecordBytes + len(incarnation) + partRecordBytes*len(parts); size <= maxRecordBytes {
			return true
		}
		// Nothing that is longer ago fits in its place.
		size = maxRecordBytes
		return false
	})
	for id := range t.suspects {
		if len(r.Answers) >= maxReportAnswers {
			break
		}
		_, listed := t.cleared[id]
		if last := t.answered.last(id); !last.IsZero() && !listed {
			r.Answers = append(r.Answers, AnswerReport{Part: uint64(id), AgeMS: now.Sub(last).Milliseconds()})
		}
	}
	return r
}

// RecordError reports that a record can't be decoded.
type RecordError struct{ Cause error }

func (e *RecordError) Error() string { return "invalid evidence about prompts: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Restore takes over a record, which may be empty, as of a time of day. Without a time of day, the record has just been
// made. It reports whether the record must be replaced: it lacks evidence, or holds a block that has been released. It
// returns *RecordError.
func (t *Tracker) Restore(data []byte, timeOfDay time.Time) (stale bool, err error) {
	now := t.options.Now()
	stored := record{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &stored); err != nil {
			err = errors.WithStack(&RecordError{Cause: err})
			t.mu.Lock()
			defer t.mu.Unlock()
			return !t.empty(), err
		}
	}
	if stored.Report == nil {
		stored.Report = &Report{}
	}
	// The clocks of two machines may differ.
	elapsed := time.Duration(0)
	if !timeOfDay.IsZero() {
		elapsed = max(0, timeOfDay.Sub(time.UnixMilli(stored.SavedMS)))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	before := len(t.blocks) + len(t.crashes)
	t.merge("kept record", t.unknown(stored.Report), now, now.Add(-elapsed), recordLimits)
	t.update(now)
	if after := len(t.blocks) + len(t.crashes); after > before {
		t.options.Logger.Info().Int("blocks", len(t.blocks)).Int("crashes", len(t.crashes)).Dur("age_ms", elapsed).Str("outcome", "restored").Msg("evidence about prompts")
	}
	return t.isStale(stored.Report, elapsed, now), nil
}

// unknown returns the part of a report that this process doesn't know. What it knows keeps its times, which would change
// with each record otherwise. The caller holds t.mu.
func (t *Tracker) unknown(report *Report) *Report {
	r := &Report{}
	for _, a := range report.Answers {
		if t.answered.last(part(a.Part)).IsZero() || len(t.byPart[part(a.Part)]) > 0 {
			r.Answers = append(r.Answers, a)
		}
	}
	for _, b := range report.Blocked {
		if t.blocks[b.ID] == nil {
			r.Blocked = append(r.Blocked, b)
		}
	}
	for _, s := range report.Suspects {
		if c := t.crashes[s.Incarnation]; c == nil || c.requests[s.ID] == nil {
			r.Suspects = append(r.Suspects, s)
		}
	}
	return r
}

// isStale reports whether a record must be replaced. The caller holds t.mu.
func (t *Tracker) isStale(stored *Report, elapsed time.Duration, now time.Time) bool {
	blocks, suspects := map[uint64]BlockReport{}, map[uint64]bool{}
	for _, b := range stored.Blocked {
		blocks[b.ID] = b
		if t.blocks[b.ID] == nil && elapsed+milliseconds(b.LastCrashAgeMS) <= blockTTL {
			return true
		}
	}
	for _, s := range stored.Suspects {
		suspects[s.ID] = true
	}
	cleared := map[uint64]bool{}
	for _, a := range stored.Answers {
		cleared[a.Part] = true
	}
	current := t.recordReport(now)
	for _, b := range current.Blocked {
		known, found := blocks[b.ID]
		lastCrashAge := elapsed + milliseconds(known.LastCrashAgeMS)
		if !found || len(known.Parts) != len(b.Parts) || lastCrashAge-milliseconds(b.LastCrashAgeMS) > relayTolerance {
			return true
		}
	}
	for _, s := range current.Suspects {
		if !suspects[s.ID] && len(s.Parts) > 0 {
			return true
		}
	}
	for id, answer := range t.cleared {
		if answer.released && !cleared[uint64(id)] && len(stored.Answers) < maxReportAnswers {
			return true
		}
	}
	return false
}
