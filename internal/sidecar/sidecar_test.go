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
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("d1", "e")
		frames := b.dispatch("d1", "e")
		qt.Assert(t, len(frames), qt.Equals, 3)
		for i, f := range frames {
			qt.Assert(t, f.GetSequence(), qt.Equals, uint64(i))
		}
		qt.Assert(t, frames[0].GetHead().GetStatus(), qt.Equals, uint32(200))
		qt.Assert(t, text(frames), qt.Equals, "ok")
		end := last(frames).GetEnd()
		qt.Assert(t, end.GetTotalFrames(), qt.Equals, uint64(3))
		qt.Assert(t, end.GetTotalBytes(), qt.Equals, uint64(2))
		qt.Assert(t, b.engine.runCount("d1"), qt.Equals, 1)
		qt.Assert(t, b.enquire("d1"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FINISHED)
	})
}

func TestDuplicateDispatchRunsOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("d1", "s")
		first := b.dispatch("d1", "s")
		second := b.dispatch("d1", "s")
		qt.Assert(t, text(second), qt.Equals, text(first))
		qt.Assert(t, b.service.runCount("d1"), qt.Equals, 1)
	})
}

func TestDispatchWithoutAValidGrantDoesNotRun(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		fault := last(b.dispatch("never-reserved", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		b.grant("late", "e")
		time.Sleep(grantLifetime + time.Second)
		fault = last(b.dispatch("late", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, b.engine.runCount("late"), qt.Equals, 0)
		qt.Assert(t, b.revoke("late"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
	})
}

func TestRevokeBarsUnlessStarted(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("granted", "e")
		qt.Assert(t, b.revoke("granted"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		fault := last(b.dispatch("granted", "e")).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, b.revoke("unseen"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		refusal := b.reserve(b.request("unseen", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BARRED)
		b.grant("ran", "e")
		b.dispatch("ran", "e")
		qt.Assert(t, b.revoke("ran"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FINISHED)
		qt.Assert(t, b.engine.runCount("granted"), qt.Equals, 0)
	})
}

func TestOtherBootIsRejected(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		request := b.request("d", "e")
		request.BootId = "older"
		refusal := b.reserve(request).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH)
		response, err := b.lane.Revoke(t.Context(), &lanepb.RevokeRequest{DispatchId: "d", BootId: "older"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.GetState(), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_OTHER_BOOT)
	})
}

// TestDispatchForAnotherBootIsUnknown checks that a dispatch for another boot id gets
// the outcome UNKNOWN: a copy of the message may have reached the previous incarnation and
// the request may have run there.
func TestDispatchForAnotherBootIsUnknown(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		var body bytes.Buffer
		header := &lanepb.DispatchHeader{DispatchId: "d", BootId: "older", BackendServer: "e"}
		qt.Assert(t, frame.WriteHeader(&body, header), qt.IsNil)
		fault := last(b.frames(b.post(t.Context(), "/lane/v1/dispatch", &body))).GetFault()
		qt.Assert(t, fault.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH)
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_UNKNOWN)
	})
}

// TestUnhealthyEngineIsRefusedBeforeADispatch checks that failed load reports alone make an engine
// unhealthy, so that no dispatch has to fail first.
func TestUnhealthyEngineIsRefusedBeforeADispatch(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("d1", "e")
		b.engine.setLoadError(&platform.UnavailableError{Service: "engine"})
		time.Sleep((unhealthyAfter + 1) * enginePollInterval)
		for n := range 10 {
			refusal := b.reserve(b.request(fmt.Sprint("down", n), "e")).GetRefusal()
			qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY)
			time.Sleep(enginePollInterval / 3)
		}
		b.engine.setLoadError(nil)
		time.Sleep(2 * enginePollInterval)
		b.grant("d2", "e")
	})
}

// TestQueueOfAnUnreachableEngineIsRefused checks that requests queued for an engine that has
// become unreachable are refused promptly and not held until their deadline.
func TestQueueOfAnUnreachableEngineIsRefused(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		b.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			<-ctx.Done()
			return nil, &platform.BrokenCallError{Cause: ctx.Err()}
		}
		b.grant("hangs", "e")
		hanging := make(chan []*lanepb.Frame, 1)
		go func() { hanging <- b.dispatch("hangs", "e") }()
		synctest.Wait()
		began := time.Now()
		b.engine.setLoadError(&platform.UnavailableError{Service: "engine"})
		refusal := b.reserve(b.request("waits", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY)
		qt.Assert(t, time.Since(began) < (unhealthyAfter+1)*enginePollInterval, qt.IsTrue)
		qt.Assert(t, last(<-hanging).GetFault().GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_FAILED)
	})
}

