package engine

import (
	"slices"
	"time"
)

// planIteration admits waiting calls, plans one iteration of the batch, and
// returns its duration, or 0 if the batch is empty.
func (e *Engine) planIteration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEnded()
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.admit(next)
	}
	e.recordLoad()
	if len(e.running) == 0 {
		return 0
	}
	prefill := e.planPrefill()
	decoding := 0
	for _, c := range e.running {
		if c.prefillRemaining == 0 || c.plannedPrefill == c.prefillRemaining {
			decoding++
		}
	}
	cost := StepBase + time.Duration(decoding)*StepPerSequence + time.Duration(prefill)*PrefillPerToken
	return time.Duration(float64(cost) / e.options.Speed * e.costFactor())
}

// reportEndedCall passes the record of an ended call to the OnCallEnd callback.
// The caller holds e.mu.
func (e *Engine) reportEndedCall(c *call) {
	if e.options.OnCallEnd == nil {
		return
	}
	e.options.OnCallEnd(Record{
		User: c.user, Finished: c.outputTokens >= c.maxTokens, PrefillTokens: c.prefillDone,
		RepeatedTokens:  min(c.repeatedTokens, c.prefillDone),
		FirstCopyTokens: min(c.firstCopyTokens, c.prefillDone),
		CachedTokens:    c.cachedTokens, OutputTokens: c.outputTokens, ReceivedAt: c.receivedAt,
	})
}

// removeEnded removes ended calls from the batch and from the queue. The caller
// holds e.mu.
func (e *Engine) removeEnded() {
	ended := func(c *call) bool { return c.ended() }
	e.running = slices.DeleteFunc(e.running, ended)
	e.waiting = slices.DeleteFunc(e.waiting, ended)
}

// admit adds a call to the batch and sets its prefill from the cached part of its
// prompt. The caller holds e.mu.
func (e *Engine) admit(c *call) {
	cachedBlocks := e.cache.lookup(c.blocks)
	cachedTokens := cachedBlocks * BlockTokens
	// The last prompt token is always computed because it yields the first output token.
	cachedTokens = min(cachedTokens, c.promptTokens-1)
	if indexedBlocks := e.options.PrefixIndex.longestPrefix(c.blocks); indexedBlocks > cachedBlocks {
		c.repeatedTokens = indexedBlocks*BlockTokens - cachedTokens
		c.firstCopyTokens = e.cache.countNeverCached(c.blocks[cachedBlocks:indexedBlocks]) * BlockTokens
	}
	c.cachedTokens = cachedTokens
	c.prefillRemaining = c.promptTokens - cachedTokens
	e.stats.CachedTokens += uint64(cachedTokens)
	e.running = append(e.running, c)
}

// planPrefill divides the prefill chunk of one iteration among the calls in order
// of admission. It returns the cost of the planned prefill in tokens of a call
// that isn't slowed down.
func (e *Engine) planPrefill() int {
	remaining := PrefillChunk
	total := 0
	for _, c := range e.running {
		// Each token of a slow version costs as much as several others.
		cost := max(1, c.slowFactor)
		c.plannedPrefill = min(c.prefillRemaining, int(float64(remaining)/cost))
		used := int(float64(c.plannedPrefill) * cost)
		remaining -= used
		total += used
	}
	return total
}

// finishIteration applies the planned iteration, which ran for the given duration.
func (e *Engine) finishIteration(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.BusyMS += duration.Milliseconds()
	for _, c := range e.running {
		if c.ended() {
			continue
		}
		if c.prefillRemaining > 0 && !e.applyPrefill(c) {
			continue
		}
		c.decodeCredit += 1 / max(1, c.slowFactor)
		if c.decodeCredit < 1 {
			continue
		}
		c.decodeCredit--
		e.stats.OutputTokens++
		if c.emitToken(e.options.TokensPerEvent) {
			e.stats.Finished++
		}
		if c.ended() {
			e.reportEndedCall(c)
		}
	}
	e.removeEnded()
}

// applyPrefill applies the planned prefill of a call and reports whether the whole
// prompt has been computed.
func (e *Engine) applyPrefill(c *call) bool {
	c.prefillRemaining -= c.plannedPrefill
	c.prefillDone += c.plannedPrefill
	e.stats.PrefillTokens += uint64(c.plannedPrefill)
	c.plannedPrefill = 0
	if c.prefillRemaining > 0 {
		return false
	}
	e.cache.insert(c.blocks)
	c.decodeCredit = 1
	return true
}
