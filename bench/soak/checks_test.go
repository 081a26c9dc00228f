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
	start := time.Now()
	b.manifests.keys["key-gone"] = keyLifetime{account: accountOpen, until: start}
	return &checkFixture{checker: &checker{testbed: b}, start: start, entry: &machine{Machine: standin.Machine{Name: "entry-0"}}}
}

// addCall adds a call that was sent at an offset from the start and answered 10 ms later.
func (f *checkFixture) addCall(kind string, after time.Duration, status int) *call {
	f.callCount++
	call := &call{
		ID: fmt.Sprint("r", f.callCount), Kind: kind, Key: "key-open", Entry: f.entry, Tokens: plainTokens, Timeout: time.Second,
		Sent: f.start.Add(after), Ended: f.start.Add(after + 10*time.Millisecond), Status: status, Whole: status != 0,
	}
	if status == http.StatusOK {
		call.Signature = "s"
	}
	f.checker.calls = append(f.checker.calls, call)
	return call
}

// addRun records a run of a call under the account of its key.
func (f *checkFixture) addRun(call *call) *call {
	account := accountOpen
	if call.Key == "key-limited" {
		account = accountLimited
	}
	f.checker.testbed.recorder.RecordRun(standin.Run{ID: call.ID, Account: account, Signature: "s", Events: streamEvents})
	return call
}

func (f *checkFixture) addEvents(call *call, ids ...int) {
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
	for want, violate := range map[string]func(f *checkFixture){
		"":              func(f *checkFixture) { f.addEvents(f.addRun(f.addCall("stream", 0, 200)), allEventIDs()...) },
		"ran 2 times":   func(f *checkFixture) { f.addRun(f.addRun(f.addCall("unsafe", 0, 502))) },
		"and ran":       func(f *checkFixture) { f.addRun(f.addCall("unsafe", 0, 503)) },
		"none of its":   func(f *checkFixture) { f.addCall("unsafe", 0, 200) },
		"by no backend": func(f *checkFixture) { f.addRun(f.addCall("unsafe", 0, 200)).Signature = "" },
		"another body":  func(f *checkFixture) { f.addRun(f.addCall("unsafe", 0, 200)).Body = "x" },
		"event 2":       func(f *checkFixture) { f.addEvents(f.addRun(f.addCall("stream", 0, 200)), 1, 3) },
		"complete after": func(f *checkFixture) {
			f.addEvents(f.addRun(f.addCall("stream", 0, 200)), 1, 2)
		},
		"for the account": func(f *checkFixture) {
			call := f.addCall("unsafe", 0, 502)
			f.checker.testbed.recorder.RecordRun(standin.Run{ID: call.ID, Account: accountLimited})
		},
		"taken away": func(f *checkFixture) {
			f.addRun(f.addCall("unsafe", standin.RevokeWithin+time.Second, 502)).Key = "key-gone"
		},
		"had no answer": func(f *checkFixture) {
			call := f.addCall("unsafe", 0, 0)
			call.Ended = call.Sent.Add(3 * time.Second)
		},
		"was cut": func(f *checkFixture) {
			call := f.addRun(f.addCall("stream", 0, 200))
			f.addEvents(call, 1, 2)
			call.Whole, call.Err = false, io.ErrUnexpectedEOF
			f.checker.faults = []fault{{Kind: "entry terminated", From: f.start, To: call.Ended}}
		},
		"by version 1": func(f *checkFixture) {
			f.addRun(f.addCall("version", 0, 200)).Version = 2
			f.addRun(f.addCall("version", time.Second, 502)).Version = 1
		},
		"began to drain": func(f *checkFixture) {
			server := &standin.Server{ID: "i"}
			f.checker.testbed.drains = []drainStart{{server, f.start}}
			call := f.addCall("unsafe", standin.DrainWithin+time.Second, 502)
			f.checker.testbed.recorder.RecordArrival(server, call.ID, call.Sent)
		},
		"limited account": func(f *checkFixture) {
			for range 300 {
				call := f.addCall("unsafe", 0, 502)
				call.Key = "key-limited"
				f.addRun(call)
			}
		},
		"repeated sends": func(f *checkFixture) {
			for range 100 {
				call := f.addCall("safe", 0, 502)
				f.checker.testbed.recorder.RecordArrival(&standin.Server{Service: servicePlain}, call.ID, call.Sent)
				f.checker.testbed.recorder.RecordArrival(&standin.Server{Service: servicePlain}, call.ID, call.Sent)
			}
		},
		"were served": func(f *checkFixture) { f.addCall("unsafe", time.Hour, 503) },
	} {
		c := qt.New(t)
		f := newCheckFixture()
		violate(f)
		recoveryStart := f.start
		if want != "were served" {
			// A good request after the faults satisfies the check of the recovery.
			recoveryStart = f.start.Add(time.Minute)
			f.addRun(f.addCall("unsafe", 2*time.Minute, 200))
		}
		f.checker.check(recoveryStart)
		text := strings.Join(f.checker.violations, "\n")
		if want == "" {
			c.Check(text, qt.Equals, "")
			continue
		}
		c.Check(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s: %s", want, text))
	}
}
