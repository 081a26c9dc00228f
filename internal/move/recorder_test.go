package move

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The delays after which processes record the containment of another reporter are spread over the whole
// range, so that usually one of them appends it.
func TestTakeoverDelaysAreSpread(t *testing.T) {
	c := qt.New(t)
	const quarters = 4
	var counts [quarters]int
	for i := range 400 {
		g := &Guard{options: GuardOptions{ID: fmt.Sprint("entry-", i)}}
		delay := g.takeoverDelay("pool/v2") - minTakeoverDelay
		c.Assert(delay >= 0 && delay < takeoverDelaySpread, qt.IsTrue, qt.Commentf("%v", delay))
		counts[delay*quarters/time.Duration(takeoverDelaySpread)]++
	}
	for _, n := range counts {
		c.Check(n > 50, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
