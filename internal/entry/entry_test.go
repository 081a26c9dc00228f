package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

func stringsReader(s string) io.Reader { return strings.NewReader(s) }

const (
	chatBody   = `{"model":"pegs","messages":[{"role":"user","content":"how many pegs?"}]}`
	streamBody = `{"model":"pegs","stream":true,"messages":[{"role":"user","content":"how many pegs?"}]}`
)

// bubble runs a test in a synctest bubble with virtual time. Its cleanups stop the cell before the
// bubble ends.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// decodeProblem checks that a response is a problem and decodes it.
func decodeProblem(t *testing.T, response *http.Response, body string) problemBody {
	t.Helper()
	qt.Assert(t, response.Header.Get("Content-Type"), qt.Equals, problemContentType)
	var problem problemBody
	qt.Assert(t, json.Unmarshal([]byte(body), &problem), qt.IsNil)
	qt.Assert(t, problem.Status, qt.Equals, response.StatusCode)
	return problem
}

func TestChatAnswerIsComplete(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "application/json", `{"choices":`, `[1]}`)...)
		cell := newTestCell(t, nil, lane)
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, 200)
		qt.Assert(t, body, qt.Equals, `{"choices":[1]}`)
		qt.Assert(t, response.ContentLength, qt.Equals, int64(len(body)))
		qt.Assert(t, lane.bodies, qt.DeepEquals, []string{chatBody})
		qt.Assert(t, lane.reserves[0].GetVersion(), qt.Equals, "v1")
		qt.Assert(t, lane.reserves[0].GetBudgetMs(), qt.Equals, uint32(10_000))
	})
}

func TestEventStreamPassesInOrder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "text/event-stream", "data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")...)
		lane.frameInterval = 100 * time.Millisecond
		cell := newTestCell(t, nil, lane)
		start := time.Now()
		response, err := cell.client.Do(cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		first := make([]byte, len("data: 1\n\n"))
		_, err = io.ReadFull(response.Body, first)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start), qt.Equals, 200*time.Millisecond)
		rest, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(first)+string(rest), qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
	})
}

func TestBrokenStreamIsResumed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "text/event-stream", "data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")...)
		lane.breakAfter = 2
		cell := newTestCell(t, nil, lane)
		_, body, err := cell.do(t, cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
		qt.Assert(t, lane.resumes, qt.Equals, 1)
		qt.Assert(t, len(lane.bodies), qt.Equals, 1)
	})
}

// Guards against callers that look for the closing error event after a blank line, and miss it where nothing came before.
func TestErrorEventFollowsABlankLineWhereItIsTheFirst(t *testing.T) {
	for _, sent := range []string{"", ": opening\n", "data: 1\n\n", "data: half"} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				frames := answerFrames(200, "text/event-stream", sent)
				frames[2] = faultFrame(lanepb.Outcome_OUTCOME_FAILED, 0)
				cell := newTestCell(t, nil, newFakeLane("e1", frames...))
				_, body, err := cell.do(t, cell.request(t, "POST", chatPath, streamBody))
				qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
				qt.Assert(t, body, qt.Contains, "\n\nevent: error\ndata: {")
			})
		})
	}
}

func TestCutEventStreamNeverLooksWhole(t *testing.T) {
	bubble(t, func(t *testing.T) {
		frames := answerFrames(200, "text/event-stream", "data: 1\n\n")
		frames[2] = faultFrame(lanepb.Outcome_OUTCOME_FAILED, 0)
		cell := newTestCell(t, nil, newFakeLane("e1", frames...))
		_, body, err := cell.do(t, cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
		qt.Assert(t, body, qt.Contains, "event: error\ndata: {")
		qt.Assert(t, body, qt.Contains, `"outcome":"failed"`)
	})
}

func TestRefusedRequestIsRetriedAtAnotherSidecar(t *testing.T) {
	bubble(t, func(t *testing.T) {
		refusing := newFakeLane("e1")
		refusing.refusal = &lanepb.Refusal{Reason: lanepb.RefusalReason_REFUSAL_REASON_DRAINING}
		serving := newFakeLane("e2", answerFrames(200, "application/json", `{}`)...)
		cell := newTestCell(t, nil, refusing, serving)
		for range 8 {
			response, _, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, 200)
		}
		qt.Assert(t, len(refusing.reserves) > 0, qt.IsTrue)
		qt.Assert(t, len(serving.bodies), qt.Equals, 8)
	})
}

func TestShedIsATrueNotRunAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1")
		lane.refusal = &lanepb.Refusal{Reason: lanepb.RefusalReason_REFUSAL_REASON_SHED, RetryAfterMs: 1500}
		cell := newTestCell(t, nil, lane)
		start := time.Now()
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
		problem := decodeProblem(t, response, body)
		qt.Assert(t, problem.Outcome, qt.Equals, OutcomeNotRun)
		qt.Assert(t, problem.Type, qt.Equals, "urn:lagoonlane:problem:shed")
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "2")
		qt.Assert(t, len(lane.bodies), qt.Equals, 0)
	})
}

func TestLostServiceAnswerHasUnknownOutcome(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("l1", faultFrame(lanepb.Outcome_OUTCOME_UNKNOWN, 0))
		cell := newTestCell(t, nil, lane)
		response, body, err := cell.do(t, cell.request(t, "POST", "/services/ledger/loans", `{"pegs":40}`))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeUnknown)
	})
}

func TestServicePathAndHeadersAreForwarded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("l1", answerFrames(201, "application/json", `{"loan":7}`)...)
		cell := newTestCell(t, nil, lane)
		r := cell.request(t, "POST", "/services/ledger/loans/a%2Fb?dry=1", `{"pegs":40}`)
		r.Header.Set("X-Depot", "Vác")
		response, body, err := cell.do(t, r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, 201)
		qt.Assert(t, body, qt.Equals, `{"loan":7}`)
		qt.Assert(t, lane.headers[0].GetPath(), qt.Equals, "/loans/a%2Fb?dry=1")
		names := map[string]string{}
		for _, header := range lane.headers[0].GetHeaders() {
			names[header.GetName()] = header.GetValue()
		}
		qt.Assert(t, names["X-Depot"], qt.Equals, "Vác")
		_, leaked := names["Authorization"]
		qt.Assert(t, leaked, qt.IsFalse)
	})
}

