package engine

import (
	"slices"
	"time"
)

// planIteration admits waiting calls, plans one iteration of the batch, and returns
// how long it takes; 0 when there is no work.
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

// reportEndedCall reports a call that has just ended. The lock is held.
func (e *Engine) reportEndedCall(c *call) {
	if e.options.Observe == nil {
		return
	}
	e.options.Observe(Record{
		User: c.user, Finished: c.outputTokens >= c.maxTokens, PrefillTokens: c.prefillDone,
		RepeatedTokens:  min(c.repeatedTokens, c.prefillDone),
		FirstCopyTokens: min(c.firstCopyTokens, c.prefillDone),
		CachedTokens:    c.cachedTokens, OutputTokens: c.outputTokens, BeganAt: c.receivedAt,
	})
}

// removeEnded removes calls that were cancelled.
func (e *Engine) removeEnded() {
	ended := func(c *call) bool { return c.ended() }
	e.running = slices.DeleteFunc(e.running, ended)
	e.waiting = slices.DeleteFunc(e.waiting, ended)
}

// admit gives a call its place in the batch and looks its prefix up in the cache.
func (e *Engine) admit(c *call) {
	cachedBlocks := e.cache.lookup(c.blocks)
	cachedTokens := cachedBlocks * BlockTokens
	// The last token is always computed: it gives the first output token.
	cachedTokens = min(cachedTokens, c.promptTokens-1)
	if indexedBlocks := e.options.Index.longestPrefix(c.blocks); indexedBlocks > cachedBlocks {
		c.repeatedTokens = indexedBlocks*BlockTokens - cachedTokens
		c.firstCopyTokens = e.cache.countNeverCached(c.blocks[cachedBlocks:indexedBlocks]) * BlockTokens
	}
	c.cachedTokens = cachedTokens
	c.prefillRemaining = c.promptTokens - cachedTokens
	e.stats.CachedTokens += uint64(cachedTokens)
	e.running = append(e.running, c)
}

// planPrefill shares the chunk of one iteration among the calls in order of admission.
func (e *Engine) planPrefill() int {
	remaining := PrefillChunk
	total := 0
	for _, c := range e.running {
		// A slow version takes a longer time for each token.
		cost := max(1, c.slowFactor)
		c.plannedPrefill = min(c.prefillRemaining, int(float64(remaining)/cost))
		used := int(float64(c.plannedPrefill) * cost)
		remaining -= used
		total += used
	}
	return total
}

// finishIteration applies an iteration that took some time.
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

// applyPrefill applies the planned prefill and reports whether the prompt is whole.
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
