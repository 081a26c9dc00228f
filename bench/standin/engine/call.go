package engine

import (
	"sync"
	"time"
)

// callState is the state of a call.
type callState int

const (
	callActive callState = iota
	callFinished
	// callBroken means that a fault or the stop of the engine cut off the answer.
	callBroken
	callCancelled
)

// call is one completion. The engine's lock guards the fields of the batch. The
// call's own lock guards the output, so that readers don't block the batch.
type call struct {
	id           string
	user         string
	version      string
	stream       bool
	promptTokens int
	maxTokens    int
	// blocks holds the block hashes of the prompt, answer the tokens to generate.
	blocks []uint64
	answer []string
	// cutAfterTokens is the number of tokens after which FaultCut breaks the answer; 0 means never.
	cutAfterTokens int

	cachedTokens   int
	repeatedTokens int
	// firstCopyTokens counts the repeatedTokens that this engine never cached before.
	firstCopyTokens  int
	receivedAt       time.Time
	prefillRemaining int
	prefillDone      int
	// plannedPrefill is the number of prompt tokens computed in the current iteration.
	plannedPrefill int
	// slowFactor is the factor of FaultSlow, or 1. decodeCredit grows by its inverse in each
	// iteration, and each output token takes a credit of 1.
	slowFactor   float64
	decodeCredit float64
	// outputTokens counts the generated tokens, publishedTokens those written to the output as events.
	outputTokens    int
	publishedTokens int

	mu      sync.Mutex
	state   callState
	endedAt time.Time
	buffer  []byte
	// changed is closed, and replaced, at each change of buffer or state.
	changed chan struct{}
	readers int
	// orphanTimer cancels the call if it has no reader for OrphanTime.
	orphanTimer *time.Timer
}

func (c *call) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != callActive
}

// end appends tail to the output and moves the call to a final state. It reports
// whether the call was active before.
func (c *call) end(state callState, tail []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != callActive {
		return false
	}
	c.state = state
	c.endedAt = time.Now()
	c.appendOutput(tail)
	if c.orphanTimer != nil {
		c.orphanTimer.Stop()
	}
	return true
}

// appendOutput appends to the output and wakes its readers. The caller holds c.mu.
func (c *call) appendOutput(data []byte) {
	c.buffer = append(c.buffer, data...)
	close(c.changed)
	c.changed = make(chan struct{})
}

// emitToken generates one token and reports whether it completes the answer.
func (c *call) emitToken(tokensPerEvent int) bool {
	c.outputTokens++
	if c.cutAfterTokens > 0 && c.outputTokens >= c.cutAfterTokens {
		c.end(callBroken, nil)
		return false
	}
	last := c.outputTokens >= c.maxTokens
	if c.stream && (last || c.outputTokens-c.publishedTokens >= tokensPerEvent) {
		c.mu.Lock()
		if c.state == callActive {
			c.appendOutput(encodeChunk(c, c.answer[c.publishedTokens:c.outputTokens]))
		}
		c.mu.Unlock()
		c.publishedTokens = c.outputTokens
	}
	if !last {
		return false
	}
	if c.stream {
		return c.end(callFinished, encodeFinalEvents(c))
	}
	return c.end(callFinished, encodeCompletion(c))
}

// outputFrom returns the output from a byte offset on, the state of the call, and
// a channel that is closed at the next change.
func (c *call) outputFrom(offset int) ([]byte, callState, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset > len(c.buffer) {
		offset = len(c.buffer)
	}
	return c.buffer[offset:], c.state, c.changed
}

// addReader counts a reader and stops the orphan timer.
func (c *call) addReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers++
	if c.orphanTimer != nil {
		c.orphanTimer.Stop()
		c.orphanTimer = nil
	}
}

// removeReader removes a reader. If an active call has none left, cancel runs
// after orphanTime unless another reader is added.
func (c *call) removeReader(orphanTime time.Duration, cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
	if c.readers == 0 && c.state == callActive {
		c.orphanTimer = time.AfterFunc(orphanTime, cancel)
	}
}
