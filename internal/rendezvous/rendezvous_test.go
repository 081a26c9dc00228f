package rendezvous_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rendezvous"
)

// choose returns the member with the highest score.
func choose(key string, weights map[string]float64) string {
	chosen, highest := "", math.Inf(-1)
	for member, weight := range weights {
		if score := rendezvous.Score(key, member, weight); score > highest {
			chosen, highest = member, score
		}
	}
	return chosen
}

func TestMembersAreChosenByTheirWeight(t *testing.T) {
	c := qt.New(t)
	weights := map[string]float64{"a": 1, "b": 1, "c": 2}
	const keys = 4000
	chosen := map[string]int{}
	for i := range keys {
		chosen[choose(fmt.Sprint(i), weights)]++
	}
	for member, weight := range weights {
		share := float64(chosen[member]) / keys
		c.Assert(math.Abs(share-weight/4) < 0.03, qt.IsTrue, qt.Commentf("%s: %.3f", member, share))
	}
}

// A member that leaves moves only its own keys.
func TestOtherKeysStayWhenAMemberLeaves(t *testing.T) {
	c := qt.New(t)
	before := map[string]float64{"a": 1, "b": 1, "c": 1}
	after := map[string]float64{"a": 1, "b": 1}
	for i := range 1000 {
		key := fmt.Sprint(i)
		if chosen := choose(key, before); chosen != "c" {
			c.Assert(choose(key, after), qt.Equals, chosen)
		}
	}
}