func TestCutLinkIsResumedFromTheBuffer(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			parts := []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n", "data: [DONE]\n\n"}
			return streamAnswer(&scriptBody{ctx: ctx, parts: parts, interval: time.Second, err: io.EOF}), nil
		}
		b.grant("d", "e")
		ctx, cut := context.WithCancel(t.Context())
		stream := b.openDispatch(ctx, "d", "e")
		time.Sleep(1500 * time.Millisecond)
		cut()
		stream.Close()
		time.Sleep(time.Second)
		frames := b.frames(b.resume(t.Context(), "d", 2))
		qt.Assert(t, frames[0].GetSequence(), qt.Equals, uint64(2))
		qt.Assert(t, text(frames), qt.Equals, "data: 2\n\ndata: 3\n\ndata: [DONE]\n\n")
		qt.Assert(t, last(frames).GetEnd().GetTotalFrames(), qt.Equals, uint64(6))
		qt.Assert(t, b.engine.runCount("d"), qt.Equals, 1)
		qt.Assert(t, b.engine.cancelCount("d"), qt.Equals, 0)
	})
}

func TestAbandonedRequestIsCancelledInTheEngine(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		endless := func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			parts := []string{"data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n"}
			return streamAnswer(&scriptBody{ctx: ctx, parts: parts, interval: 20 * time.Second, err: io.EOF}), nil
		}
		b.engine.serve, b.service.serve = endless, endless
		b.grant("d", "e")
		b.grant("loan", "s")
		ctx, cut := context.WithCancel(t.Context())
		for _, stream := range []io.Closer{b.openDispatch(ctx, "d", "e"), b.openDispatch(ctx, "loan", "s")} {
			defer stream.Close()
		}
		cut()
		time.Sleep(readerGrace + time.Second)
		qt.Assert(t, b.engine.cancelCount("d"), qt.Equals, 1)
		qt.Assert(t, b.enquire("loan"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_RUNNING)
		time.Sleep(time.Minute)
		qt.Assert(t, text(b.frames(b.resume(t.Context(), "loan", 0))), qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
	})
}

func TestBrokenEngineStreamIsResumedByByte(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: 1\n\n", "da"}, err: io.ErrUnexpectedEOF}), nil
		}
		b.engine.resume = func(ctx context.Context, _ string, from uint64) (*platform.Answer, error) {
			whole := "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{whole[from:]}, err: io.EOF}), nil
		}
		b.grant("d", "e")
		frames := b.dispatch("d", "e")
		qt.Assert(t, text(frames), qt.Equals, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
		qt.Assert(t, last(frames).GetEnd(), qt.IsNotNil)
		qt.Assert(t, b.engine.runCount("d"), qt.Equals, 1)
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
			inBubble(t, 2, func(t *testing.T, b *fixture) {
				b.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) { return c.answer(ctx) }
				b.service.serve = b.engine.serve
				b.grant("d", c.server)
				fault := last(b.dispatch("d", c.server)).GetFault()
				qt.Assert(t, fault.GetOutcome(), qt.Equals, c.want)
				state := b.revoke("d")
				qt.Assert(t, state == lanepb.DispatchState_DISPATCH_STATE_BARRED, qt.Equals, c.want == lanepb.Outcome_OUTCOME_NOT_RUN)
			})
		})
	}
}

func TestDrainRefusesQueuedRequests(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		b.engine.serve = func(ctx context.Context, _ platform.Call) (*platform.Answer, error) {
			return streamAnswer(&scriptBody{ctx: ctx, parts: []string{"data: [DONE]\n\n"}, interval: 5 * time.Second, err: io.EOF}), nil
		}
		b.grant("running", "e")
		stream := b.openDispatch(t.Context(), "running", "e")
		queued := make(chan *lanepb.ReserveResponse, 1)
		go func() { queued <- b.reserve(b.request("queued", "e")) }()
		synctest.Wait()
		drained := make(chan error, 1)
		began := time.Now()
		go func() { drained <- b.sidecar.Drain(t.Context()) }()
		refusal := (<-queued).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_DRAINING)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Assert(t, last(b.frames(stream)).GetEnd(), qt.IsNotNil)
		qt.Assert(t, <-drained, qt.IsNil)
		qt.Assert(t, b.reserve(b.request("later", "e")).GetRefusal(), qt.IsNotNil)
	})
}

