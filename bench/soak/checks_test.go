package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// scene is a world in which nothing runs, for checks of what a test says was seen.
type scene struct {
	v     *verdict
	began time.Time
	entry *machine
	n     int
}

func newScene() *scene {
	w := &world{ledger: newLedger()}
	w.manifest.keys = map[string]keyLife{"key-open": {account: accountOpen}, "key-limited": {account: accountLimited}}
	began := time.Now()
	w.manifest.keys["key-gone"] = keyLife{account: accountOpen, until: began}
	return &scene{v: &verdict{w: w}, began: began, entry: &machine{Machine: standin.Machine{Name: "entry-0"}}}
}

// call adds a request that was sent some time after the beginning and answered at once.
func (s *scene) call(kind string, after time.Duration, status int) *call {
	s.n++
	one := &call{
		ID: fmt.Sprint("r", s.n), Kind: kind, Key: "key-open", Entry: s.entry, Tokens: plainTokens, Patience: time.Second,
		Sent: s.began.Add(after), Ended: s.began.Add(after + 10*time.Millisecond), Status: status, Whole: status != 0,
	}
	if status == http.StatusOK {
		one.Stamp = "s"
	}
	s.v.calls = append(s.v.calls, one)
	return one
}

// ran says that a request was run by a server of the open account.
func (s *scene) ran(one *call) *call {
	account := accountOpen
	if one.Key == "key-limited" {
		account = accountLimited
	}
	s.v.w.ledger.RecordRun(standin.Run{ID: one.ID, Account: account, Signature: "s", Events: streamEvents})
	return one
}

func (s *scene) events(one *call, ids ...int) {
	for _, id := range ids {
		one.Events = append(one.Events, fmt.Sprintf("id: %d\ndata: %s %d", id, one.ID, id))
	}
}

func all() []int {
	ids := make([]int, streamEvents)
	for i := range ids {
		ids[i] = i + 1
	}
	return ids
}

// TestChecksFindWhatTheyAreFor breaks each promise once.
func TestChecksFindWhatTheyAreFor(t *testing.T) {
	for want, breakIt := range map[string]func(s *scene){
		"":              func(s *scene) { s.events(s.ran(s.call("stream", 0, 200)), all()...) },
		"ran 2 times":   func(s *scene) { s.ran(s.ran(s.call("unsafe", 0, 502))) },
		"and ran":       func(s *scene) { s.ran(s.call("unsafe", 0, 503)) },
		"none of its":   func(s *scene) { s.call("unsafe", 0, 200) },
		"by no backend": func(s *scene) { s.ran(s.call("unsafe", 0, 200)).Stamp = "" },
		"another body":  func(s *scene) { s.ran(s.call("unsafe", 0, 200)).Body = "x" },
		"event 2":       func(s *scene) { s.events(s.ran(s.call("stream", 0, 200)), 1, 3) },
		"complete after": func(s *scene) {
			s.events(s.ran(s.call("stream", 0, 200)), 1, 2)
		},
		"for the account": func(s *scene) {
			one := s.call("unsafe", 0, 502)
			s.v.w.ledger.RecordRun(standin.Run{ID: one.ID, Account: accountLimited})
		},
		"taken away": func(s *scene) {
			s.ran(s.call("unsafe", standin.RevokeWithin+time.Second, 502)).Key = "key-gone"
		},
		"had no answer": func(s *scene) {
			one := s.call("unsafe", 0, 0)
			one.Ended = one.Sent.Add(3 * time.Second)
		},
		"was cut": func(s *scene) {
			one := s.ran(s.call("stream", 0, 200))
			s.events(one, 1, 2)
			one.Whole, one.Err = false, io.ErrUnexpectedEOF
			s.v.faults = []fault{{Kind: "entry terminated", From: s.began, To: one.Ended}}
		},
		"by version 1": func(s *scene) {
			s.ran(s.call("version", 0, 200)).Version = 2
			s.ran(s.call("version", time.Second, 502)).Version = 1
		},
		"began to drain": func(s *scene) {
			server := &standin.Server{ID: "i"}
			s.v.w.drains = []drain{{server, s.began}}
			one := s.call("unsafe", standin.DrainWithin+time.Second, 502)
			s.v.w.ledger.RecordArrival(server, one.ID, one.Sent)
		},
		"limited account": func(s *scene) {
			for range 300 {
				one := s.call("unsafe", 0, 502)
				one.Key = "key-limited"
				s.ran(one)
			}
		},
		"repeated sends": func(s *scene) {
			for range 100 {
				one := s.call("safe", 0, 502)
				s.v.w.ledger.RecordArrival(&standin.Server{Service: servicePlain}, one.ID, one.Sent)
				s.v.w.ledger.RecordArrival(&standin.Server{Service: servicePlain}, one.ID, one.Sent)
			}
		},
		"were served": func(s *scene) { s.call("unsafe", time.Hour, 503) },
	} {
		c := qt.New(t)
		s := newScene()
		breakIt(s)
		calm := s.began
		if want != "were served" {
			// One good request after the faults, for the check of the recovery.
			calm = s.began.Add(time.Minute)
			s.ran(s.call("unsafe", 2*time.Minute, 200))
		}
		s.v.check(calm)
		text := strings.Join(s.v.violations, "\n")
		if want == "" {
			c.Check(text, qt.Equals, "")
			continue
		}
		c.Check(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s: %s", want, text))
	}
}