func TestInvalidInputIsRejectedAndNotForwarded(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		kind                     Kind
	}{
		{name: "malformed JSON", method: "POST", path: chatPath, body: `{"model":`, status: 400, kind: KindMalformed},
		{name: "JSON of another type", method: "POST", path: chatPath, body: `[1]`, status: 400, kind: KindMalformed},
		{name: "no messages", method: "POST", path: chatPath, body: `{"model":"pegs"}`, status: 400, kind: KindMalformed},
		{name: "negative max_tokens", method: "POST", path: chatPath, body: `{"model":"pegs","max_tokens":-1,"messages":[{}]}`, status: 400, kind: KindMalformed},
		{name: "unknown model", method: "POST", path: chatPath, body: `{"model":"x","messages":[{}]}`, status: 404, kind: KindNotFound},
		{name: "a service as a model", method: "POST", path: chatPath, body: `{"model":"ledger","messages":[{}]}`, status: 404, kind: KindNotFound},
		{name: "unknown service", method: "GET", path: "/services/x/y", status: 404, kind: KindNotFound},
		{name: "a model as a service", method: "GET", path: "/services/pegs/y", status: 404, kind: KindNotFound},
		{name: "wrong key", method: "POST", path: chatPath, body: chatBody, header: map[string]string{"Authorization": "Bearer x"}, status: 401, kind: KindUnauthorized},
		{name: "no key", method: "POST", path: chatPath, body: chatBody, header: map[string]string{"Authorization": ""}, status: 401, kind: KindUnauthorized},
		{name: "large body", method: "POST", path: chatPath, body: strings.Repeat("x", 5000), status: 413, kind: KindBodyTooLarge},
		{name: "large service body", method: "POST", path: "/services/ledger/loans", body: strings.Repeat("x", 5000), status: 413, kind: KindBodyTooLarge},
		{name: "large header", method: "POST", path: chatPath, body: chatBody, header: map[string]string{"X-A": strings.Repeat("x", 33<<10)}, status: 431, kind: KindHeaderTooLarge},
		{name: "bad deadline", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "soon"}, status: 400, kind: KindBadTimeout},
		{name: "negative deadline", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "-3s"}, status: 400, kind: KindBadTimeout},
		{name: "deadline out of bounds", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "31s"}, status: 400, kind: KindBadTimeout},
		{name: "tier not allowed", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTier: "report"}, status: 403, kind: KindTierNotAllowed},
		{name: "unknown tier", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTier: "x"}, status: 403, kind: KindTierNotAllowed},
		{name: "wrong method", method: "GET", path: chatPath, status: 405, kind: KindMethodNotAllowed},
		{name: "wrong service method", method: "TRACE", path: "/services/ledger/loans", status: 405, kind: KindMethodNotAllowed},
		{name: "bad idempotent header", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerIdempotent: "maybe"}, status: 400, kind: KindMalformed},
	}
	bubble(t, func(t *testing.T) {
		engine, ledger := newFakeLane("e1"), newFakeLane("l1")
		cell := newTestCell(t, nil, engine, ledger)
		for _, test := range cases {
			r := cell.request(t, test.method, test.path, test.body)
			for name, value := range test.header {
				r.Header.Set(name, value)
			}
			response, body, err := cell.do(t, r)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", test.name))
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", test.name))
			problem := decodeProblem(t, response, body)
			qt.Assert(t, problem.Outcome, qt.Equals, OutcomeNotRun, qt.Commentf("%s", test.name))
			qt.Assert(t, problem.Type, qt.Equals, problemTypePrefix+string(test.kind), qt.Commentf("%s", test.name))
		}
		qt.Assert(t, len(engine.reserves)+len(ledger.reserves), qt.Equals, 0)
	})
}

func TestCallerDisconnectCancelsDispatch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "text/event-stream", "data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")...)
		lane.frameInterval = time.Second
		cell := newTestCell(t, nil, lane)
		ctx, cancel := context.WithCancel(t.Context())
		response, err := cell.client.Do(cell.request(t, "POST", chatPath, streamBody).WithContext(ctx))
		qt.Assert(t, err, qt.IsNil)
		cancel()
		_ = response.Body.Close()
		time.Sleep(5 * time.Second)
		lane.mu.Lock()
		defer lane.mu.Unlock()
		qt.Assert(t, lane.canceled, qt.DeepEquals, []string{lane.headers[0].GetDispatchId()})
	})
}

func TestDrainRefusesNewRequestsAndCompletesRunning(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "application/json", `{}`)...)
		lane.frameInterval = time.Second
		cell := newTestCell(t, nil, lane)
		qt.Assert(t, cell.entry.Ready(), qt.IsTrue)
		answered := make(chan int, 1)
		go func() {
			response, _, _ := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
			answered <- response.StatusCode
		}()
		time.Sleep(500 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- cell.entry.Drain(t.Context()) }()
		synctest.Wait()
		qt.Assert(t, cell.entry.Ready(), qt.IsFalse)
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeNotRun)
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, <-drained, qt.IsNil)
		qt.Assert(t, <-answered, qt.Equals, 200)
	})
}