func TestWithdrawnReserveLeavesTheQueue(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		b.grant("first", "e")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.lane.Reserve(ctx, b.request("second", "e"))
		qt.Assert(t, err, qt.IsNotNil)
		synctest.Wait()
		qt.Assert(t, b.enquire("second"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		loads, err := b.lane.Loads(t.Context(), &lanepb.LoadRequest{BackendServers: []string{"e"}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, loads.GetLoads()[0].GetQueued(), qt.Equals, uint32(0))
		qt.Assert(t, loads.GetLoads()[0].GetRunning(), qt.Equals, uint32(1))
	})
}

func TestOlderOrderIsFenced(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		order := func(id string, fencing uint64) *lanepb.OrderResponse {
			response, err := b.lane.Order(t.Context(), &lanepb.OrderRequest{BackendServer: "e", Lease: "move/m", Fencing: fencing,
				Kind: lanepb.OrderKind_ORDER_KIND_LOAD_VERSION, Version: "v2", Artifact: "w2", OrderId: id})
			qt.Assert(t, err, qt.IsNil)
			return response
		}
		qt.Assert(t, order("o1", 7).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_DONE)
		qt.Assert(t, order("o1", 7).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_DONE)
		fenced := order("o2", 6)
		qt.Assert(t, fenced.GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FENCED)
		qt.Assert(t, fenced.GetHighestFencing(), qt.Equals, uint64(7))
		b.config.Set(&configpb.State{Offset: 9, Leases: map[string]*configpb.Lease{"move/m": {Fencing: 9}}})
		qt.Assert(t, order("o3", 8).GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FENCED)
		qt.Assert(t, len(b.engine.orders), qt.Equals, 1)
	})
}

func TestUnloadedAndContainedVersionsAreRefused(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		b.grant("d1", "e")
		_, err := b.lane.Order(t.Context(), &lanepb.OrderRequest{BackendServer: "e", Lease: "move/m", Fencing: 1,
			Kind: lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION, Version: "v1", OrderId: "o"})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * enginePollInterval)
		refusal := b.reserve(b.request("d2", "e")).GetRefusal()
		qt.Assert(t, refusal.GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
		contained := &configpb.BackendVersion{Pool: "model", Name: "v2", State: configpb.VersionState_VERSION_STATE_CONTAINED}
		b.config.Set(&configpb.State{Offset: 1, Versions: map[string]*configpb.BackendVersion{"model/v2": contained}})
		request := b.request("d3", "e")
		request.Version = "v2"
		qt.Assert(t, b.reserve(request).GetRefusal().GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
	})
}

// TestResumeWaitsForTheDispatch checks that a resume that arrives before its dispatch, for
// example from another entry, waits for the dispatch.
func TestResumeWaitsForTheDispatch(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("d", "s")
		answers := make(chan []*lanepb.Frame, 1)
		go func() { answers <- b.frames(b.resume(t.Context(), "d", 0)) }()
		time.Sleep(time.Second)
		b.dispatch("d", "s")
		qt.Assert(t, text(<-answers), qt.Equals, "ok")
		qt.Assert(t, b.service.runCount("d"), qt.Equals, 1)
	})
}

// TestResumeOfAnUnusedGrantIsNotRun checks that an unused grant expires as barred and that a
// resume that waits for it gets the outcome NOT_RUN.
func TestResumeOfAnUnusedGrantIsNotRun(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *fixture) {
		b.grant("d", "s")
		fault := last(b.frames(b.resume(t.Context(), "d", 0))).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_NOT_RUN)
		qt.Assert(t, b.revoke("d"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_BARRED)
		b.grant("next", "s")
	})
}

// TestFinishedAnswersAreRetained checks the retention times of finished answers, which
// are much longer for non-idempotent requests than for idempotent ones.
func TestFinishedAnswersAreRetained(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *fixture) {
		b.grant("loan", "s")
		b.grant("chat", "e")
		b.dispatch("loan", "s")
		b.dispatch("chat", "e")
		time.Sleep(answerRetentionIdempotent + time.Second)
		qt.Assert(t, b.enquire("chat"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
		fault := last(b.frames(b.resume(t.Context(), "chat", 0))).GetFault()
		qt.Assert(t, fault.GetOutcome(), qt.Equals, lanepb.Outcome_OUTCOME_FAILED)
		time.Sleep(answerRetentionNonIdempotent - answerRetentionIdempotent - 10*time.Second)
		qt.Assert(t, text(b.frames(b.resume(t.Context(), "loan", 0))), qt.Equals, "ok")
		time.Sleep(20 * time.Second)
		qt.Assert(t, b.revoke("loan"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
	})
}
