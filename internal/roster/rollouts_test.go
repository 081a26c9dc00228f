package roster_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/roster"
)

// courses notes what is heard of roll-outs. Each call asks for the entry's standing, with a
// lock held that Report takes too.
type courses struct {
	standing func() rollout.Membership
	mu       sync.Mutex
	told     []rollout.Report
	heard    map[string]rollout.Report
}

func (c *courses) Reports() []rollout.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standing != nil {
		c.standing()
	}
	return c.told
}

func (c *courses) HandleReports(id, _ string, reports []rollout.Report, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standing != nil {
		c.standing()
	}
	for _, r := range reports {
		c.heard[id] = r
	}
}

func (c *courses) hears(id string) rollout.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard[id]
}

// Guards against entries that all stop answering: one goroutine held the lock of the
// roll-outs and asked the roster, another held the roster's and told the roll-outs.
func TestRolloutsAreToldWithoutTheRostersLock(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*courses
	var entries []*entry
	for _, id := range []string{"a", "b", "c"} {
		one := &courses{heard: map[string]rollout.Report{}, told: []rollout.Report{{Service: "s", Target: id, Order: 1}}}
		e := newEntryWith(t, id, roster.Configuration{}, one)
		one.mu.Lock()
		one.standing = e.Standing
		one.mu.Unlock()
		all, entries = append(all, one), append(entries, e)
	}
	entries[0].Learn("b", entries[1].address)
	entries[1].Learn("c", entries[2].address)
	for _, e := range entries {
		go func() { _ = e.Run(ctx) }()
	}
	eventually(c, "every entry hears of every other one's roll-outs", func() bool {
		return all[0].hears("c").Target == "c" && all[2].hears("a").Target == "a" && all[1].hears("a").Target == "a"
	})
	eventually(c, "the standing follows the ids", func() bool {
		s := entries[2].Standing()
		return s.Rank == 2 && s.Entries == 3 && s.HasQuorum && entries[0].Standing().Rank == 0
	})
}
