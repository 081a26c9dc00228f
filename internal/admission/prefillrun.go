package admission

import "time"

const (
	// prefillPart is the part of the longest pause that callers accept in which an engine
	// may read prompts without a rest. The other part is left for the steps that make
	// tokens and for what isn't known of the engine's speed.
	prefillPart = 0.7
	// prefillRest is the rest after a run of prompts: the streams that run beside make an
	// event or two in it.
	prefillRest = 60 * time.Millisecond
	// fasterWait is how long a prompt that would make too long a pause by itself waits for
	// a faster engine, which may have a slot for it too.
	fasterWait = 200 * time.Millisecond
)

// prefillRun is the time that an engine spends on prompts one after the other. While it
// reads them, the streams that run beside it make a token in each of its long steps only,
// so that a run that is too long shows as a pause.
type prefillRun struct {
	since, until time.Time
}

// add takes a prompt that is handed to the engine now and needs some time.
func (r *prefillRun) add(now time.Time, needs time.Duration) {
	if r.rested(now) {
		r.since = now
	}
	if r.until.Before(now) {
		r.until = now
	}
	r.until = r.until.Add(needs)
}

func (r *prefillRun) rested(now time.Time) bool { return now.After(r.until.Add(prefillRest)) }

// takes reports whether a prompt that needs some time may follow now, so that no run is
// longer than a limit. A prompt that is too long by itself needs an engine that has rested.
func (r *prefillRun) takes(now time.Time, needs, limit time.Duration) bool {
	if r.rested(now) {
		return true
	}
	until := r.until
	if until.Before(now) {
		until = now
	}
	return until.Add(needs).Sub(r.since) <= limit
}

// prefillTime returns the expected time that the engine needs for a prompt alone.
func (q *SlotQueue) prefillTime(t *SlotTicket) time.Duration {
	return seconds(q.speed.firstToken.slope() * float64(t.request.PromptTokens))
}

// pausesStayShort reports whether a prompt may be read now without a pause in the streams
// that run beside it that their callers don't accept.
func (q *SlotQueue) pausesStayShort(now time.Time, t *SlotTicket) bool {
	var gap time.Duration
	for other := range q.running {
		if g := other.request.MaxEventGap; g > 0 && (gap == 0 || g < gap) {
			gap = g
		}
	}
	if gap == 0 {
		return true
	}
	needs, limit := q.prefillTime(t), time.Duration(prefillPart*float64(gap))
	if needs > limit && now.Sub(t.queued) < fasterWait {
		return false
	}
	return q.prefill.takes(now, needs, limit)
}
