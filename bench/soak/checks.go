package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// revertSlack is how long after an entry has served a version it may still serve an older one.
	revertSlack = 250 * time.Millisecond
	// Limits are checked in sliding windows. A window may hold limitTolerance times the tokens
	// that rate and burst allow, plus limitSlack times the burst.
	limitWindow    = 8 * time.Second
	limitTolerance = 1.1
	limitSlack     = 3
	// settleTime is the time between the last fault and the check that requests are served
	// normally.
	settleTime = 3 * time.Second
	// minServedShare is the share of requests that must be served after settleTime.
	minServedShare = 0.95
	// maxViolations bounds the number of reported violations.
	maxViolations = 20
)

// checker checks what callers and backend servers recorded.
type checker struct {
	testbed    *testbed
	calls      []*call
	faults     []fault
	violations []string
}

func (ck *checker) fail(format string, args ...any) {
	if len(ck.violations) < maxViolations {
		ck.violations = append(ck.violations, fmt.Sprintf(format, args...))
	}
}

// check checks all guarantees. Callers and backend servers must have stopped.
func (ck *checker) check(recoveryStart time.Time) {
	sort.Slice(ck.calls, func(i, j int) bool { return ck.calls[i].Sent.Before(ck.calls[j].Sent) })
	for _, call := range ck.calls {
		ck.checkOnce(call)
		ck.checkRefusal(call)
		ck.checkAnswer(call)
		ck.checkKey(call)
		ck.checkAnsweredInTime(call)
		ck.checkCut(call)
	}
	ck.checkVersions()
	ck.checkDrains()
	ck.checkLimit()
	ck.checkRepeats()
	ck.checkRecovery(recoveryStart)
}

func (ck *checker) runs(call *call) []standin.Run { return ck.testbed.recorder.runs[call.ID] }

// checkOnce checks that a request that must not be repeated ran at most once.
func (ck *checker) checkOnce(call *call) {
	if n := len(ck.runs(call)); n > 1 && call.Kind != "safe" && call.Kind != "resume" {
		ck.fail("%s (%s) ran %d times", call.ID, call.Kind, n)
	}
}

// checkRefusal checks that a request did not run if its response status promises so.
func (ck *checker) checkRefusal(call *call) {
	switch call.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(ck.runs(call)) > 0 {
			ck.fail("%s (%s) was answered %d by %s and ran", call.ID, call.Kind, call.Status, call.Entry.Name)
		}
	}
}

// checkAnswer checks that a signed answer belongs to a run of the request, and that an answer with
// status 200 is signed and has the content that its backend server sent, complete and in order.
func (ck *checker) checkAnswer(call *call) {
	if call.Status == 0 {
		return
	}
	i := slices.IndexFunc(ck.runs(call), func(r standin.Run) bool { return r.Signature == call.Signature })
	switch {
	case call.Signature != "" && i < 0:
		ck.fail("%s (%s) bears a signature of none of its runs", call.ID, call.Kind)
	case call.Signature == "" && call.Status == http.StatusOK:
		ck.fail("%s (%s) was answered 200 by no backend server", call.ID, call.Kind)
	case call.Status != http.StatusOK:
	case call.isStream():
		ck.checkEvents(call)
	case call.Whole && call.Body != ck.runs(call)[i].Body:
		ck.fail("%s (%s) got another body than its backend server gave", call.ID, call.Kind)
	}
}

func (ck *checker) checkEvents(call *call) {
	for i, event := range call.Events {
		if want := fmt.Sprintf("id: %d\ndata: %s %d", i+1, call.ID, i+1); event != want {
			ck.fail("%s (%s): event %d is %q", call.ID, call.Kind, i+1, event)
			return
		}
	}
	if call.Whole && len(call.Events) != streamEvents {
		ck.fail("%s (%s) ended as complete after %d of %d events", call.ID, call.Kind, len(call.Events), streamEvents)
	}
}

// checkKey checks that a request ran for the account of its key, and that no request ran that was
// sent longer than standin.RevokeWithin after the revocation of its key.
func (ck *checker) checkKey(call *call) {
	lifetime := ck.testbed.manifests.lifetime(call.Key)
	for _, run := range ck.runs(call) {
		if run.Account != lifetime.account {
			ck.fail("%s ran for the account %q, its key is that of %q", call.ID, run.Account, lifetime.account)
		}
		if late := call.Sent.Sub(lifetime.until); !lifetime.until.IsZero() && late > standin.RevokeWithin {
			ck.fail("%s ran at %s with a key that was taken away %v before", call.ID, call.Entry.Name, late)
		}
	}
}

// checkAnsweredInTime checks that a request was answered within answerSlack after its deadline,
// unless a fault affected an entry in the meantime.
func (ck *checker) checkAnsweredInTime(call *call) {
	if call.Ended.Sub(call.Sent) < call.Timeout+answerSlack || ck.overlapsFault(call.Sent, call.Ended, "entry") {
		return
	}
	ck.fail("%s (%s) had no answer of %s after %v", call.ID, call.Kind, call.Entry.Name, call.Ended.Sub(call.Sent))
}

