package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

func TestDispatchAnswersWithNumberedFrames(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("d1", "e")
		frames := fx.dispatch("d1", "e")
		qt.Assert(t, len(frames), qt.Equals, 3)
		for i, f := range frames {
			qt.Assert(t, f.GetSequence(), qt.Equals, uint64(i))
		}
		qt.Assert(t, frames[0].GetHead().GetStatus(), qt.Equals, uint32(200))
		qt.Assert(t, text(frames), qt.Equals, "ok")
		end := last(frames).GetEnd()
		qt.Assert(t, end.GetTotalFrames(), qt.Equals, uint64(3))
		qt.Assert(t, end.GetTotalBytes(), qt.Equals, uint64(2))
		qt.Assert(t, fx.engine.runCount("d1"), qt.Equals, 1)
		qt.Assert(t, fx.enquire("d1"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FINISHED)
	})
}

func TestDuplicateDispatchRunsOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("d1", "s")
		first := fx.dispatch("d1", "s")
		second := fx.dispatch("d1", "s")
		qt.Assert(t, text(second), qt.Equals, text(first))
		qt.Assert(t, fx.service.runCount("d1"), qt.Equals, 1)
	})
}

func TestDispatchWithoutAValidGrantDoesNotRun(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fault := last(fx.dispatch("never-reserved", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		fx.grant("late", "e")
		time.Sleep(grantLifetime + time.Second)
		fault = last(fx.dispatch("late", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, fx.engine.runCount("late"), qt.Equals, 0)
		qt.Assert(t, fx.revoke("late"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
	})
}

func TestRevokeBarsUnlessStarted(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("granted", "e")
		qt.Assert(t, fx.revoke("granted"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		fault := last(fx.dispatch("granted", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, fx.revoke("unseen"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		refusal := fx.reserve(fx.request("unseen", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BARRED)
		fx.grant("ran", "e")
		fx.dispatch("ran", "e")
		qt.Assert(t, fx.revoke("ran"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FINISHED)
		qt.Assert(t, fx.engine.runCount("granted"), qt.Equals, 0)
	})
}

func TestOtherBootIsRejected(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		request := fx.request("d", "e")
		request.BootId = "older"
		refusal := fx.reserve(request).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH)
		response, err := fx.lane.Revoke(t.Context(), &lanepb.RevokeRequest{DispatchId: "d", BootId: "older"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.GetState(), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_OTHER_BOOT)
	})
}

// TestDispatchForAnotherBootIsUnknown checks that a dispatch for another boot id gets
// the outcome UNKNOWN: a copy of the message may have reached the previous incarnation and
// the request may have run there.
func TestDispatchForAnotherBootIsUnknown(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		var body bytes.Buffer
		header := &lanepb.DispatchHeader{DispatchId: "d", BootId: "older", BackendServer: "e"}
		qt.Assert(t, frame.WriteHeader(&body, header), qt.IsNil)
		fault := last(fx.frames(fx.post(t.Context(), "/lane/v1/dispatch", &body))).GetFault()
		qt.Assert(t, fault.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH)
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_UNKNOWN)
	})
}

// TestUnhealthyEngineIsRefusedBeforeADispatch checks that failed load reports alone make an engine
// unhealthy, so that no dispatch has to fail first.
func TestUnhealthyEngineIsRefusedBeforeADispatch(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("d1", "e")
		fx.engine.setLoadError(&platform.UnavailableError{Service: "engine"})
		time.Sleep((unhealthyAfter + 1) * enginePollInterval)
		for n := range 10 {
			refusal := fx.reserve(fx.request(fmt.Sprint("down", n), "e")).GetRefusal()
			qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY)
			time.Sleep(enginePollInterval / 3)
		}
		fx.engine.setLoadError(nil)
		time.Sleep(2 * enginePollInterval)
		fx.grant("d2", "e")
	})
}

