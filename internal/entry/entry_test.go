package entry

import (
	"context"
	"encoding/json"
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

// bubble runs a test in virtual time and ends its cell before the bubble ends.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

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
		began := time.Now()
		response, err := cell.client.Do(cell.request(t, "POST", chatPath, streamBody))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		first := make([]byte, len("data: 1\n\n"))
		_, err = io.ReadFull(response.Body, first)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began), qt.Equals, 200*time.Millisecond)
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
		began := time.Now()
		response, body, err := cell.do(t, cell.request(t, "POST", chatPath, chatBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
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
		for _, one := range lane.headers[0].GetHeaders() {
			names[one.GetName()] = one.GetValue()
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
		{name: "large body", method: "POST", path: chatPath, body: strings.Repeat("x", 5000), status: 413, kind: KindTooLarge},
		{name: "large service body", method: "POST", path: "/services/ledger/loans", body: strings.Repeat("x", 5000), status: 413, kind: KindTooLarge},
		{name: "large header", method: "POST", path: chatPath, body: chatBody, header: map[string]string{"X-A": strings.Repeat("x", 33<<10)}, status: 431, kind: KindHeaderTooLarge},
		{name: "bad deadline", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "soon"}, status: 400, kind: KindTimeout},
		{name: "negative deadline", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "-3s"}, status: 400, kind: KindTimeout},
		{name: "deadline out of bounds", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTimeout: "31s"}, status: 400, kind: KindTimeout},
		{name: "tier not allowed", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTier: "report"}, status: 403, kind: KindTier},
		{name: "unknown tier", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerTier: "x"}, status: 403, kind: KindTier},
		{name: "wrong method", method: "GET", path: chatPath, status: 405, kind: KindMethod},
		{name: "wrong service method", method: "TRACE", path: "/services/ledger/loans", status: 405, kind: KindMethod},
		{name: "bad idempotent header", method: "POST", path: chatPath, body: chatBody, header: map[string]string{headerIdempotent: "maybe"}, status: 400, kind: KindMalformed},
	}
	bubble(t, func(t *testing.T) {
		engine, ledger := newFakeLane("e1"), newFakeLane("l1")
		cell := newTestCell(t, nil, engine, ledger)
		for _, one := range cases {
			r := cell.request(t, one.method, one.path, one.body)
			for name, value := range one.header {
				r.Header.Set(name, value)
			}
			response, body, err := cell.do(t, r)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", one.name))
			qt.Assert(t, response.StatusCode, qt.Equals, one.status, qt.Commentf("%s", one.name))
			problem := decodeProblem(t, response, body)
			qt.Assert(t, problem.Outcome, qt.Equals, OutcomeNotRun, qt.Commentf("%s", one.name))
			qt.Assert(t, problem.Type, qt.Equals, problemTypePrefix+string(one.kind), qt.Commentf("%s", one.name))
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

// A sidecar that is gone for good after the dispatch leaves the outcome open: the
// request may have run, and is not tried elsewhere.
func TestAnswerOfTerminatedSidecarIsLost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		dying := newFakeLane("l1", answerFrames(200, "application/json", `{}`)...)
		dying.frameInterval = time.Second
		cell := newTestCell(t, nil, dying)
		go func() {
			time.Sleep(500 * time.Millisecond)
			_ = cell.lanes["l1"].Close()
			cell.network.removeListener("sidecar-l1:1")
			cell.lanes["l1"].closeConns()
		}()
		began := time.Now()
		response, body, err := cell.do(t, cell.request(t, "POST", "/services/ledger/loans", `{"pegs":40}`))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeUnknown)
		qt.Assert(t, time.Since(began) < resumeWindow+2*time.Second, qt.IsTrue)
		qt.Assert(t, len(dying.reserves), qt.Equals, 1)
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

// A gap in the frames breaks the stream, and the missing ones are asked for.
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

// A caller that reads slowly holds its sidecar back; the entry buffers little.
func TestSlowCallerAppliesBackpressureToSidecar(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const chunks, chunk = 1000, 8 << 10
		parts := append(slices.Repeat([]string{strings.Repeat("x", chunk)}, chunks), "data: [DONE]\n\n")
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

// A pool whose sidecars all refuse gets at most the retry budget on top of the
// requests themselves.
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
		asked := 0
		for _, lane := range lanes {
			asked += len(lane.reserves)
		}
		qt.Assert(t, asked <= requests+50, qt.IsTrue, qt.Commentf("%d reservations", asked))
	})
}

// mutableList is an instance list that a test changes.
type mutableList struct {
	mu   sync.Mutex
	list []platform.Instance
}

func (l *mutableList) List(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list), nil
}

// Requests that wait at a backend server go elsewhere soon after it shows as
// leaving, and none is dispatched there any more.
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
		shown := time.Now()
		select {
		case at := <-answered:
			qt.Assert(t, at.Sub(shown) < 3*time.Second, qt.IsTrue)
		case <-time.After(15 * time.Second):
			t.Error("the request still waits at the leaving backend server")
		}
		close(leaving.blockReserve)
		time.Sleep(time.Second)
		qt.Assert(t, leaving.bodies, qt.HasLen, 0)
		qt.Assert(t, serving.bodies, qt.HasLen, 1)
	})
}