// checkCut checks that a started stream was not cut before its deadline by signals that stop or
// reload its entry. Faults that kill, pause or disconnect a component on its path may cut it.
func (ck *checker) checkCut(call *call) {
	if !call.isStream() || call.Status != http.StatusOK || call.Whole || call.Ended.Sub(call.Sent) >= call.Timeout {
		return
	}
	if ck.overlapsFault(call.Sent.Add(-maxFaultDuration), call.Ended, "entry killed", "entry paused", "sidecar killed", "sidecar paused", "server", "link to a server") {
		return
	}
	ck.fail("%s (%s) was cut by %s after %d events: %v", call.ID, call.Kind, call.Entry.Name, len(call.Events), call.Err)
}

// overlapsFault reports whether a fault whose kind has one of the prefixes overlaps a time span.
func (ck *checker) overlapsFault(from, to time.Time, prefixes ...string) bool {
	for _, f := range ck.faults {
		for _, prefix := range prefixes {
			if strings.HasPrefix(f.Kind, prefix) && f.From.Before(to) && f.To.After(from) {
				return true
			}
		}
	}
	return false
}

// checkVersions checks that an entry that has served a version does not serve an older one later.
func (ck *checker) checkVersions() {
	type observation struct {
		version int
		at      time.Time
	}
	seen := map[string][]observation{}
	name := func(call *call) string { return fmt.Sprint(call.Entry.Name, " ", call.Incarnation) }
	for _, call := range ck.calls {
		if call.Kind == "version" && call.Status == http.StatusOK {
			seen[name(call)] = append(seen[name(call)], observation{call.Version, call.Ended})
		}
	}
	for _, call := range ck.calls {
		if call.Kind != "version" || len(ck.runs(call)) == 0 {
			continue
		}
		for _, s := range seen[name(call)] {
			if s.version > call.Version && call.Sent.Sub(s.at) > revertSlack {
				ck.fail("%s ran by version %d at %s, %v after version %d was served there", call.ID, call.Version, name(call), call.Sent.Sub(s.at), s.version)
			}
		}
	}
}

// checkDrains checks that no request is sent to a draining server after the bound on draining.
// Entries that were disconnected or stopped meanwhile may have missed the change, so drains that
// overlap such faults are skipped.
func (ck *checker) checkDrains() {
	for _, drain := range ck.testbed.drains {
		bound := drain.at.Add(standin.DrainWithin)
		if ck.overlapsFault(drain.at.Add(-time.Second), bound.Add(time.Second), "entry", "link to the store", "store") {
			continue
		}
		for _, call := range ck.calls {
			for _, a := range ck.testbed.recorder.arrivals[call.ID] {
				if a.server == drain.server && call.Sent.After(bound) {
					ck.fail("%s reached %s, sent %v after that began to drain", call.ID, drain.server.ID, call.Sent.Sub(drain.at))
				}
			}
		}
	}
}

// checkLimit checks that the limited account does not exceed its limit over all entries.
func (ck *checker) checkLimit() {
	type spending struct {
		at     time.Time
		tokens int
	}
	var all []spending
	for _, call := range ck.calls {
		for range ck.runs(call) {
			if call.Key == "key-limited" {
				all = append(all, spending{call.Sent, call.Tokens})
				break
			}
		}
	}
	allowed := (limitedRate*limitWindow.Seconds()+limitedBurst)*limitTolerance + limitSlack*limitedBurst
	for i, first := range all {
		sum := 0
		for _, spend := range all[i:] {
			if spend.at.Sub(first.at) < limitWindow {
				sum += spend.tokens
			}
		}
		if float64(sum) > allowed {
			ck.fail("the limited account got %d tokens in a window, %v are allowed", sum, allowed)
			return
		}
	}
}

// checkRepeats checks that repeated sends stay within the retry budget that all entries share.
func (ck *checker) checkRepeats() {
	requests, repeats := map[string]int{}, map[string]int{}
	for _, call := range ck.calls {
		service := servicePlain
		if call.isStream() {
			service = serviceEngine
		}
		requests[service]++
		if n := len(ck.testbed.recorder.arrivals[call.ID]); n > 1 {
			repeats[service] += n - 1
		}
	}
	for service, n := range repeats {
		if allowed := standin.RetryRatio*float64(requests[service]) + standin.RetrySlack; float64(n) > allowed {
			ck.fail("%s got %d repeated sends for %d requests", service, n, requests[service])
		}
	}
}

// checkRecovery checks that requests sent from a time on are served normally.
func (ck *checker) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, call := range ck.calls {
		if call.Sent.Before(from) || call.Key != "key-open" || call.Kind == "version" {
			continue
		}
		sent++
		if call.Status == http.StatusOK && call.Whole {
			served++
		}
	}
	if float64(served) < minServedShare*float64(sent) || sent == 0 {
		ck.fail("after the faults %d of %d requests were served", served, sent)
	}
}