// TestQueueOfAnUnreachableEngineIsRefused checks that requests queued for an engine that has
// become unreachable are refused promptly and not held until their deadline.
func TestQueueOfAnUnreachableEngineIsRefused(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			<-ctx.Done()
			return nil, &platform.BrokenCallError{Cause: ctx.Err()}
		}
		fx.grant("hangs", "e")
		hanging := make(chan []*lanepb.Frame, 1)
		go func() { hanging <- fx.dispatch("hangs", "e") }()
		synctest.Wait()
		began := time.Now()
		fx.engine.setLoadError(&platform.UnavailableError{Service: "engine"})
		refusal := fx.reserve(fx.request("waits", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY)
		qt.Assert(t, time.Since(began) < (unhealthyAfter+1)*enginePollInterval, qt.IsTrue)
		qt.Assert(t, last(<-hanging).GetFault().GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_FAILED)
	})
}

func TestCutLinkIsResumedFromTheBuffer(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			parts := []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n", "data: [DONE]\n\n"}
			return streamAnswer(&scriptBody{ctx: ctx, parts: parts, interval: time.Second, err: io.EOF}), nil
		}
		fx.grant("d", "e")
		ctx, disconnect := context.WithCancel(t.Context())
		stream := fx.openDispatch(ctx, "d", "e")
		time.Sleep(1500 * time.Millisecond)
		disconnect()
		stream.Close()
		time.Sleep(time.Second)
		frames := fx.frames(fx.resume(t.Context(), "d", 2))
		qt.Assert(t, frames[0].GetSequence(), qt.Equals, uint64(2))
		qt.Assert(t, text(frames), qt.Equals, "data: 2\n\ndata: 3\n\ndata: [DONE]\n\n")
		qt.Assert(t, last(frames).GetEnd().GetTotalFrames(), qt.Equals, uint64(6))
		qt.Assert(t, fx.engine.runCount("d"), qt.Equals, 1)
		qt.Assert(t, fx.engine.cancelCount("d"), qt.Equals, 0)
	})
}

func TestAbandonedRequestIsCancelledInTheEngine(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		serveSlowly := func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			parts := []string{"data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n"}
			return streamAnswer(&scriptBody{ctx: ctx, parts: parts, interval: 20 * time.Second, err: io.EOF}), nil
		}
		fx.engine.serve, fx.service.serve = serveSlowly, serveSlowly
		fx.grant("d", "e")
		fx.grant("loan", "s")
		ctx, disconnect := context.WithCancel(t.Context())
		for _, stream := range []io.Closer{fx.openDispatch(ctx, "d", "e"), fx.openDispatch(ctx, "loan", "s")} {
			defer stream.Close()
		}
		disconnect()
		time.Sleep(readerGrace + time.Second)
		qt.Assert(t, fx.engine.cancelCount("d"), qt.Equals, 1)
		qt.Assert(t, fx.enquire("loan"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_RUNNING)
		time.Sleep(time.Minute)
		qt.Assert(t, text(fx.frames(fx.resume(t.Context(), "loan", 0))), qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
	})
}

func TestBrokenEngineStreamIsResumedByByte(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: 1\n\n", "da"}, err: io.ErrUnexpectedEOF}), nil
		}
		fx.engine.resume = func(ctx context.Context, _ string, from uint64) (*platform.Answer, error) {
			whole := "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{whole[from:]}, err: io.EOF}), nil
		}
		fx.grant("d", "e")
		frames := fx.dispatch("d", "e")
		qt.Assert(t, text(frames), qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
		qt.Assert(t, last(frames).GetEnd(), qt.IsNotNil)
		qt.Assert(t, fx.engine.runCount("d"), qt.Equals, 1)
	})
}

// A backend server that turns a request away and says for how long must get no request until then.
func TestServerThatTurnsRequestsAwayIsLeftAlone(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(context.Context, platform.Call) (*platform.Answer, error) {
			answer := textAnswer("full")
			answer.Status = 503
			answer.Header.Set("Retry-After", "2.5")
			return answer, nil
		}
		fx.grant("first", "e")
		fx.dispatch("first", "e")
		response := fx.reserve(fx.request("second", "e"))
		qt.Assert(t, response.GetGrant(), qt.IsNil)
		qt.Assert(t, response.GetRefusal().GetRetryAfterMs() > 2000, qt.IsTrue)
		time.Sleep(2600 * time.Millisecond)
		fx.grant("third", "e")
	})
}

