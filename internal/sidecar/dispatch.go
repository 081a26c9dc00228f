package sidecar

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxBodyBytes is the largest request body that is accepted.
	maxBodyBytes = 32 << 20
	// maxResumeBytes is the largest encoded ResumeRequest that is read.
	maxResumeBytes = 4 << 10
	// readerStallTimeout is how long a write to a reader may make no progress before the
	// reader is disconnected.
	readerStallTimeout = 20 * time.Second
	// maxRunTime bounds the run time of a non-idempotent request, which isn't stopped at
	// its deadline.
	maxRunTime = 10 * time.Minute
	// frameContentType is the media type of a stream of frames.
	frameContentType = "application/vnd.lagoonlane.frames"
)

// serveDispatch reads the body of a granted request, sends the request to its backend
// server and answers with frames. The body is read completely before the request is sent,
// so a request whose upload broke off has not run.
func (s *Sidecar) serveDispatch(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(r.Body)
	header, err := frame.ReadHeader(body)
	if err != nil {
		http.Error(w, "unreadable dispatch header", http.StatusBadRequest)
		return
	}
	d, fault := s.lookupGranted(header)
	if fault != nil {
		s.sendFault(w, fault)
		return
	}
	content, err := readBody(body)
	if err != nil {
		s.withdraw(d)
		s.sendFault(w, s.notRunFault(d.server, lanepb.RefusalReason_REFUSAL_REASON_BARRED, err.Error()))
		return
	}
	if fault := s.startDispatch(d, header, content); fault != nil {
		s.sendFault(w, fault)
		return
	}
	s.streamFrames(w, r, d, 0)
}

// readBody reads a request body completely. It returns *BodyTooLargeError for a body of more
// than maxBodyBytes.
func readBody(r io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if len(content) > maxBodyBytes {
		return nil, errors.WithStack(&BodyTooLargeError{Limit: maxBodyBytes})
	}
	return content, nil
}

// lookupGranted returns the dispatch that a header names, or a fault if it must not be started.
func (s *Sidecar) lookupGranted(header *lanepb.DispatchHeader) (*dispatch, *lanepb.Fault) {
	if header.GetBootId() != s.bootID {
		return nil, s.bootMismatchFault()
	}
	d := s.table.get(header.GetDispatchId())
	if d == nil && s.table.mayHaveForgotten(time.Now()) {
		return nil, s.newFault(nil, lanepb.Outcome_OUTCOME_UNKNOWN, "the dispatch is no longer known")
	}
	if d == nil {
		return nil, s.notRunFault(nil, lanepb.RefusalReason_REFUSAL_REASON_BARRED, "no grant for this dispatch")
	}
	if s.table.view(d).phase == phaseBarred {
		return nil, s.notRunFault(d.server, lanepb.RefusalReason_REFUSAL_REASON_BARRED, "the dispatch is barred")
	}
	return d, nil
}

// startDispatch starts a granted dispatch. A dispatch that was already started is not
// changed, so a duplicated message has no effect. It returns the fault of a dispatch that can't be
// started, or nil.
func (s *Sidecar) startDispatch(d *dispatch, header *lanepb.DispatchHeader, content []byte) *lanepb.Fault {
	if phase := s.table.view(d).phase; phase == phaseStarted || phase == phaseFinished {
		return nil
	}
	if s.isContained(d.server.Pool, d.request.GetVersion(), d.request.GetRoute()) {
		s.withdraw(d)
		return s.notRunFault(d.server, lanepb.RefusalReason_REFUSAL_REASON_VERSION, "the version is contained")
	}
	ctx, cancel := context.WithCancelCause(s.dispatchContext)
	run := newRun(s, d, header, content, cancel)
	now := time.Now()
	if !s.table.markStarted(d, now, cancel, run.answer) {
		cancel(nil)
		return s.startFault(d)
	}
	d.server.queue.Start(now, d.ticket)
	if !s.spawn(func() { run.execute(ctx) }) {
		run.failUnsent()
	}
	return nil
}

// startFault returns the fault of a dispatch that could not be started, or nil if a
// concurrent message has started it.
func (s *Sidecar) startFault(d *dispatch) *lanepb.Fault {
	if phase := s.table.view(d).phase; phase == phaseStarted || phase == phaseFinished {
		return nil
	}
	s.withdraw(d)
	return s.notRunFault(d.server, lanepb.RefusalReason_REFUSAL_REASON_BARRED, "the grant has expired or was revoked")
}

