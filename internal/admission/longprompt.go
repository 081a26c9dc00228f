package admission

import "time"

const (
	// maxPrefillPauseShare is the part of the longest pause that callers accept which the
	// reading of one prompt may take beside their streams; the other part is left for
	// the steps that make tokens and for what isn't known of the engine's speed.
	maxPrefillPauseShare = 0.7
	// fasterEngineWait is how long a longer prompt waits for a faster engine, which may have a
	// slot for it too.
	fasterEngineWait = 200 * time.Millisecond
)

// keepsStreamPauses reports whether a prompt may be read beside the streams that run. While
// an engine reads a prompt, each stream makes a token in one long step only, so that a
// prompt that is long for this engine shows in all of them as a pause.
func (q *SlotQueue) keepsStreamPauses(now time.Time, t *SlotTicket) bool {
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
