package main

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	budgetEntries = 2
	budgetServers = 3
	// The servers run 3 x budgetSlots requests in budgetWork, about half of what the clients ask for.
	budgetSlots = 2
	budgetQueue = 2
	budgetWork  = 900 * time.Millisecond
	// budgetInterval is the time between two requests of all clients, beside those that they send again.
	budgetInterval = 85 * time.Millisecond
	budgetTimeout  = 3 * time.Second
	// killAt is when the entries are killed; restartAfter is when they start again.
	killAt       = 7 * time.Second
	restartAfter = time.Second
	budgetTotal  = 17 * time.Second
)

// playBudget sends a plain service more than it can run, so that its servers shed requests, and kills all entries
// meanwhile. The requests that are sent once more must stay within the retry budget that all entries share.
func playBudget(_ context.Context, b *bed, trouble bool) (string, error) {
	b.putManifest(standin.Manifest{
		Routes:   []standin.Route{{Name: "post", Host: host, PathPrefix: "/post/", Kind: "unsafe", TimeoutMS: 3000, ObjectiveMS: 1500, Rank: 1, Service: "ledger", MaxServers: 3}},
		Services: []standin.Service{{Name: "ledger"}},
	})
	for i := range budgetServers {
		if err := b.addServer(&server{service: "ledger", slots: budgetSlots, queue: budgetQueue, work: budgetWork}, 3, i); err != nil {
			return "", err
		}
	}
	entries, err := b.addEntries(budgetEntries)
	if err != nil {
		return "", err
	}
	c := newClients(b)
	c.again = func(a *attempt) *machine { return entries[(a.number+1)%len(entries)] }
	restarted := make(chan error, 1)
	time.AfterFunc(killAt, func() { restarted <- b.killAll(entries, trouble) })
	each(budgetInterval, budgetTotal, func(i int) {
		c.send(entries[i%len(entries)], request{method: "POST", path: "/post/x", timeout: budgetTimeout})
	})
	b.record.add("answers: %v", c.summary())
	if err := <-restarted; err != nil {
		return "", err
	}
	return b.overBudget(c), nil
}

// killAll kills all entries at once and starts them again.
func (b *bed) killAll(entries []*machine, trouble bool) error {
	if !trouble {
		return nil
	}
	for _, m := range entries {
		if err := b.signal(m, syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, m := range entries {
		<-m.ended
	}
	time.Sleep(restartAfter)
	for _, m := range entries {
		b.record.add("%s: started again", m.Name)
		if err := b.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// overBudget compares the arrivals beyond the first of each request with the retry budget, in each window that begins
// with such an arrival. The requests are those of the window, of the one before it or of the one half a window before it,
// whichever are most.
func (b *bed) overBudget(c *clients) string {
	arrivals := b.allArrivals()
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	requests := func(from time.Time) int {
		n := 0
		for _, a := range c.attempts {
			if !a.sent.Before(from) && a.sent.Before(from.Add(standin.RetryWindow)) {
				n++
			}
		}
		return n
	}
	worst, excess := "", 0.0
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Before(from.Add(standin.RetryWindow)) {
				n++
			}
		}
		most := max(requests(from), requests(from.Add(-standin.RetryWindow)), requests(from.Add(-standin.RetryWindow/2)))
		allowed := standin.RetryRatio*float64(most) + standin.RetrySlack
		if over := float64(n) - allowed; over > excess {
			excess = over
			worst = fmt.Sprintf("BUDGET: %d arrivals beyond the first of each request in %v from %.1f s on; allowed %.1f for %d requests", n, standin.RetryWindow, from.Sub(b.record.began).Seconds(), allowed, most)
		}
	}
	b.record.add("arrivals beyond the first of each request: %d in all, for %d requests", len(repeats), len(c.attempts))
	return worst
}