// serveResume answers with the frames of a dispatch from a sequence number on. It waits
// until a granted dispatch is started or barred.
func (s *Sidecar) serveResume(w http.ResponseWriter, r *http.Request) {
	encoded, err := io.ReadAll(io.LimitReader(r.Body, maxResumeBytes))
	request := &lanepb.ResumeRequest{}
	if err != nil || proto.Unmarshal(encoded, request) != nil {
		http.Error(w, "unreadable resume request", http.StatusBadRequest)
		return
	}
	if request.GetBootId() != s.bootID {
		s.sendFault(w, s.bootMismatchFault())
		return
	}
	d := s.table.get(request.GetDispatchId())
	if d == nil {
		s.sendFault(w, s.newFault(nil, lanepb.Outcome_OUTCOME_UNKNOWN, "the dispatch is not known"))
		return
	}
	if d.startedOrBarred != nil {
		select {
		case <-d.startedOrBarred:
		case <-r.Context().Done():
			return
		}
	}
	s.streamFrames(w, r, d, request.GetFromSequence())
}

// streamFrames sends the frames of a started dispatch as they arrive, from a sequence number on.
func (s *Sidecar) streamFrames(w http.ResponseWriter, r *http.Request, d *dispatch, from uint64) {
	state := s.table.view(d)
	if state.phase == phaseBarred {
		s.sendFault(w, s.notRunFault(d.server, lanepb.RefusalReason_REFUSAL_REASON_BARRED, "the dispatch is barred"))
		return
	}
	if state.answer == nil {
		s.sendFault(w, s.newFault(d.server, incompleteOutcome(d.idempotent), "the answer is no longer kept"))
		return
	}
	reader, err := state.answer.attach(from)
	if err != nil {
		s.sendFault(w, s.newFault(d.server, incompleteOutcome(d.idempotent), err.Error()))
		return
	}
	defer state.answer.detach(reader)
	if err := s.copyFrames(r.Context(), w, reader); err != nil {
		s.logger.Debug().Err(err).Str("dispatch", d.id).Msg("reader of the answer disconnected")
	}
}

// copyFrames writes frames up to and including the closing one. A reader whose connection
// accepts no bytes for readerStallTimeout is disconnected.
func (s *Sidecar) copyFrames(ctx context.Context, w http.ResponseWriter, r *reader) error {
	w.Header().Set("Content-Type", frameContentType)
	controller := http.NewResponseController(w)
	stallTimer := time.AfterFunc(readerStallTimeout, func() {
		// A response writer that doesn't support deadlines blocks until its connection closes.
		_ = controller.SetWriteDeadline(time.Now())
	})
	defer stallTimer.Stop()
	writer := frame.NewWriter(w)
	for {
		stallTimer.Stop()
		encoded, last, err := r.read(ctx)
		if err != nil {
			return err
		}
		stallTimer.Reset(readerStallTimeout)
		if err := writer.WriteEncoded(encoded); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}

// sendFault answers with a fault as the only frame.
func (s *Sidecar) sendFault(w http.ResponseWriter, fault *lanepb.Fault) {
	w.Header().Set("Content-Type", frameContentType)
	writer := frame.NewWriter(w)
	err := writer.Write(&lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: fault}})
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		s.logger.Debug().Err(err).Msg("failed to send fault to the entry")
	}
}

// notRunFault returns a fault which states that the request has not run and will not run.
func (s *Sidecar) notRunFault(target *server, reason lanepb.RefusalReason, detail string) *lanepb.Fault {
	fault := s.newFault(target, lanepb.Outcome_OUTCOME_NOT_RUN, detail)
	fault.Reason = reason
	return fault
}

// bootMismatchFault returns the fault of a message for another incarnation of the sidecar. This one
// doesn't send the request, but the other may have processed a copy of the message, so the
// outcome is unknown.
func (s *Sidecar) bootMismatchFault() *lanepb.Fault {
	fault := s.newFault(nil, lanepb.Outcome_OUTCOME_UNKNOWN, "the sidecar was started anew")
	fault.Reason = lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH
	return fault
}

// newFault returns a fault, with the load of the backend server unless target is nil.
func (s *Sidecar) newFault(target *server, outcome lanepb.Outcome, detail string) *lanepb.Fault {
	fault := &lanepb.Fault{Outcome: outcome, Detail: detail}
	if target != nil {
		fault.Load = s.load(target)
	}
	return fault
}

// incompleteOutcome returns the outcome of a request that may have run and has no complete answer.
func incompleteOutcome(idempotent bool) lanepb.Outcome {
	if idempotent {
		return lanepb.Outcome_OUTCOME_FAILED
	}
	return lanepb.Outcome_OUTCOME_UNKNOWN
}
