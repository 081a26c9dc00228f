package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// resumeWindow bounds the time for which a broken stream is resumed without a
// new frame.
const resumeWindow = 5 * time.Second

// stateQuery asks a sidecar for the state of a dispatch. It fails with *UnreachableError.
type stateQuery func(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error)

// revokeOwn bars a dispatch of this entry that broke before it was handed over.
func revokeOwn(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error) {
	return e.revoke(ctx, s)
}

// answerStream reads the frames of one answer in order, each once. It resumes
// the stream when it breaks.
type answerStream struct {
	entry *Entry
	slot  slot
	// queryState is called before each resume.
	queryState stateQuery
	body       io.ReadCloser
	// reader is nil while the stream is broken.
	reader       *frame.Reader
	nextSequence uint64
	// brokenSince is when the stream broke without a new frame since.
	brokenSince time.Time
	resumes     int
}

// openAnswer dispatches a call and returns the stream of its answer. The body
// may have been handed over whatever happens next.
func (e *Entry) openAnswer(ctx context.Context, one *call, s slot) *answerStream {
	stream := &answerStream{entry: e, slot: s, queryState: revokeOwn}
	body, err := e.dispatch(ctx, one, s)
	if err == nil {
		stream.attach(body)
	}
	return stream
}

func (s *answerStream) attach(body io.ReadCloser) {
	s.body = body
	s.reader = frame.NewReader(body)
}

func (s *answerStream) close() {
	if s.body != nil {
		_ = s.body.Close()
	}
	s.body = nil
	s.reader = nil
}

// buffered reports whether a frame may be read without waiting.
func (s *answerStream) buffered() bool { return s.reader != nil && s.reader.Buffered() > 0 }

// read returns the next frame. It fails with *RefusedError when the dispatch
// is barred, with *FaultError, with *LostError, or with the error of ctx.
func (s *answerStream) read(ctx context.Context) (*lanepb.Frame, error) {
	for {
		if s.reader == nil {
			if err := s.reopen(ctx); err != nil {
				return nil, err
			}
		}
		one, err := s.reader.Read()
		if err == nil {
			if fault := one.GetFault(); fault != nil {
				return nil, s.faultError(fault)
			}
			if one.GetSequence() < s.nextSequence {
				continue
			}
			if one.GetSequence() == s.nextSequence {
				s.nextSequence++
				s.brokenSince = time.Time{}
				s.resumes = 0
				return one, nil
			}
		}
		s.close()
		if ctx.Err() != nil {
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// faultError settles what the end of an answer by a fault means.
func (s *answerStream) faultError(fault *lanepb.Fault) error {
	s.entry.observe(fault.GetLoad())
	s.close()
	if fault.GetOutcome() == lanepb.Outcome_OUTCOME_NOT_RUN {
		return errors.WithStack(&RefusedError{Reason: fault.GetReason(), Detail: fault.GetDetail()})
	}
	return errors.WithStack(&FaultError{Outcome: fault.GetOutcome(), Reason: fault.GetReason(), Detail: fault.GetDetail()})
}

// reopen resumes a broken stream, until it can be, it is certain that it
// can't, or the resume window ends.
func (s *answerStream) reopen(ctx context.Context) error {
	if s.brokenSince.IsZero() {
		s.brokenSince = time.Now()
	}
	for {
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		err := s.tryResume(ctx)
		if err == nil || !isUnreachable(err) {
			return err
		}
		if time.Since(s.brokenSince) > resumeWindow {
			return errors.WithStack(&LostError{Cause: err})
		}
		if err := s.backOff(ctx); err != nil {
			return err
		}
	}
}

// tryResume asks the sidecar for the state of the dispatch, and for its frames
// if it was handed over. It fails with *UnreachableError when another try makes sense.
func (s *answerStream) tryResume(ctx context.Context) error {
	state, err := s.queryState(ctx, s.entry, s.slot)
	if err != nil {
		return err
	}
	switch state {
	case lanepb.DispatchState_DISPATCH_STATE_BARRED:
		return errors.WithStack(&RefusedError{Reason: lanepb.RefusalReason_REFUSAL_REASON_BARRED, Detail: "the dispatch is barred"})
	case lanepb.DispatchState_DISPATCH_STATE_RUNNING, lanepb.DispatchState_DISPATCH_STATE_FINISHED, lanepb.DispatchState_DISPATCH_STATE_WAITING:
		body, err := s.entry.resume(ctx, s.slot, s.nextSequence)
		if err != nil {
			return errors.WithStack(&UnreachableError{Cause: err})
		}
		s.entry.metrics.resumes.Add(ctx, 1)
		s.attach(body)
		if s.resumes == 0 {
			s.resumes++
			return nil
		}
		return s.backOff(ctx)
	}
	return errors.WithStack(&LostError{Cause: &ForgottenError{State: state}})
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// backOff waits before the next try.
func (s *answerStream) backOff(ctx context.Context) error {
	s.resumes++
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(routing.RetryDelay(s.resumes)):
		return nil
	}
}
