package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
)

func init() {
	cases["batch"] = func(b *bed) (bool, error) { return poison(b, batchPlan) }
	cases["deep"] = func(b *bed) (bool, error) { return poison(b, deepPlan) }
}

const (
	poisonEngines = 9
	engineSlots   = 6
	// engineBack is how long an engine is down after a crash, prefill the time before its answer begins.
	engineBack = 2 * time.Second
	prefill    = 40 * time.Millisecond
	// crashesBeforeBound and requestsAllowed are those of the rule.
	crashesBeforeBound = 5
	requestsAllowed    = 3
	poisonPart         = "badc0de5"
	// soundPause is the time between two requests without the part.
	soundPause = 250 * time.Millisecond
)

// poisonPlan says how requests with the part come: rounds of so many at once, apart from each other, with so many shared
// parts before it.
type poisonPlan struct {
	rounds, atOnce, before int
	pause                  time.Duration
}

var (
	batchPlan = poisonPlan{rounds: 6, atOnce: 8, before: 1, pause: 6 * time.Second}
	deepPlan  = poisonPlan{rounds: 24, atOnce: 1, before: 17, pause: 1500 * time.Millisecond}
)

// poisonSite counts what reaches the engines.
type poisonSite struct {
	b       *bed
	mu      sync.Mutex
	crashes []time.Time
	// ended holds the ids of the lifetimes that have crashed.
	ended map[string]bool
	// late counts the requests with the part that reached an engine later than contact_ms after the fifth crash.
	late, reached int
}

// arrived counts a request with the part that has reached an engine.
func (s *poisonSite) arrived(e *engine, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
	isLate := len(s.crashes) >= crashesBeforeBound && time.Since(s.crashes[crashesBeforeBound-1]) > contactTime
	if isLate {
		s.late++
	}
	s.b.note("request %s with the part reaches %s; later than contact_ms after the fifth crash: %v", id, e.id, isLate)
}

// crash ends the engine's process, once. Some seconds later another lifetime begins at its address.
func (s *poisonSite) crash(e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[e.id] {
		return
	}
	s.ended[e.id] = true
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.b.note("%s crashes, crash number %d", e.id, n)
	e.crash()
	time.AfterFunc(registrationLife, func() { s.b.store.Put(platform.TopicServers, e.id, nil) })
	time.AfterFunc(engineBack, func() {
		if s.b.ctx.Err() != nil {
			return
		}
		if _, err := s.startEngine(fmt.Sprintf("i-%d-%d", e.index, n), e.index); err != nil {
			s.b.note("no engine at address %d: %v", e.index, err)
		}
	})
}

// startEngine starts a lifetime of the engine at an address.
func (s *poisonSite) startEngine(id string, index int) (*engine, error) {
	e := &engine{bed: s.b, id: id, service: "model", index: index, slots: engineSlots, model: true}
	e.handle = func(w http.ResponseWriter, r *http.Request, id string) { s.serve(e, w, r, id) }
	return e, e.start()
}

// serve answers a request, or crashes the engine as it begins to write an answer on the part.
func (s *poisonSite) serve(e *engine, w http.ResponseWriter, r *http.Request, id string) {
	parts := strings.Split(r.Header.Get(`Lagoonlane-Prefix-Hash`), ",")
	hasPart := false
	for _, part := range parts[:len(parts)-1] {
		hasPart = hasPart || strings.HasPrefix(part, poisonPart+":")
	}
	if hasPart {
		s.arrived(e, id)
	}
	s.b.note("request %s runs at %s", id, e.id)
	time.Sleep(prefill)
	if hasPart && s.b.trouble {
		s.crash(e)
		panic(http.ErrAbortHandler)
	}
	e.answerStream(w, r, id, 40, 20*time.Millisecond)
}

// prompt returns the header of the n-th prompt: shared parts, the given part if it isn't empty, and one of its own.
func prompt(n, before int, part string) string {
	var parts []string
	for i := range before {
		parts = append(parts, fmt.Sprintf("5c1e07%02x:20", i))
	}
	if part != "" {
		parts = append(parts, part+":20")
	}
	return `Lagoonlane-Prefix-Hash: ` + strings.Join(append(parts, fmt.Sprintf("e44%05x:50", n)), ",")
}

// poison: requests with one part of a prompt crash the engines that begin to answer them.
func poison(b *bed, plan poisonPlan) (bool, error) {
	s := &poisonSite{b: b, ended: map[string]bool{}}
	b.manifest("desk", "model", engineSlots)
	var processes []*process
	for i := range poisonEngines {
		if _, err := s.startEngine(fmt.Sprintf("i-%d", 20+i), 20+i); err != nil {
			return false, err
		}
		processes = append(processes, b.sidecar(20+i))
	}
	entries := []*process{b.entry(10), b.entry(11), b.entry(12)}
	if err := b.startAll(append(processes, entries...)...); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var all sync.WaitGroup
	n := 0
	ask := func(part string) {
		n++
		entry, number := entries[n%len(entries)], n
		all.Go(func() {
			r := request{id: newID(), method: http.MethodPost, path: "/stream/x", body: "prompt", timeout: 6 * time.Second, headers: []string{
				`Lagoonlane-Model: m`, fmt.Sprintf(`Lagoonlane-Token-Count: %d,200`, 20*plan.before+70), prompt(number, plan.before, part),
			}}
			a := send(entry, r)
			b.note("request %s, with the part %q, at %s: %v", r.id, part, entry.name, a)
		})
	}
	// Sound requests share the caller and the other parts.
	soundFor := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(soundPause) {
			ask("")
		}
	}
	soundFor(contactTime)
	for range plan.rounds {
		for range plan.atOnce {
			ask(poisonPart)
		}
		soundFor(plan.pause)
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	b.note("%d requests with the part reached engines, %d crashes; %d reached later than contact_ms after the fifth crash, allowed are %d", s.reached, len(s.crashes), s.late, requestsAllowed)
	return s.late > requestsAllowed, nil
}