// An engine that answers the resumption of a broken stream with an error must not have its text spliced into the stream.
func TestErrorIsNoContinuationOfABrokenStream(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: 1\n\n"}, err: io.ErrUnexpectedEOF}), nil
		}
		fx.engine.resume = func(ctx context.Context, _ string, from uint64) (*platform.Answer, error) {
			answer := streamAnswer(&scriptBody{ctx: ctx, parts: []string{"error\n\ndata: [DONE]\n\n"}, err: io.EOF})
			answer.Status = 500
			return answer, nil
		}
		fx.grant("d", "e")
		frames := fx.dispatch("d", "e")
		qt.Assert(t, text(frames), qt.Equals, "data: 1\n\n")
		qt.Assert(t, last(frames).GetEnd(), qt.IsNil)
	})
}

func TestCutAnswerEndsAsFault(t *testing.T) {
	cases := map[string]struct {
		server string
		answer func(ctx context.Context) (*platform.Answer, error)
		want   lanepb.Outcome
	}{
		"stream without its end": {"e", func(ctx context.Context) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: 1\n\n"}, err: io.EOF}), nil
		}, lanepb.Outcome_OUTCOME_FAILED},
		"end mark inside a token": {"e", func(ctx context.Context) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: say data: [DONE]\n\n"}, err: io.EOF}), nil
		}, lanepb.Outcome_OUTCOME_FAILED},
		"short body": {"s", func(ctx context.Context) (*platform.Answer, error) {
			answer := textAnswer("whole answer")
			answer.Body = &scriptBody{ctx: ctx, parts: []string{"whole"}, err: io.EOF}
			return answer, nil
		}, lanepb.Outcome_OUTCOME_UNKNOWN},
		"broken call of a service": {"s", func(context.Context) (*platform.Answer, error) {
			return nil, &platform.BrokenCallError{Cause: io.ErrUnexpectedEOF}
		}, lanepb.Outcome_OUTCOME_UNKNOWN},
		"broken call of an engine": {"e", func(context.Context) (*platform.Answer, error) {
			return nil, &platform.BrokenCallError{Cause: io.ErrUnexpectedEOF}
		}, lanepb.Outcome_OUTCOME_FAILED},
		"call not sent": {"s", func(context.Context) (*platform.Answer, error) {
			return nil, &platform.NotSentError{Cause: io.ErrClosedPipe}
		}, lanepb.Outcome_OUTCOME_NOT_RUN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(t *testing.T, fx *fixture) {
				fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) { return c.answer(ctx) }
				fx.service.serve = fx.engine.serve
				fx.grant("d", c.server)
				fault := last(fx.dispatch("d", c.server)).GetFault()
				qt.Assert(t, fault.GetOutcome(), qt.Equals, c.want)
				state := fx.revoke("d")
				qt.Assert(t, state == lanepb.DispatchState_DISPATCH_STATE_BARRED, qt.Equals, c.want == lanepb.Outcome_OUTCOME_NOT_RUN)
			})
		})
	}
}

func TestDrainRefusesQueuedRequests(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: [DONE]\n\n"}, interval: 5 * time.Second, err: io.EOF}), nil
		}
		fx.grant("running", "e")
		stream := fx.openDispatch(t.Context(), "running", "e")
		queued := make(chan *lanepb.ReserveResponse, 1)
		go func() { queued <- fx.reserve(fx.request("queued", "e")) }()
		synctest.Wait()
		drained := make(chan error, 1)
		began := time.Now()
		go func() { drained <- fx.sidecar.Drain(t.Context()) }()
		refusal := (<-queued).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_DRAINING)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Assert(t, last(fx.frames(stream)).GetEnd(), qt.IsNotNil)
		qt.Assert(t, <-drained, qt.IsNil)
		qt.Assert(t, fx.reserve(fx.request("later", "e")).GetRefusal(), qt.IsNotNil)
	})
}

