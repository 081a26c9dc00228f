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

// resumeWindow bounds how long resuming a broken stream is retried without receiving a new frame.
const resumeWindow = 5 * time.Second

// stateQuery requests the state of a dispatch from its sidecar. It returns *UnreachableError.
type stateQuery func(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error)

// revokeOwn is the stateQuery for a dispatch of this entry. It bars the dispatch if the stream
// broke before the sidecar received it.
func revokeOwn(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error) {
	return e.revoke(ctx, s)
}

// answerStream reads the frames of one answer in order, each exactly once. It resumes the stream
// if it breaks.
type answerStream struct {
	entry *Entry
	slot  slot
	// queryState is called before each resume.
	queryState stateQuery
	body       io.ReadCloser
	// reader is nil while the stream is broken.
	reader       *frame.Reader
	nextSequence uint64
	// brokenSince is when the stream broke; it is reset by each new frame.
	brokenSince time.Time
	resumes     int
}

// openAnswer dispatches a call and returns the stream of its answer. If the dispatch fails, the
// sidecar may have received the body all the same, so the stream starts as broken and its first
// read queries the state.
func (e *Entry) openAnswer(ctx context.Context, c *call, s slot) *answerStream {
	stream := &answerStream{entry: e, slot: s, queryState: revokeOwn}
	body, err := e.dispatch(ctx, c, s)
	if err == nil {
		stream.attach(body)
	}
	return stream
}

// attach continues the stream with the frames of body.
func (s *answerStream) attach(body io.ReadCloser) {
	s.body = body
	s.reader = frame.NewReader(body)
}

// close closes the current body and marks the stream as broken.
func (s *answerStream) close() {
	if s.body != nil {
		_ = s.body.Close()
	}
	s.body = nil
	s.reader = nil
}

// buffered reports whether received data is left to read without blocking.
func (s *answerStream) buffered() bool { return s.reader != nil && s.reader.Buffered() > 0 }

// read returns the next frame. It returns *RefusedError if the dispatch is barred or did not run,
// *FaultError if the sidecar ended the answer with a fault, *AnswerLostError if the answer can't be
// resumed, or the error of ctx.
func (s *answerStream) read(ctx context.Context) (*lanepb.Frame, error) {
	for {
		if s.reader == nil {
			if err := s.reopen(ctx); err != nil {
				return nil, err
			}
		}
		received, err := s.reader.Read()
		if err == nil {
			if fault := received.GetFault(); fault != nil {
				return nil, s.faultError(fault)
			}
			if received.GetSequence() < s.nextSequence {
				continue
			}
			if received.GetSequence() == s.nextSequence {
				s.nextSequence++
				s.brokenSince = time.Time{}
				s.resumes = 0
				return received, nil
			}
		}
		s.close()
		if ctx.Err() != nil {
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// faultError closes the stream and converts a fault frame to *RefusedError if the request did not
// run, otherwise to *FaultError.
func (s *answerStream) faultError(fault *lanepb.Fault) error {
	s.entry.observe(fault.GetLoad())
	s.close()
	if fault.GetOutcome() == lanepb.Outcome_OUTCOME_NOT_RUN {
		return errors.WithStack(&RefusedError{Reason: fault.GetReason(), Detail: fault.GetDetail()})
	}
	return errors.WithStack(&FaultError{Outcome: fault.GetOutcome(), Reason: fault.GetReason(), Detail: fault.GetDetail()})
}

// reopen resumes a broken stream. It retries until it succeeds, resuming is impossible, or
// resumeWindow has passed.
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
			return errors.WithStack(&AnswerLostError{Cause: err})
		}
		if err := s.backOff(ctx); err != nil {
			return err
		}
	}
}

// tryResume queries the state of the dispatch and requests its frames if the sidecar has received
// it. It returns *UnreachableError if a retry may succeed.
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
	return errors.WithStack(&AnswerLostError{Cause: &AnswerNotKeptError{State: state}})
}

// isUnreachable reports whether err is or wraps *UnreachableError.
func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// backOff waits for the retry delay or until ctx ends.
func (s *answerStream) backOff(ctx context.Context) error {
	s.resumes++
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(routing.RetryDelay(s.resumes)):
		return nil
	}
}
