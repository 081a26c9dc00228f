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

// checkFixture is a testbed without processes whose recorded calls and runs are set by a test.
type checkFixture struct {
	checker   *checker
	start     time.Time
	entry     *machine
	callCount int
}

func newCheckFixture() *checkFixture {
	b := &testbed{recorder: newRecorder()}
	b.manifests.keys = map[string]keyLifetime{"key-open": {account: accountOpen}, "key-limited": {account: accountLimited}}
	began := time.Now()
	b.manifests.keys["key-gone"] = keyLifetime{account: accountOpen, until: began}
	return &checkFixture{checker: &checker{testbed: b}, start: began, entry: &machine{Machine: standin.Machine{Name: "entry-0"}}}
}

// addCall adds a call that was sent at an offset from the start and answered 10 ms later.
func (s *checkFixture) addCall(kind string, after time.Duration, status int) *call {
	s.callCount++
	call := &call{
		ID: fmt.Sprint("r", s.callCount), Kind: kind, Key: "key-open", Entry: s.entry, Tokens: plainTokens, Timeout: time.Second,
		Sent: s.start.Add(after), Ended: s.start.Add(after + 10*time.Millisecond), Status: status, Whole: status != 0,
	}
	if status == http.StatusOK {
		call.Stamp = "s"
	}
	s.checker.calls = append(s.checker.calls, call)
	return call
}

// addRun records a run of a call under the account of its key.
func (s *checkFixture) addRun(call *call) *call {
	account := accountOpen
	if call.Key == "key-limited" {
		account = accountLimited
	}
	s.checker.testbed.recorder.Ran(standin.Run{ID: call.ID, Account: account, Stamp: "s", Events: streamEvents})
	return call
}

func (s *checkFixture) addEvents(call *call, ids ...int) {
	for _, id := range ids {
		call.Events = append(call.Events, fmt.Sprintf("id: %d\ndata: %s %d", id, call.ID, id))
	}
}

func allEventIDs() []int {
	ids := make([]int, streamEvents)
	for i := range ids {
		ids[i] = i + 1
	}
	return ids
}

// TestChecksFindWhatTheyAreFor breaks each guarantee once, and checks that the matching violation
// is reported.
func TestChecksFindWhatTheyAreFor(t *testing.T) {
	for want, violate := range map[string]func(s *checkFixture){
		"":              func(s *checkFixture) { s.addEvents(s.addRun(s.addCall("stream", 0, 200)), allEventIDs()...) },
		"ran 2 times":   func(s *checkFixture) { s.addRun(s.addRun(s.addCall("unsafe", 0, 502))) },
		"and ran":       func(s *checkFixture) { s.addRun(s.addCall("unsafe", 0, 503)) },
		"none of its":   func(s *checkFixture) { s.addCall("unsafe", 0, 200) },
		"by no backend": func(s *checkFixture) { s.addRun(s.addCall("unsafe", 0, 200)).Stamp = "" },
		"another body":  func(s *checkFixture) { s.addRun(s.addCall("unsafe", 0, 200)).Body = "x" },
		"event 2":       func(s *checkFixture) { s.addEvents(s.addRun(s.addCall("stream", 0, 200)), 1, 3) },
		"complete after": func(s *checkFixture) {
			s.addEvents(s.addRun(s.addCall("stream", 0, 200)), 1, 2)
		},
		"for the account": func(s *checkFixture) {
			call := s.addCall("unsafe", 0, 502)
			s.checker.testbed.recorder.Ran(standin.Run{ID: call.ID, Account: accountLimited})
		},
		"taken away": func(s *checkFixture) {
			s.addRun(s.addCall("unsafe", standin.RevokeWithin+time.Second, 502)).Key = "key-gone"
		},
		"had no answer": func(s *checkFixture) {
			call := s.addCall("unsafe", 0, 0)
			call.Ended = call.Sent.Add(3 * time.Second)
		},
		"was cut": func(s *checkFixture) {
			call := s.addRun(s.addCall("stream", 0, 200))
			s.addEvents(call, 1, 2)
			call.Whole, call.Err = false, io.ErrUnexpectedEOF
			s.checker.faults = []fault{{Kind: "entry terminated", From: s.start, To: call.Ended}}
		},
		"by version 1": func(s *checkFixture) {
			s.addRun(s.addCall("version", 0, 200)).Version = 2
			s.addRun(s.addCall("version", time.Second, 502)).Version = 1
		},
		"began to drain": func(s *checkFixture) {
			server := &standin.Server{ID: "i"}
			s.checker.testbed.drains = []drainStart{{server, s.start}}
			call := s.addCall("unsafe", standin.DrainWithin+time.Second, 502)
			s.checker.testbed.recorder.Arrived(server, call.ID, call.Sent)
		},
		"limited account": func(s *checkFixture) {
			for range 300 {
				call := s.addCall("unsafe", 0, 502)
				call.Key = "key-limited"
				s.addRun(call)
			}
		},
		"repeated sends": func(s *checkFixture) {
			for range 100 {
				call := s.addCall("safe", 0, 502)
				s.checker.testbed.recorder.Arrived(&standin.Server{Service: servicePlain}, call.ID, call.Sent)
				s.checker.testbed.recorder.Arrived(&standin.Server{Service: servicePlain}, call.ID, call.Sent)
			}
		},
		"were served": func(s *checkFixture) { s.addCall("unsafe", time.Hour, 503) },
	} {
		c := qt.New(t)
		s := newCheckFixture()
		violate(s)
		recoveryStart := s.start
		if want != "were served" {
			// A good request after the faults satisfies the check of the recovery.
			recoveryStart = s.start.Add(time.Minute)
			s.addRun(s.addCall("unsafe", 2*time.Minute, 200))
		}
		s.checker.check(recoveryStart)
		text := strings.Join(s.checker.violations, "\n")
		if want == "" {
			c.Check(text, qt.Equals, "")
			continue
		}
		c.Check(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s: %s", want, text))
	}
}