func TestWithdrawnReserveLeavesTheQueue(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.grant("first", "e")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := fx.lane.Reserve(ctx, fx.request("second", "e"))
		qt.Assert(t, err, qt.IsNotNil)
		synctest.Wait()
		qt.Assert(t, fx.enquire("second"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		loads, err := fx.lane.Loads(t.Context(), &lanepb.LoadRequest{BackendServers: []string{"e"}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, loads.GetLoads()[0].GetQueued(), qt.Equals, uint32(0))
		qt.Assert(t, loads.GetLoads()[0].GetRunning(), qt.Equals, uint32(1))
	})
}

func TestOlderOrderIsFenced(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		order := func(id string, fencing uint64) *lanepb.OrderResponse {
			response, err := fx.lane.Order(t.Context(), &lanepb.OrderRequest{BackendServer: "e", Lease: "move/m", Fencing: fencing,
				Kind: lanepb.OrderKind_ORDER_KIND_LOAD_VERSION, Version: "v2", Artifact: "w2", OrderId: id})
			qt.Assert(t, err, qt.IsNil)
			return response
		}
		qt.Assert(t, order("o1", 7).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_DONE)
		qt.Assert(t, order("o1", 7).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_DONE)
		fenced := order("o2", 6)
		qt.Assert(t, fenced.GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FENCED)
		qt.Assert(t, fenced.GetHighestFencing(), qt.Equals, uint64(7))
		fx.config.Set(&configpb.State{Offset: 9, Leases: map[string]*configpb.Lease{"move/m": {Fencing: 9}}})
		qt.Assert(t, order("o3", 8).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FENCED)
		qt.Assert(t, len(fx.engine.orders), qt.Equals, 1)
	})
}

func TestUnloadedAndContainedVersionsAreRefused(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.grant("d1", "e")
		_, err := fx.lane.Order(t.Context(), &lanepb.OrderRequest{BackendServer: "e", Lease: "move/m", Fencing: 1,
			Kind: lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION, Version: "v1", OrderId: "o"})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * enginePollInterval)
		refusal := fx.reserve(fx.request("d2", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
		contained := &configpb.BackendVersion{Pool: "model", Name: "v2", State: configpb.VersionState_VERSION_STATE_CONTAINED}
		fx.config.Set(&configpb.State{Offset: 1, Versions: map[string]*configpb.BackendVersion{"model/v2": contained}})
		request := fx.request("d3", "e")
		request.Version = "v2"
		qt.Assert(t, fx.reserve(request).GetRefusal().GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
	})
}

// TestResumeWaitsForTheDispatch checks that a resume that arrives before its dispatch, for
// example from another entry, waits for the dispatch.
func TestResumeWaitsForTheDispatch(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("d", "s")
		answers := make(chan []*lanepb.Frame, 1)
		go func() { answers <- fx.frames(fx.resume(t.Context(), "d", 0)) }()
		time.Sleep(time.Second)
		fx.dispatch("d", "s")
		qt.Assert(t, text(<-answers), qt.Equals, "ok")
		qt.Assert(t, fx.service.runCount("d"), qt.Equals, 1)
	})
}

// TestResumeOfAnUnusedGrantIsNotRun checks that an unused grant expires as barred and that a
// resume that waits for it gets the outcome NOT_RUN.
func TestResumeOfAnUnusedGrantIsNotRun(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.grant("d", "s")
		fault := last(fx.frames(fx.resume(t.Context(), "d", 0))).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, fx.revoke("d"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		fx.grant("next", "s")
	})
}

// TestFinishedAnswersAreRetained checks the retention times of finished answers, which
// are much longer for non-idempotent requests than for idempotent ones.
func TestFinishedAnswersAreRetained(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.grant("loan", "s")
		fx.grant("chat", "e")
		fx.dispatch("loan", "s")
		fx.dispatch("chat", "e")
		time.Sleep(answerRetentionIdempotent + time.Second)
		qt.Assert(t, fx.enquire("chat"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
		fault := last(fx.frames(fx.resume(t.Context(), "chat", 0))).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_FAILED)
		time.Sleep(answerRetentionNonIdempotent - answerRetentionIdempotent - 10*time.Second)
		qt.Assert(t, text(fx.frames(fx.resume(t.Context(), "loan", 0))), qt.Equals, "ok")
		time.Sleep(20 * time.Second)
		qt.Assert(t, fx.revoke("loan"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
	})
}
