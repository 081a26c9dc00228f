package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const deadlyPart = "dead0001"

// requestParts sends a request with prompt parts and returns the status of its whole answer, or 0.
func (s *platformSite) requestParts(id string, parts ...string) int {
	callerRequest := standin.CallerRequest{ID: id, Key: "key-open", Timeout: 2 * time.Second, PromptTokens: 30, OutputTokens: 10, Parts: parts}
	r, err := http.NewRequestWithContext(s.c.Context(), http.MethodPost, "http://"+s.entry.machine.Front+"/stream/x", strings.NewReader("prompt"))
	s.c.Assert(err, qt.IsNil)
	r.Host, r.Header = standin.Host, callerRequest.Header()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// Guards against a prompt part that crashes engines, is known, and crashes as many again once all entries were killed,
// also if the store was away while the engines crashed.
func TestDeadlyPartIsKnownAfterAllEntriesWereKilled(t *testing.T) {
	for name, mode := range map[string]standin.StoreMode{"store": standin.StoreUp, "store away": standin.StoreUnavailable} {
		t.Run(name, func(t *testing.T) {
			s := newPlatformSite(t)
			s.engine.Events, s.engine.DeadlyPart = 3, deadlyPart
			s.start(s.sidecar, s.entry)
			lives := 1
			serves := func() {
				s.c.Helper()
				for i := 0; s.requestParts(fmt.Sprintf("sound-%d-%d", lives, i), "5a", "own") != http.StatusOK; i++ {
					s.c.Assert(i < 100, qt.IsTrue, qt.Commentf("no sound request is served: %s", s.log(s.entry)))
					time.Sleep(100 * time.Millisecond)
				}
			}
			restart := func() {
				s.c.Helper()
				s.store.SetMode(standin.StoreUp)
				s.c.Assert(s.entry.Restart(s.c.Context()), qt.IsNil)
				serves()
			}
			kill := func() {
				s.c.Helper()
				s.c.Assert(s.entry.Kill(), qt.IsNil)
				_, err := s.entry.Wait(s.c.Context())
				s.c.Assert(err, qt.IsNil)
			}
			// crash reports whether a request with the part has ended the engine. The entry is killed then, before the store is
			// back, and both start again.
			crash := func() bool {
				s.c.Helper()
				if s.requestParts(fmt.Sprint("deadly-", lives), "5a", deadlyPart, "own") == http.StatusServiceUnavailable {
					return false
				}
				lives++
				previous := s.engine
				s.engine = &standin.Server{
					ID: fmt.Sprint("engine-", lives), Service: serviceName, RegisteredAddress: previous.Address, Address: previous.Address,
					Slots: previous.Slots, Events: previous.Events, DeadlyPart: deadlyPart, StartedAt: time.Now(), Ledger: noopLedger{},
				}
				// The check of the entry finds the address closed, and what it has found is saved.
				time.Sleep(500 * time.Millisecond)
				kill()
				s.c.Assert(s.engine.Start(), qt.IsNil)
				s.c.Cleanup(s.engine.Stop)
				s.store.RemoveServer(previous.ID)
				s.store.PutServer(s.engine, 1, false)
				restart()
				return true
			}
			serves()
			for crashes := 1; ; crashes++ {
				s.store.SetMode(mode)
				if !crash() {
					break
				}
				s.c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes: %s", crashes, s.log(s.entry)))
			}
			for range 2 {
				kill()
				restart()
				s.c.Check(crash(), qt.IsFalse)
			}
		})
	}
}

// The same on the project's own interface, where sidecars keep what is known.
func TestDeadlyPromptIsKnownAfterAllEntriesWereKilledOnTheOwnInterface(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		s.c.Assert(s.SetSwitches(t.Context(), name, engine.Switches{DeadlyPrompt: "deadly"}), qt.IsNil)
	}
	system, deadly := strings.Repeat("system ", 50), strings.Repeat("deadly ", 60)
	sent := 0
	send := func(prompt string) caller.Result {
		sent++
		url := s.EntryURLs()[sent%2]
		return s.client.Chat(s.c.Context(), caller.Chat{URL: url, Model: "assistant", Prompt: prompt + fmt.Sprint("own ", sent), MaxTokens: 1, Timeout: operationTimeout})
	}
	isRefused := func() bool { return send(system+deadly).Outcome == caller.OutcomeNotRun }
	killAll := func() {
		for _, name := range []string{"entry-1", "entry-2"} {
			s.c.Assert(s.Process(name).Kill(), qt.IsNil)
			_, err := s.Process(name).Wait(t.Context())
			s.c.Assert(err, qt.IsNil)
		}
		for _, name := range []string{"entry-1", "entry-2"} {
			s.c.Assert(s.Process(name).Restart(t.Context()), qt.IsNil)
		}
		s.waitServing()
		// A prompt is told only after others were answered.
		for range 2 {
			s.c.Check(send(system).Outcome, qt.Equals, caller.OutcomeWhole)
		}
	}
	crashes := 0
	for ; !isRefused(); crashes++ {
		s.c.Assert(crashes < 4, qt.IsTrue, qt.Commentf("%d crashes", crashes))
		// Faults of one engine within two seconds count as one crash.
		time.Sleep(3 * time.Second)
		killAll()
	}
	for range 2 {
		killAll()
		for range 4 {
			s.c.Check(isRefused(), qt.IsTrue)
		}
		s.c.Check(send(system).Outcome, qt.Equals, caller.OutcomeWhole)
	}
}
