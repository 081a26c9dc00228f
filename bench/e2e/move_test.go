package e2e

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
	"github.com/lagoonlane/lagoonlane/bench/standin/logserver"
)

// Parameters of the move under test.
const (
	moveID       = "autumn"
	moveFinishBy = 60 * time.Second
	// chatCallers is enough traffic for the canary to gather evidence.
	chatCallers = 32
	chatTokens  = 8
)

// startChats runs chats in a closed loop until the returned function is called.
func startChats(s *site, answers *history) (stop func()) {
	ctx, cancel := context.WithCancel(s.c.Context())
	var callers sync.WaitGroup
	for i := range chatCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := "chat-" + strconv.Itoa(i) + "-" + strconv.Itoa(n)
				answers.add(id, s.client.Chat(s.c.Context(), caller.Chat{
					URL: s.EntryURLs()[(i+n)%2], Model: s.Spec.ModelRoute, Prompt: id, MaxTokens: chatTokens,
					Stream: true, Timeout: operationTimeout,
				}))
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// confirmMove plans and confirms the move from v1 to v2.
func (s *site) confirmMove() {
	plan := filepath.Join(s.c.TempDir(), "plan.json")
	out, err := s.Ctl(s.c.Context(), "move", "plan", "--id", moveID, "--pool", s.Spec.EnginePool,
		"--from", "v1", "--to", "v2", "--finish-by", moveFinishBy.String(), "--file", plan)
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	out, err = s.Ctl(s.c.Context(), "move", "confirm", plan)
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
}

// moveItem is a list item in the JSON output of lagoonctl.
type moveItem struct {
	Value moveView `json:"value"`
}

type moveView struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

// moveState returns the state of the move as reported by an entry.
func (s *site) moveState(url string) moveView {
	out, err := s.CtlAt(s.c.Context(), url, "--output", "json", "move", "list")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	var items []moveItem
	s.c.Assert(json.Unmarshal([]byte(out), &items), qt.IsNil, qt.Commentf("%s", out))
	for _, item := range items {
		if move := item.Value; move.ID == moveID {
			move.State = strings.TrimPrefix(move.State, "MOVE_STATE_")
			return move
		}
	}
	return moveView{}
}

// waitMove waits until the move reaches a state. It fails the test after the deadline.
func (s *site) waitMove(url, state string, deadline time.Time) {
	for {
		move := s.moveState(url)
		if strings.EqualFold(move.State, state) {
			return
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("the move is %+v at its deadline", move)
		}
		time.Sleep(4 * pollInterval)
	}
}

func TestMoveSurvivesItsDriversAndALogOutage(t *testing.T) {
	s := newSite(t)
	answers := &history{}
	stop := startChats(s, answers)
	time.Sleep(phaseTime)
	deadline := time.Now().Add(moveFinishBy)
	s.confirmMove()
	s.waitMove(s.EntryURLs()[0], "canary", deadline)
	s.c.Assert(s.SetSwitches(t.Context(), deploy.NameLog, logserver.Switches{Down: true}), qt.IsNil)
	time.Sleep(phaseTime)
	s.c.Assert(s.SetSwitches(t.Context(), deploy.NameLog, logserver.Switches{}), qt.IsNil)
	for _, name := range []string{"entry-1", "entry-2"} {
		entry := s.Process(name)
		s.c.Assert(entry.Kill(), qt.IsNil)
		_, err := entry.Wait(t.Context())
		s.c.Assert(err, qt.IsNil)
		time.Sleep(phaseTime)
		s.c.Assert(entry.Restart(t.Context()), qt.IsNil)
		s.eventually(name+" is ready", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return entry.WaitReady(ctx) == nil
		})
	}
	s.waitMove(s.EntryURLs()[1], "done", deadline)
	stop()
	s.c.Logf("outcomes: %v", answers.counts())
	s.c.Assert(answers.counts()[caller.OutcomeWrong], qt.Equals, 0)
	// Killing an entry cuts at most one answer of each caller.
	s.c.Assert(answers.counts()[caller.OutcomeCut] <= 2*chatCallers, qt.IsTrue)
}

func TestBadVersionIsTakenBack(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.FaultFail, engine.FaultSlow, engine.FaultCut} {
		t.Run(string(kind), func(t *testing.T) {
			s := newSite(t)
			fault := engine.Fault{Version: "v2", Kind: kind, Factor: 8}
			for i := range s.Spec.Engines {
				name := "engine-" + strconv.Itoa(i+1)
				s.c.Assert(s.SetSwitches(t.Context(), name, engine.Switches{Faults: []engine.Fault{fault}}), qt.IsNil)
			}
			answers := &history{}
			stop := startChats(s, answers)
			time.Sleep(phaseTime)
			deadline := time.Now().Add(moveFinishBy)
			s.confirmMove()
			s.waitMove(s.EntryURLs()[1], "reversed", deadline)
			stop()
			counts := answers.counts()
			affected := len(answers.results) - counts[caller.OutcomeWhole]
			s.c.Logf("outcomes: %v", counts)
			s.c.Assert(affected*20 <= len(answers.results), qt.IsTrue, qt.Commentf("%d of %d chats without a whole answer", affected, len(answers.results)))
		})
	}
}
