package main

import (
	"fmt"
	"os"
	"time"
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
	entryCount  = 2
)

// startLedger starts a small deployment: three servers of the plain service, model engines with their
// sidecars, and entries.
func startLedger(s *site) (servers []*engine, entries []*process, err error) {
	s.putManifest([]route{loans, questions}, []service{{Name: "fokonyv"}, {Name: "tanacsado", Slots: 6}})
	for i := range engineCount {
		e := &engine{site: s, id: fmt.Sprintf("i-model-%d", i+1), service: "tanacsado", slots: 6, events: 70, work: 70 * time.Millisecond, interval: 25 * time.Millisecond}
		if err := e.start(); err != nil {
			return nil, nil, err
		}
		if _, err := s.startSidecar(fmt.Sprintf("side-%d", i+1), e); err != nil {
			return nil, nil, err
		}
	}
	for i := range 3 {
		e := &engine{site: s, id: fmt.Sprintf("i-ledger-%d", i+1), service: "fokonyv", slots: 6, work: 60 * time.Millisecond}
		if err := e.start(); err != nil {
			return nil, nil, err
		}
		servers = append(servers, e)
	}
	for i := range entryCount {
		p, err := s.startEntry(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, p)
	}
	return servers, entries, nil
}

var loan = call{method: "POST", path: "/loans/2f", body: "two pegs", deadline: 1500 * time.Millisecond}

// twoLeave takes away two of three servers that never report draining: their entries are removed, and
// they continue serving for drain_ms and a little longer. It checks that no request reaches one of them
// later than drain_ms after the ack of its removal.
func twoLeave(s *site, trouble bool) (bool, error) {
	// The two serve for different times after drain_ms.
	longer := []time.Duration{100 * time.Millisecond, 3 * time.Second}
	// leaving is how many of the three leave. With one, the rule holds.
	leaving := 2
	if os.Getenv("LEAVING") == "1" {
		leaving = 1
	}
	servers, entries, err := startLedger(s)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	group := s.load(10, 400*time.Millisecond, entries, loan, stop)
	// Longer than contact_ms, so that the machines are in touch.
	time.Sleep(8 * time.Second)
	gone := map[string]time.Time{}
	if trouble {
		for i, e := range servers[:leaving] {
			gone[e.id] = e.leave()
			s.record.note("removed   the entry of %s", e.id)
			time.AfterFunc(time.Until(gone[e.id].Add(drainMS*time.Millisecond+longer[i])), func() {
				e.exit()
				s.record.note("exits     %s", e.id)
			})
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	late, lost := 0, 0
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	for _, a := range s.record.arrivals {
		ack, left := gone[a.engine]
		if !left || a.at.Sub(ack) <= drainMS*time.Millisecond {
			continue
		}
		late++
		result := s.record.answers[a.id]
		if !result.whole || result.status != 200 {
			lost++
		}
		s.record.line(a.at, "LATE      %s reaches %s %d ms after the ack of its removal; sent %d ms after it; answer: status %d",
			a.id, a.engine, a.at.Sub(ack).Milliseconds(), s.record.sent[a.id].Sub(ack).Milliseconds(), result.status)
	}
	served := 0
	for _, result := range s.record.answers {
		if result.status == 200 && result.whole {
			served++
		}
	}
	if served < 50 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	summary := fmt.Sprintf("DRAIN: %d requests reached a server that was gone for more than drain_ms; %d of them ran and have no answer of the server; %d of %d requests were served", late, lost, served, len(s.record.sent))
	s.record.line(time.Now(), "%s", summary)
	fmt.Println(summary)
	return late > 0, nil
}
