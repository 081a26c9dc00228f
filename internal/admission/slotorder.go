package admission

import "time"

const (
	// outputTokenValue is what an output token is worth to a caller, in prompt tokens.
	outputTokenValue = 10
	// minSlotTime bounds the expected slot time from below, so that a few tokens have no boundless priority.
	minSlotTime = 20 * time.Millisecond
)

// expectedSlotTime returns how long a ticket is expected to hold its slot, in seconds; 0 if the engine's speed isn't
// known yet.
func (q *SlotQueue) expectedSlotTime(t *SlotTicket) float64 {
	perToken := q.speed.perOutputToken()
	if perToken <= 0 || !q.speed.firstToken.size.known() {
		return 0
	}
	seconds := q.speed.firstToken.predict(float64(t.request.PromptTokens)) + perToken*float64(t.request.OutputTokens)
	return max(seconds, minSlotTime.Seconds())
}

// valueRate returns the tokens that a ticket's caller is expected to get for each second of its slot, with output tokens
// weighted by outputTokenValue; 0 if the engine's speed isn't known yet.
func (q *SlotQueue) valueRate(t *SlotTicket) float64 {
	seconds := q.expectedSlotTime(t)
	if seconds <= 0 {
		return 0
	}
	return (float64(t.request.PromptTokens) + outputTokenValue*float64(t.request.OutputTokens)) / seconds
}

// orderRate returns the rate by which a ticket is ordered within its tier. In a sustained overload, in which not all
// can be served in time, the tickets that get the most tokens out of a slot go first (weighted shortest job first).
// Otherwise all have the same rate, and the order of objectives serves the most in time. The lowest tiers, whose
// requests differ most in length, keep that order, so that long requests aren't starved there.
func (q *SlotQueue) orderRate(now time.Time, t *SlotTicket) float64 {
	if t.request.LateHold <= 0 || !q.overloaded(now) {
		return 0
	}
	return q.valueRate(t)
}

// overloaded reports whether requests have been refused for some time, up to now.
func (q *SlotQueue) overloaded(now time.Time) bool {
	return now.Sub(q.lastRefusal) <= overloadQuietPeriod && now.Sub(q.overloadSince) >= sustainedOverload
}
