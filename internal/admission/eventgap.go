package admission

import "time"

const (
	// maxPrefillPauseShare is the share of the longest accepted event pause of a running stream
	// that the prefill of one prompt may take. The remainder allows for decoding steps and for the
	// uncertainty of the estimated engine speed.
	maxPrefillPauseShare = 0.7
	// fasterEngineWait is how long a long prompt waits in this queue, so that a faster engine
	// with a free slot can take it first.
	fasterEngineWait = 200 * time.Millisecond
)

// respectsMaxEventGap reports whether a prompt can be prefilled without exceeding the longest
// event pause that running streams accept. Each prefill chunk delays the next token of every
// running stream, so a prompt that is long for the engine pauses all of them.
func (q *SlotQueue) respectsMaxEventGap(now time.Time, t *SlotTicket) bool {
	if now.Sub(t.queued) >= fasterEngineWait {
		return true
	}
	prefillTime := secondsToDuration(q.speed.firstToken.slope() * float64(t.request.PromptTokens))
	for other := range q.running {
		if gap := other.request.MaxEventGap; gap > 0 && prefillTime > time.Duration(maxPrefillPauseShare*float64(gap)) {
			return false
		}
	}
	return true
}