// Guards against requests that are still running at the end of a planned stop and whose connections are closed without
// an answer. One that waits for a slot has not run; one that was sent may have.
func TestDrainAnswersWhatOutlastsIt(t *testing.T) {
	for name, test := range map[string]struct {
		waiting bool
		status  int
		outcome Outcome
	}{"waits for a slot": {true, http.StatusServiceUnavailable, OutcomeNotRun}, "runs": {false, http.StatusBadGateway, OutcomeUnknown}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				lane := newFakeLane("l1", answerFrames(200, "application/json", `{}`)...)
				lane.frameInterval = 20 * time.Second
				if test.waiting {
					lane.blockReserve = make(chan struct{})
					defer close(lane.blockReserve)
				}
				cell := newTestCell(t, nil, lane)
				time.AfterFunc(time.Second, func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					_ = cell.entry.Drain(ctx)
				})
				begun := time.Now()
				response, body, err := cell.do(t, cell.request(t, "POST", "/services/ledger/loans", `{"pegs":40}`))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, time.Since(begun) < 4*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
				problem := decodeProblem(t, response, body)
				qt.Assert(t, response.StatusCode, qt.Equals, test.status)
				qt.Assert(t, problem.Outcome, qt.Equals, test.outcome)
				// The sidecar's answer ends.
				time.Sleep(time.Minute)
			})
		})
	}
}

// If a sidecar terminates permanently after the dispatch, the request may have run: its outcome is
// unknown and it is not retried at another sidecar.
func TestAnswerOfTerminatedSidecarIsLost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		terminated := newFakeLane("l1", answerFrames(200, "application/json", `{}`)...)
		terminated.frameInterval = time.Second
		cell := newTestCell(t, nil, terminated)
		go func() {
			time.Sleep(500 * time.Millisecond)
			_ = cell.lanes["l1"].Close()
			cell.network.removeListener("sidecar-l1:1")
			cell.lanes["l1"].closeConns()
		}()
		start := time.Now()
		response, body, err := cell.do(t, cell.request(t, "POST", "/services/ledger/loans", `{"pegs":40}`))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeUnknown)
		qt.Assert(t, time.Since(start) < resumeWindow+2*time.Second, qt.IsTrue)
		qt.Assert(t, len(terminated.reserves), qt.Equals, 1)
	})
}

func TestDuplicatedFramesAreReadOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		whole := answerFrames(200, "text/event-stream", "data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")
		lane := newFakeLane("e1", whole[0], whole[1], whole[1], whole[0], whole[2], whole[1], whole[3], whole[4])
		cell := newTestCell(t, nil, lane)
		_, body, err := cell.do(t, cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
	})
}

// A gap in the sequence numbers breaks the stream, and the missing frames are requested by a
// resume.
func TestGapInTheFramesIsResumed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		whole := answerFrames(200, "application/json", `{"a":`, `"b"`, `}`)
		lane := newFakeLane("e1", whole...)
		lane.dispatchFrames = []*lanepb.Frame{whole[0], whole[1], whole[3]}
		cell := newTestCell(t, nil, lane)
		_, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, `{"a":"b"}`)
		qt.Assert(t, lane.resumes, qt.Equals, 1)
	})
}

func TestWrongTotalsAreABadAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		frames := answerFrames(200, "application/json", `{}`)
		frames[2].GetEnd().TotalBytes = 5
		cell := newTestCell(t, nil, newFakeLane("e1", frames...))
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		problem := decodeProblem(t, response, body)
		qt.Assert(t, problem.Outcome, qt.Equals, OutcomeFailed)
		qt.Assert(t, problem.Type, qt.Equals, problemTypePrefix+string(KindBackendFailed))
	})
}

func TestAccountOverConcurrencyLimitIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1", answerFrames(200, "application/json", `{}`)...)
		lane.frameInterval = time.Second
		cell := newTestCell(t, nil, lane)
		state := testState()
		state.Accounts["depot"].Limits = &configpb.AccountLimits{MaxConcurrent: 1}
		cell.holder.Set(state)
		answered := make(chan int, 1)
		go func() {
			response, _, _ := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
			answered <- response.StatusCode
		}()
		time.Sleep(500 * time.Millisecond)
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusTooManyRequests)
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeNotRun)
		qt.Assert(t, <-answered, qt.Equals, 200)
		response, _, err = cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, 200)
	})
}

// Guards against unbounded buffering: the entry must read from the sidecar only as fast as the
// caller reads.
func TestSlowCallerAppliesBackpressureToSidecar(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const chunks, chunk = 1000, 8 << 10
		event := "data: " + strings.Repeat("x", chunk-len("data: \n\n")) + "\n\n"
		parts := append(slices.Repeat([]string{event}, chunks), "data: [DONE]\n\n")
		lane := newFakeLane("e1", answerFrames(200, "text/event-stream", parts...)...)
		cell := newTestCell(t, nil, lane)
		response, err := cell.client.Do(cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		time.Sleep(5 * time.Second)
		qt.Assert(t, lane.sentBytes.Load() < 512<<10, qt.IsTrue, qt.Commentf("%d bytes were taken from the sidecar", lane.sentBytes.Load()))
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(body), qt.Equals, chunks*chunk+len("data: [DONE]\n\n"))
	})
}

// If all sidecars of a pool refuse, the retries on top of the original requests are limited by the
// retry budget.
func TestDeadPoolDoesNotMultiplyLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lanes := []*fakeLane{newFakeLane("e1"), newFakeLane("e2"), newFakeLane("e3"), newFakeLane("e4")}
		for _, lane := range lanes {
			lane.refusal = &lanepb.Refusal{Reason: lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY}
		}
		cell := newTestCell(t, nil, lanes...)
		const requests = 300
		for range requests {
			response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeNotRun)
		}
		reservations := 0
		for _, lane := range lanes {
			reservations += len(lane.reserves)
		}
		qt.Assert(t, reservations <= requests+50, qt.IsTrue, qt.Commentf("%d reservations", reservations))
	})
}

// mutableList is an instance list that the test modifies.
type mutableList struct {
	mu   sync.Mutex
	list []platform.Instance
}

func (l *mutableList) List(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list), nil
}

// Requests that wait at a backend server are moved to another one soon after it is listed as
// leaving, and none is dispatched to it any more.
func TestWaitingRequestsMoveOffDrainingBackendServer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		leaving := newFakeLane("e1", answerFrames(200, "application/json", `{}`)...)
		leaving.blockReserve = make(chan struct{})
		serving := newFakeLane("e2", answerFrames(200, "application/json", `{}`)...)
		list := &mutableList{}
		cell := newTestCell(t, func(o *Options) {
			list.list, _ = o.Instances.List(t.Context())
			o.Instances = list
		}, leaving, serving)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = cell.entry.Run(ctx) }()
		list.mu.Lock()
		list.list[1].State = platform.InstanceLeaving
		list.mu.Unlock()
		time.Sleep(time.Second)
		answered := make(chan time.Time, 1)
		go func() {
			response, _, _ := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
			if response.StatusCode == http.StatusOK {
				answered <- time.Now()
			}
		}()
		time.Sleep(time.Second)
		list.mu.Lock()
		list.list[0].State, list.list[1].State = platform.InstanceLeaving, platform.InstanceLive
		list.mu.Unlock()
		listedAt := time.Now()
		select {
		case answeredAt := <-answered:
			qt.Assert(t, answeredAt.Sub(listedAt) < 3*time.Second, qt.IsTrue)
		case <-time.After(15 * time.Second):
			t.Error("the request still waits at the leaving backend server")
		}
		close(leaving.blockReserve)
		time.Sleep(time.Second)
		qt.Assert(t, leaving.bodies, qt.HasLen, 0)
		qt.Assert(t, serving.bodies, qt.HasLen, 1)
	})
}
