package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
)

// loans is the route of the plain service: unsafe requests, as `loan-post` on the sheet.
var loans = route{
	Name: "loan-post", Host: host, PathPrefix: "/loans/", Kind: "unsafe", TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2,
	Service: "fokonyv", Attempts: 1,
}

// questions is the route of the model engines.
var questions = route{
	Name: "fitter-ask", Host: host, PathPrefix: "/ask/", Kind: "streaming", TimeoutMS: 15000, ObjectiveMS: 400, GapTargetMS: 400, Priority: 2,
	Service: "tanacsado", Attempts: 1, Sticky: true,
}

const (
	engineCount = 9
	serverCount = 3
	entryCount  = 2
	// callerCount callers send ratePerSecond requests to the plain service: the sheet's 13.2 of loan-post and 8.0
	// of stock-look.
	callerCount   = 30
	ratePerSecond = 21.2
	// minServed is the number of requests that a run must serve to count.
	minServed = 50
	// observed is how long the entry stays.
	observed = 60 * time.Second
)

// startLedger starts a small deployment: model engines with their sidecars, servers of the plain service, and
// entries.
func startLedger(s *site) (entries []*process, err error) {
	s.putManifest([]route{loans, questions}, []service{{Name: "fokonyv"}, {Name: "tanacsado", Slots: 6}})
	for i := range engineCount {
		e := &engine{site: s, id: fmt.Sprintf("i-model-%d", i+1), service: "tanacsado", slots: 6, events: 70, work: 70 * time.Millisecond, interval: 25 * time.Millisecond}
		if err := e.start(); err != nil {
			return nil, err
		}
		if _, err := s.startSidecar(fmt.Sprintf("side-%d", i+1), e); err != nil {
			return nil, err
		}
	}
	for i := range serverCount {
		e := &engine{site: s, id: fmt.Sprintf("i-ledger-%d", i+1), service: "fokonyv", slots: 6, work: 60 * time.Millisecond}
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		p, err := s.startEntry(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	return entries, nil
}

var loan = call{method: "POST", path: "/loans/2f", body: "two pegs", deadline: 1500 * time.Millisecond}

// oddEntry lets another writer leave one entry with missing fields among the servers. It checks that no request
// runs at the address that the entry gives.
func oddEntry(s *site, trouble bool) (bool, error) {
	entries, err := startLedger(s)
	if err != nil {
		return false, err
	}
	// The other writer's own server. It belongs to no service of the manifest.
	other := &engine{site: s, id: "i-other", service: "proba", slots: 6, work: 60 * time.Millisecond}
	if err := other.listen(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	group := s.load(callerCount, ratePerSecond, entries, loan, stop)
	// Longer than contact_ms, so that the machines are in touch.
	time.Sleep(6 * time.Second)
	if trouble {
		fields := map[string]any{
			"service": "fokonyv", "address": other.address, "zone": "z", "version": "v1", "slots": 6, "state": "ready",
			"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		for _, name := range strings.Fields(missingFields()) {
			delete(fields, name)
		}
		value, err := json.Marshal(fields)
		if err != nil {
			return false, err
		}
		s.record.note("another writer leaves the entry %s: %s", other.id, value)
		s.store.Put(platform.TopicServers, other.id, value)
	}
	time.Sleep(observed)
	close(stop)
	group.Wait()
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	strayed := 0
	for id, runs := range s.record.runs {
		for _, run := range runs {
			if _, sent := s.record.sent[id]; sent && run.engine == other.id {
				strayed++
			}
		}
	}
	served := 0
	for _, result := range s.record.answers {
		if result.status == 200 && result.whole {
			served++
		}
	}
	if served < minServed {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	summary := fmt.Sprintf("ROUTE: %d of %d requests ran at the server of an entry with missing fields; %d were served", strayed, len(s.record.sent), served)
	s.record.line(time.Now(), "%s", summary)
	fmt.Println(summary)
	return strayed > 0, nil
}

// missingFields returns the names of the fields that the other writer's entry lacks.
func missingFields() string {
	if names := os.Getenv("MISSING"); names != "" {
		return names
	}
	return "version cold_left_ms sequence born"
}
