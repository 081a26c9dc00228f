package worktime_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/worktime"
)

// Answers five times as long as usual, one of forty, must not be missed, and a slow hour must not count for ever.
func TestLongestFollowsTheSlowestOfTheLatest(t *testing.T) {
	c := qt.New(t)
	e := worktime.New()
	c.Assert(e.Longest("plain", 0), qt.Equals, time.Duration(0))
	for i := range 200 {
		took := 60 * time.Millisecond
		if i%40 == 0 && i < 120 {
			took *= 5
		}
		e.Observe("plain", worktime.Work{Start: took})
		if i >= 1 && i < 120 {
			c.Assert(e.Longest("plain", 0) >= 600*time.Millisecond, qt.IsTrue)
		}
	}
	c.Assert(e.Longest("plain", 0), qt.Equals, 120*time.Millisecond)
}

// The rest of a stream grows with its tokens.
func TestLongestScalesWithTokens(t *testing.T) {
	c := qt.New(t)
	e := worktime.New()
	e.Observe("stream", worktime.Work{Start: 100 * time.Millisecond, Rest: time.Second, Tokens: 100})
	c.Assert(e.Longest("stream", 400), qt.Equals, 8200*time.Millisecond)
	c.Assert(e.Longest("stream", 10), qt.Equals, 400*time.Millisecond)
	e.Observe("stream", worktime.Work{Start: 100 * time.Millisecond, Rest: 2 * time.Second})
	c.Assert(e.Longest("stream", 10), qt.Equals, 4200*time.Millisecond)
}

func TestRoutesAreBounded(t *testing.T) {
	c := qt.New(t)
	e := worktime.New()
	for i := range 10_000 {
		e.Observe(fmt.Sprint(i), worktime.Work{Start: time.Second})
	}
	c.Assert(e.Longest("4095", 0) > 0, qt.IsTrue)
	c.Assert(e.Longest("4096", 0), qt.Equals, time.Duration(0))
	e.Retain(func(name string) bool { return name == "7" })
	c.Assert(e.Longest("7", 0) > 0, qt.IsTrue)
	c.Assert(e.Longest("8", 0), qt.Equals, time.Duration(0))
}
