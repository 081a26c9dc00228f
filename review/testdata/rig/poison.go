package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	poisonEntries = 2
	poisonEngines = 5
	// deadlyPart is the part of a prompt that crashes engines.
	deadlyPart = "dead0001"
	// contact is contact_ms of the small deployments.
	contact = 3 * time.Second
	// crashedFor is how long a crashed engine is away.
	crashedFor = 2 * time.Second
	// deadlyInterval is the time between two requests with the deadly part.
	deadlyInterval = 5 * time.Second
	// calm is how long the sound requests come alone.
	calm = 5 * time.Second
	// poisonKillAt is when the entries are killed.
	poisonKillAt = 20500 * time.Millisecond
	poisonTotal  = 45 * time.Second
)

// playPoison sends requests with a part that crashes engines, among sound ones, and kills all entries after the part is
// known.
func playPoison(ctx context.Context, b *bed, trouble bool) (string, error) {
	b.putManifest(standin.Manifest{
		Routes: []standin.Route{{
			Name: "ask", Host: host, PathPrefix: "/ask/", Kind: "streaming", TimeoutMS: 6000, ObjectiveMS: 600, GapTargetMS: 400, Rank: 1, Service: "model",
			MaxServers: 2, Resumable: true,
		}},
		Services: []standin.Service{{Name: "model", Slots: 6}},
	})
	var mu sync.Mutex
	var crashes []time.Time
	isDeadly := func(h http.Header) bool { return strings.Contains(h.Get(headerParts), deadlyPart) }
	for i := range poisonEngines {
		s := &server{service: "model", slots: 6, events: 10, deadly: isDeadly}
		s.onCrash = func(s *server) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			time.Sleep(crashedFor)
			if ctx.Err() == nil {
				_ = s.start()
			}
		}
		if err := b.addServer(s, 2, i); err != nil {
			return "", err
		}
		if _, err := b.addSidecar(i); err != nil {
			return "", err
		}
	}
	entries, err := b.addEntries(poisonEntries)
	if err != nil {
		return "", err
	}
	c := newClients(b)
	restarted := make(chan error, 1)
	var killed time.Time
	time.AfterFunc(poisonKillAt, func() {
		mu.Lock()
		killed = time.Now()
		mu.Unlock()
		restarted <- b.killAll(entries, trouble)
	})
	began, nextDeadly := time.Now(), time.Now().Add(calm)
	each(100*time.Millisecond, poisonTotal, func(i int) {
		parts := fmt.Sprintf("shared01:60,own%05d:400", i)
		if time.Now().After(nextDeadly) && time.Since(began) > calm {
			nextDeadly = nextDeadly.Add(deadlyInterval)
			parts = fmt.Sprintf("shared01:60,%s:300,own%05d:100", deadlyPart, i)
		}
		c.send(entries[i%len(entries)], request{method: "POST", path: "/ask/x", timeout: 5 * time.Second, header: map[string]string{
			headerTokens: "460,40", headerParts: parts,
		}})
	})
	b.record.add("answers: %v", c.summary())
	if err := <-restarted; err != nil {
		return "", err
	}
	mu.Lock()
	defer mu.Unlock()
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	if len(crashes) < 5 {
		b.record.add("crashes: %d", len(crashes))
		return "", nil
	}
	counted := 0
	for _, a := range b.allArrivals() {
		outOfTouch := trouble && a.at.After(killed) && a.at.Before(killed.Add(restartAfter+contact+500*time.Millisecond))
		if isDeadly(a.header) && a.at.After(crashes[4].Add(contact)) && !outOfTouch {
			counted++
		}
	}
	b.record.add("crashes: %d; requests with the part that reached engines later than contact_ms after the fifth, from machines in touch: %d", len(crashes), counted)
	if counted <= 3 {
		return "", nil
	}
	return fmt.Sprintf("BUDGET: %d requests with the part reached engines later than contact_ms after the fifth crash, sent by machines in touch", counted), nil
}
