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

// fakeRollouts records the received roll-out reports. Each call requests the entry's membership
// while it holds a lock that Reports also takes.
type fakeRollouts struct {
	membership func() rollout.Membership
	mu         sync.Mutex
	reports    []rollout.Report
	received   map[string]rollout.Report
}

func (f *fakeRollouts) Reports() []rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.membership != nil {
		f.membership()
	}
	return f.reports
}

func (f *fakeRollouts) HandleReports(id, _ string, reports []rollout.Report, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.membership != nil {
		f.membership()
	}
	for _, r := range reports {
		f.received[id] = r
	}
}

func (f *fakeRollouts) receivedFrom(id string) rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[id]
}

// Guards against a lock-order deadlock that stopped all entries: one goroutine called the roster
// while it held the roll-outs' lock, and another called the roll-outs while it held the roster's.
func TestRolloutsAreReportedWithoutRosterLock(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*fakeRollouts
	var entries []*entry
	for _, id := range []string{"a", "b", "c"} {
		rollouts := &fakeRollouts{received: map[string]rollout.Report{}, reports: []rollout.Report{{Service: "s", Target: id, Order: 1}}}
		e := newEntryWith(t, id, roster.Configuration{}, rollouts)
		rollouts.mu.Lock()
		rollouts.membership = e.Membership
		rollouts.mu.Unlock()
		all, entries = append(all, rollouts), append(entries, e)
	}
	entries[0].AddEntry("b", entries[1].address)
	entries[1].AddEntry("c", entries[2].address)
	for _, e := range entries {
		go func() { _ = e.Run(ctx) }()
	}
	eventually(c, "every entry receives the roll-out reports of the others", func() bool {
		return all[0].receivedFrom("c").Target == "c" && all[2].receivedFrom("a").Target == "a" && all[1].receivedFrom("a").Target == "a"
	})
	eventually(c, "the rank follows the order of ids", func() bool {
		membership := entries[2].Membership()
		return membership.Rank == 2 && membership.Entries == 3 && membership.HasQuorum && entries[0].Membership().Rank == 0
	})
}
