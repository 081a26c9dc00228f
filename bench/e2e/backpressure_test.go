package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// namedLimit is the request rate that the engine of the test names, in requests a second.
	namedLimit     = 1.3
	namedLimitText = "1.3"
	// limitNoticeTime is the time after the first answer with a limit from which on it must be kept.
	limitNoticeTime = 3 * time.Second
	// limitWindow is the window over which requests are counted. In it, an engine may get limitOvershoot times what its
	// limit allows, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// overloadTime is how long the callers of the test ask for more than the limit, offeredInterval the time between
	// two of their requests.
	overloadTime    = 14 * time.Second
	offeredInterval = 100 * time.Millisecond
	// minServedShare is the share of its limit that an engine must serve under a lasting overload.
	minServedShare = 0.8
)

// arrivals records when requests reach an engine.
type arrivals struct {
	noopLedger

	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) RecordArrival(_ *standin.Server, _ string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, at)
}

// most returns the largest number of arrivals in any window from a time on, and their total from then on.
func (a *arrivals) most(from time.Time, window time.Duration) (most, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, first := range a.at {
		if first.Before(from) {
			continue
		}
		total++
		n := 0
		for _, at := range a.at[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most, total
}

// Guards against sending an engine several times the request rate that it names in its answers (LIMIT).
func TestEngineGetsTheRequestRateThatItNames(t *testing.T) {
	s := newPlatformSite(t)
	counted := &arrivals{}
	limit := namedLimitText
	s.engine.Events, s.engine.Ledger = 3, counted
	s.engine.RateLimit.Store(&limit)
	s.start(s.sidecar, s.entry)
	first := time.Now()
	var requests sync.WaitGroup
	ticker := time.NewTicker(offeredInterval)
	defer ticker.Stop()
	for i := 0; time.Since(first) < overloadTime; i++ {
		requests.Go(func() { s.requestStream(fmt.Sprint("limited-", i)) })
		<-ticker.C
	}
	requests.Wait()
	most, total := counted.most(first.Add(limitNoticeTime), limitWindow)
	allowed := limitOvershoot*namedLimit*limitWindow.Seconds() + limitSlack
	s.c.Check(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, allowed %.1f", most, limitWindow, allowed))
	served := minServedShare * namedLimit * (overloadTime - limitNoticeTime).Seconds()
	s.c.Check(float64(total) >= served, qt.IsTrue, qt.Commentf("%d requests in %v, at least %.1f expected", total, overloadTime-limitNoticeTime, served))
}

// streamAnswer is the head of an answer; its status is 0 if there was none.
type streamAnswer struct {
	status     int
	retryAfter time.Duration
}

// requestStream requests a stream, discards its events and returns the head of the answer.
func (s *platformSite) requestStream(id string) streamAnswer {
	callerRequest := standin.CallerRequest{ID: id, Key: "key-open", Timeout: 2 * time.Second, PromptTokens: 100, OutputTokens: 10}
	r, err := http.NewRequestWithContext(s.c.Context(), http.MethodPost, "http://"+s.entry.machine.Front+"/stream/x", strings.NewReader("prompt"))
	s.c.Assert(err, qt.IsNil)
	r.Host, r.Header = standin.Host, callerRequest.Header()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return streamAnswer{}
	}
	answer.Body.Close()
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	return streamAnswer{status: answer.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// Guards against sending requests to an engine that has said in an answer that it is leaving, while the store, which
// would say so too, is away (DRAIN).
func TestEngineThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	s := newPlatformSite(t)
	counted := &arrivals{}
	s.engine.Events, s.engine.Ledger = 3, counted
	s.start(s.sidecar, s.entry)
	s.store.SetMode(standin.StoreHanging)
	s.engine.Leaving.Store(true)
	s.requestStream("leaving")
	told := time.Now()
	for i := range 20 {
		s.requestStream(fmt.Sprint("after-", i))
		time.Sleep(50 * time.Millisecond)
	}
	_, total := counted.most(told, limitWindow)
	s.c.Check(total, qt.Equals, 0)
}

// Guards against asking an engine again that has turned a request away and said for how long (BUDGET).
func TestEngineThatTurnsRequestsAwayIsLeftAlone(t *testing.T) {
	s := newPlatformSite(t)
	counted := &arrivals{}
	s.engine.Events, s.engine.Ledger = 3, counted
	retryAfter := "2.5"
	s.engine.TurnAway.Store(&retryAfter)
	s.start(s.sidecar, s.entry)
	s.requestStream("turned-away")
	told := time.Now()
	for i := 0; time.Since(told) < 2300*time.Millisecond; i++ {
		answer := s.requestStream(fmt.Sprint("after-", i))
		s.c.Check(answer.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Check(answer.retryAfter > 0 && answer.retryAfter <= 2500*time.Millisecond-time.Since(told)+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v after %v", answer.retryAfter, time.Since(told)))
		time.Sleep(50 * time.Millisecond)
	}
	_, total := counted.most(told, limitWindow)
	s.c.Check(total, qt.Equals, 0)
	s.engine.TurnAway.Store(nil)
	time.Sleep(500 * time.Millisecond)
	s.c.Check(s.requestStream("back").status, qt.Equals, http.StatusOK)
}
