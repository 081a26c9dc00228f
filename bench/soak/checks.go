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
	// revertSlack is how long after a version was seen at an entry an older one may still
	// be served there.
	revertSlack = 250 * time.Millisecond
	// Limits are checked in windows: tokens beyond limitPart of what the limit allows, and
	// limitSlack times its burst, are too many.
	limitWindow = 8 * time.Second
	limitPart   = 1.1
	limitSlack  = 3
	// settle is the time after the last fault until requests are served as usual.
	settle = 3 * time.Second
	// servedPart of the requests after that must be served.
	servedPart = 0.95
	// maxViolations bounds the report.
	maxViolations = 20
)

// verdict checks what callers and backend servers saw.
type verdict struct {
	w          *world
	calls      []*call
	faults     []fault
	violations []string
}

func (v *verdict) fail(format string, args ...any) {
	if len(v.violations) < maxViolations {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// check checks all promises. Nothing may run any more.
func (v *verdict) check(calmFrom time.Time) {
	sort.Slice(v.calls, func(i, j int) bool { return v.calls[i].Sent.Before(v.calls[j].Sent) })
	for _, one := range v.calls {
		v.checkOnce(one)
		v.checkRefusal(one)
		v.checkAnswer(one)
		v.checkKey(one)
		v.checkAnsweredInTime(one)
		v.checkCut(one)
	}
	v.checkVersions()
	v.checkDrains()
	v.checkLimit()
	v.checkRepeats()
	v.checkRecovery(calmFrom)
}

func (v *verdict) runs(one *call) []standin.Run { return v.w.ledger.runs[one.ID] }

// checkOnce: a request that may not be repeated runs at most once.
func (v *verdict) checkOnce(one *call) {
	if n := len(v.runs(one)); n > 1 && one.Kind != "safe" && one.Kind != "resume" {
		v.fail("%s (%s) ran %d times", one.ID, one.Kind, n)
	}
}

// checkRefusal: a refusal that promises that the request has not run is true.
func (v *verdict) checkRefusal(one *call) {
	switch one.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(v.runs(one)) > 0 {
			v.fail("%s (%s) was answered %d by %s and ran", one.ID, one.Kind, one.Status, one.Entry.Name)
		}
	}
}

// checkAnswer: what looks like a whole answer is the backend server's, whole and in order.
func (v *verdict) checkAnswer(one *call) {
	if one.Status == 0 {
		return
	}
	i := slices.IndexFunc(v.runs(one), func(r standin.Run) bool { return r.Signature == one.Stamp })
	switch {
	case one.Stamp != "" && i < 0:
		v.fail("%s (%s) bears a signature of none of its runs", one.ID, one.Kind)
	case one.Stamp == "" && one.Status == http.StatusOK:
		v.fail("%s (%s) was answered 200 by no backend server", one.ID, one.Kind)
	case one.Status != http.StatusOK:
	case one.stream():
		v.checkEvents(one)
	case one.Whole && one.Body != v.runs(one)[i].Body:
		v.fail("%s (%s) got another body than its backend server gave", one.ID, one.Kind)
	}
}

func (v *verdict) checkEvents(one *call) {
	for i, event := range one.Events {
		if want := fmt.Sprintf("id: %d\ndata: %s %d", i+1, one.ID, i+1); event != want {
			v.fail("%s (%s): event %d is %q", one.ID, one.Kind, i+1, event)
			return
		}
	}
	if one.Whole && len(one.Events) != streamEvents {
		v.fail("%s (%s) ended as complete after %d of %d events", one.ID, one.Kind, len(one.Events), streamEvents)
	}
}

// checkKey: a request runs for the account of its key, and not once the key is gone.
func (v *verdict) checkKey(one *call) {
	life := v.w.manifest.life(one.Key)
	for _, run := range v.runs(one) {
		if run.Account != life.account {
			v.fail("%s ran for the account %q, its key is that of %q", one.ID, run.Account, life.account)
		}
		if late := one.Sent.Sub(life.until); !life.until.IsZero() && late > standin.RevokeWithin {
			v.fail("%s ran at %s with a key that was taken away %v before", one.ID, one.Entry.Name, late)
		}
	}
}

// checkAnsweredInTime: a request has its answer when its caller's patience is over, unless
// its entry was stopped in the meantime.
func (v *verdict) checkAnsweredInTime(one *call) {
	if one.Ended.Sub(one.Sent) < one.Patience+answerSlack || v.disturbed(one.Sent, one.Ended, "entry") {
		return
	}
	v.fail("%s (%s) had no answer of %s after %v", one.ID, one.Kind, one.Entry.Name, one.Ended.Sub(one.Sent))
}

// checkCut: a stream that has begun is not cut by signals that ask its entry to stop or to
// reload. What kills, pauses or cuts off something on its way may cut it.
func (v *verdict) checkCut(one *call) {
	if !one.stream() || one.Status != http.StatusOK || one.Whole || one.Ended.Sub(one.Sent) >= one.Patience {
		return
	}
	if v.disturbed(one.Sent.Add(-longestFault), one.Ended, "entry killed", "entry paused", "sidecar killed", "sidecar paused", "server", "link to a server") {
		return
	}
	v.fail("%s (%s) was cut by %s after %d events: %v", one.ID, one.Kind, one.Entry.Name, len(one.Events), one.Err)
}

// disturbed reports whether faults whose kinds have one of some prefixes were there in a span.
func (v *verdict) disturbed(from, to time.Time, prefixes ...string) bool {
	for _, f := range v.faults {
		for _, prefix := range prefixes {
			if strings.HasPrefix(f.Kind, prefix) && f.From.Before(to) && f.To.After(from) {
				return true
			}
		}
	}
	return false
}

// checkVersions: an entry that has served a version serves no older one later.
func (v *verdict) checkVersions() {
	type seenAt struct {
		version int
		at      time.Time
	}
	seen := map[string][]seenAt{}
	name := func(one *call) string { return fmt.Sprint(one.Entry.Name, " ", one.Incarnation) }
	for _, one := range v.calls {
		if one.Kind == "version" && one.Status == http.StatusOK {
			seen[name(one)] = append(seen[name(one)], seenAt{one.Version, one.Ended})
		}
	}
	for _, one := range v.calls {
		if one.Kind != "version" || len(v.runs(one)) == 0 {
			continue
		}
		for _, s := range seen[name(one)] {
			if s.version > one.Version && one.Sent.Sub(s.at) > revertSlack {
				v.fail("%s ran by version %d at %s, %v after version %d was served there", one.ID, one.Version, name(one), one.Sent.Sub(s.at), s.version)
			}
		}
	}
}

// checkDrains: nothing is sent to a draining server after its time. Entries that were cut
// off or stopped meanwhile can't know.
func (v *verdict) checkDrains() {
	for _, drain := range v.w.drains {
		bound := drain.at.Add(standin.DrainWithin)
		if v.disturbed(drain.at.Add(-time.Second), bound.Add(time.Second), "entry", "link to the store", "store") {
			continue
		}
		for _, one := range v.calls {
			for _, a := range v.w.ledger.arrivals[one.ID] {
				if a.server == drain.server && one.Sent.After(bound) {
					v.fail("%s reached %s, sent %v after that began to drain", one.ID, drain.server.ID, one.Sent.Sub(drain.at))
				}
			}
		}
	}
}

// checkLimit: the limited account gets no more than its limit over all entries.
func (v *verdict) checkLimit() {
	type spent struct {
		at     time.Time
		tokens int
	}
	var all []spent
	for _, one := range v.calls {
		for range v.runs(one) {
			if one.Key == "key-limited" {
				all = append(all, spent{one.Sent, one.Tokens})
				break
			}
		}
	}
	allowed := (limitedRate*limitWindow.Seconds()+limitedBurst)*limitPart + limitSlack*limitedBurst
	for i, first := range all {
		sum := 0
		for _, one := range all[i:] {
			if one.at.Sub(first.at) < limitWindow {
				sum += one.tokens
			}
		}
		if float64(sum) > allowed {
			v.fail("the limited account got %d tokens in a window, %v are allowed", sum, allowed)
			return
		}
	}
}

// checkRepeats: repeated sends keep to the budget that all entries share.
func (v *verdict) checkRepeats() {
	requests, repeats := map[string]int{}, map[string]int{}
	for _, one := range v.calls {
		service := servicePlain
		if one.stream() {
			service = serviceEngine
		}
		requests[service]++
		if n := len(v.w.ledger.arrivals[one.ID]); n > 1 {
			repeats[service] += n - 1
		}
	}
	for service, n := range repeats {
		if allowed := standin.RetryRatio*float64(requests[service]) + standin.RetrySlack; float64(n) > allowed {
			v.fail("%s got %d repeated sends for %d requests", service, n, requests[service])
		}
	}
}

// checkRecovery: some time after the last fault requests are served as usual.
func (v *verdict) checkRecovery(from time.Time) {
	asked, served := 0, 0
	for _, one := range v.calls {
		if one.Sent.Before(from) || one.Key != "key-open" || one.Kind == "version" {
			continue
		}
		asked++
		if one.Status == http.StatusOK && one.Whole {
			served++
		}
	}
	if float64(served) < servedPart*float64(asked) || asked == 0 {
		v.fail("after the faults %d of %d requests were served", served, asked)
	}
}
