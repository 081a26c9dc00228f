package main

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	leaveEntries = 2
	leaveServers = 3
	// leaveEngines are engines of another service, as many as a small deployment has beside its plain servers.
	leaveEngines = 9
	// leaving is the number of plain servers that leave: a sixth of all servers.
	leaving  = 2
	fastWork = 40 * time.Millisecond
	slowWork = 60 * time.Millisecond
	// servesOn is how long the servers that leave go on serving: drain_ms and a little longer.
	servesOn = standin.DrainWithin + 4*time.Second
)

// playLeave lets two of three plain servers leave at the same moment without a word: their registrations are removed, and
// they serve on. No request may reach them later than drain_ms after that.
func playLeave(ctx context.Context, b *bed, trouble bool) (string, error) {
	b.putManifest(standin.Manifest{
		Routes:   []standin.Route{{Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", TimeoutMS: 1500, ObjectiveMS: 300, Rank: 1, Service: "ledger", MaxServers: 2}},
		Services: []standin.Service{{Name: "ledger"}, {Name: "model", Slots: 6}},
	})
	for i := range leaveServers {
		// Servers differ in speed; those that leave are the faster ones, so that they get requests.
		work := fastWork
		if i >= leaving {
			work = slowWork
		}
		if err := b.addServer(&server{service: "ledger", slots: 6, work: work}, 3, i); err != nil {
			return "", err
		}
	}
	for i := range leaveEngines {
		if err := b.addServer(&server{service: "model", slots: 6, events: 10}, 2, i); err != nil {
			return "", err
		}
		if _, err := b.addSidecar(i); err != nil {
			return "", err
		}
	}
	entries, err := b.addEntries(leaveEntries)
	if err != nil {
		return "", err
	}
	c := newClients(b)
	// The entries are in touch: they and the store have been calm for contact_ms.
	gone := map[string]time.Time{}
	time.AfterFunc(5*time.Second, func() {
		if !trouble {
			return
		}
		for _, s := range b.servers[:leaving] {
			gone[s.id] = s.leave()
		}
	})
	each(20*time.Millisecond, 5*time.Second+servesOn, func(i int) {
		c.send(entries[i%len(entries)], request{method: "GET", path: "/look/x", timeout: 1500 * time.Millisecond})
	})
	b.record.add("answers: %v", c.summary())
	late, latest := 0, time.Duration(0)
	for _, a := range b.allArrivals() {
		if at, ok := gone[a.server]; ok && a.at.Sub(at) > standin.DrainWithin {
			late++
			latest = max(latest, a.at.Sub(at))
		}
	}
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached servers later than %v after the store had accepted that they are gone, the last one %d ms after", late, standin.DrainWithin, latest.Milliseconds()), nil
}

// addEntries starts entries and waits until they are ready.
func (b *bed) addEntries(n int) ([]*machine, error) {
	var entries []*machine
	for i := range n {
		m, err := b.addEntry(i)
		if err != nil {
			return nil, err
		}
		entries = append(entries, m)
	}
	for _, m := range entries {
		if err := m.awaitReady(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
