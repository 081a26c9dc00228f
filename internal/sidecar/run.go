package sidecar

import (
	"bytes"
	"context"
	stderrors "errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// copyBufferBytes is the size of the copy buffer and so the largest chunk of a frame.
	copyBufferBytes = 32 << 10
	// readerGrace is how long a dispatch waits for a reader after the last one has
	// disconnected.
	readerGrace = 5 * time.Second
	// engineCancelTimeout bounds one Cancel call to an engine.
	engineCancelTimeout = 2 * time.Second
	// maxResumes is the number of attempts to resume a broken answer without progress.
	maxResumes = 3
	// resumeDelay is the delay before the second attempt; it doubles with each further one.
	resumeDelay = 50 * time.Millisecond
)

// copyBuffers pools the copy buffers, as most answers are much shorter than a buffer.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// run executes a started dispatch: it sends the request to the backend server exactly once
// and copies the answer into the answer buffer.
type run struct {
	sidecar  *Sidecar
	dispatch *dispatch
	header   *lanepb.DispatchHeader
	body     []byte
	answer   *answer
	cancel   context.CancelCauseFunc
	// graceTimer runs while the answer has no reader.
	graceTimer *time.Timer
	started    time.Time

	// check determines whether the answer is complete.
	check answerCheck
	// receivedBytes is the number of body bytes received.
	receivedBytes uint64
	// resumes counts the attempts to resume since the last received byte.
	resumes int
}

// newRun returns a run whose grace timer is started.
func newRun(s *Sidecar, d *dispatch, header *lanepb.DispatchHeader, body []byte, cancel context.CancelCauseFunc) *run {
	r := &run{sidecar: s, dispatch: d, header: header, body: body, cancel: cancel, started: time.Now()}
	keep := retainNonIdempotentBytes
	if d.idempotent {
		keep = retainIdempotentBytes
	}
	r.answer = newAnswer(keep, r.updateGraceTimer)
	r.graceTimer = time.AfterFunc(readerGrace, r.graceExpired)
	return r
}

// updateGraceTimer stops the grace timer when a reader attaches and starts it when the last
// one detaches.
func (r *run) updateGraceTimer(connected int) {
	if connected > 0 {
		r.graceTimer.Stop()
		return
	}
	r.graceTimer.Reset(readerGrace)
}

// graceExpired cancels an idempotent request after readerGrace without a reader. A
// non-idempotent one continues without backpressure.
func (r *run) graceExpired() {
	if r.dispatch.idempotent {
		r.cancel(&AbandonedError{})
		return
	}
	r.answer.release()
}

// execute sends the request, copies its answer and closes the dispatch.
func (r *run) execute(ctx context.Context) {
	ctx, stop := context.WithDeadlineCause(ctx, r.stopTime(), &DeadlineExceededError{})
	defer stop()
	defer r.graceTimer.Stop()
	defer r.cancel(nil)
	err := r.exchange(ctx)
	var notSent *platform.NotSentError
	if stderrors.As(err, &notSent) {
		r.dispatch.server.health.recordFailure(time.Now())
		r.failUnsent()
		return
	}
	if err != nil && r.dispatch.idempotent {
		r.cancelInEngine(ctx)
	}
	r.finish(ctx, err)
}

// stopTime returns when the run is stopped: at its deadline, or after maxRunTime if the
// request is not idempotent.
func (r *run) stopTime() time.Time {
	if r.dispatch.idempotent {
		return r.dispatch.deadline
	}
	return time.Now().Add(maxRunTime)
}

// exchange sends the request and copies its answer. It returns nil once the complete answer
// is in the buffer.
func (r *run) exchange(ctx context.Context) error {
	reply, err := r.send(ctx)
	var broken *platform.BrokenCallError
	if stderrors.As(err, &broken) {
		reply, err = r.resume(ctx, anyStatus, err)
	}
	if err != nil {
		return err
	}
	r.dispatch.server.health.recordSuccess()
	r.check = newAnswerCheck(r.dispatch.server.engine != nil, reply)
	head := &lanepb.Head{Status: uint32(reply.Status), Headers: toFrameHeaders(reply.Header)}
	if err := r.answer.append(ctx, &lanepb.Frame{Part: &lanepb.Frame_Head{Head: head}}); err != nil {
		reply.Body.Close()
		return err
	}
	return r.copyWithResume(ctx, reply)
}

// copyWithResume copies the body and resumes it from an engine after each break.
func (r *run) copyWithResume(ctx context.Context, reply *platform.Answer) error {
	for status := reply.Status; ; {
		before := r.receivedBytes
		err := r.copy(ctx, reply.Body)
		reply.Body.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if r.receivedBytes > before {
			r.resumes = 0
		}
		if reply, err = r.resume(ctx, status, err); err != nil {
			return err
		}
	}
}

// send sends the request to the backend server. It is called once per run, and nothing
// else in the system sends requests to a backend server of this sidecar.
func (r *run) send(ctx context.Context) (*platform.Answer, error) {
	reply, err := r.dispatch.server.Backend.Do(ctx, platform.Call{
		ID:      r.dispatch.id,
		Method:  r.header.GetMethod(),
		Path:    r.header.GetPath(),
		Header:  toHTTPHeader(r.header.GetHeaders()),
		Body:    bytes.NewReader(r.body),
		Version: r.dispatch.request.GetVersion(),
	})
	r.body = nil
	if err == nil {
		r.recordPause(reply)
	}
	return reply, errors.Wrap(err, "hand over")
}

// recordPause records the time without requests that the backend server asks for when it turns a
// request away.
func (r *run) recordPause(reply *platform.Answer) {
	pause, err := reply.RetryAfter()
	if err != nil {
		r.sidecar.logger.Warn().Err(err).Str("dispatch", r.dispatch.id).Str("backend_server", r.dispatch.server.ID).Msg("malformed header of a backend server")
	}
	if pause <= 0 {
		return
	}
	r.dispatch.server.health.recordPause(time.Now(), pause)
	r.sidecar.logger.Info().Str("dispatch", r.dispatch.id).Str("backend_server", r.dispatch.server.ID).Dur("for_ms", pause).Str("outcome", "paused").Msg("backpressure")
}

// copy appends the body to the buffer. It returns nil at the end of a complete answer,
// *IncompleteAnswerError if the body ended or failed before, or the cause of ctx.
func (r *run) copy(ctx context.Context, body io.Reader) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := r.appendChunk(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && r.check.complete(r.receivedBytes) {
			return nil
		}
		if err == io.EOF {
			return errors.WithStack(&IncompleteAnswerError{Bytes: r.receivedBytes})
		}
		if err != nil {
			return errors.WithStack(&IncompleteAnswerError{Bytes: r.receivedBytes, Cause: err})
		}
	}
}

// appendChunk appends a chunk of the body to the buffer and reports its tokens to the queue.
func (r *run) appendChunk(ctx context.Context, chunk []byte) error {
	if r.receivedBytes == 0 {
		r.sidecar.metrics.recordFirstByte(r.dispatch, time.Since(r.started))
	}
	r.receivedBytes += uint64(len(chunk))
	if tokens := r.check.observe(chunk); tokens > 0 {
		r.dispatch.server.queue.RecordEvents(time.Now(), r.dispatch.ticket, tokens)
	}
	return r.answer.append(ctx, &lanepb.Frame{Part: &lanepb.Frame_Chunk{Chunk: chunk}})
}

// anyStatus is the status of an answer whose head hasn't been received.
const anyStatus = 0

// resume requests the rest of a broken answer with a status from the next byte on. It returns the
// error of the break if the backend server can't resume or after maxResumes attempts without
// progress.
func (r *run) resume(ctx context.Context, status int, broken error) (*platform.Answer, error) {
	for r.dispatch.server.engine != nil && r.resumes < maxResumes {
		if !r.waitBeforeResume(ctx) {
			return nil, broken
		}
		r.resumes++
		reply, err := r.dispatch.server.engine.Resume(ctx, r.dispatch.id, r.receivedBytes)
		if err == nil && (status == anyStatus || reply.Status == status) {
			return reply, nil
		}
		if err == nil {
			// Another answer: its body doesn't belong to this one.
			reply.Body.Close()
		}
	}
	return nil, broken
}

// waitBeforeResume waits before a resume without progress. It reports false if ctx has ended.
func (r *run) waitBeforeResume(ctx context.Context) bool {
	if r.resumes == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(resumeDelay << (r.resumes - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// cancelInEngine cancels a request in the engine after its answer has failed, as the engine
// would otherwise continue to generate it. It does nothing for a plain service.
func (r *run) cancelInEngine(ctx context.Context) {
	engine := r.dispatch.server.engine
	if engine == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), engineCancelTimeout)
	defer stop()
	if err := engine.Cancel(ctx, r.dispatch.id); err != nil {
		r.sidecar.logger.Debug().Err(err).Str("dispatch", r.dispatch.id).Msg("failed to cancel request in engine")
	}
}

// finish closes the answer with End or a fault and releases the slot.
func (r *run) finish(ctx context.Context, err error) {
	now := time.Now()
	r.dispatch.server.queue.Finish(now, r.dispatch.ticket, err == nil, r.check.usage().GetOutputTokens())
	r.close(r.closingFrame(ctx, err))
	r.sidecar.table.markFinished(r.dispatch, now)
	r.sidecar.metrics.countDispatch(r.dispatch, err)
}

// failUnsent closes a dispatch of which no byte was sent to the backend server. Its outcome
// is NOT_RUN.
func (r *run) failUnsent() {
	defer r.cancel(nil)
	r.graceTimer.Stop()
	now := time.Now()
	r.dispatch.server.queue.Finish(now, r.dispatch.ticket, false, 0)
	r.sidecar.table.markNotSent(r.dispatch, now)
	fault := r.sidecar.notRunFault(r.dispatch.server, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY, "the backend server can't be reached")
	r.close(&lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: fault}})
}

// close appends the closing frame to the answer.
func (r *run) close(closing *lanepb.Frame) {
	if err := r.answer.append(context.Background(), closing); err != nil {
		r.sidecar.logger.Error().Err(err).Str("dispatch", r.dispatch.id).Msg("failed to append closing frame to answer")
	}
}

// closingFrame returns End if err is nil, and otherwise a fault whose detail is the cause of
// ctx or err.
func (r *run) closingFrame(ctx context.Context, err error) *lanepb.Frame {
	load := r.sidecar.load(r.dispatch.server)
	if err == nil {
		end := &lanepb.End{
			TotalFrames: r.answer.nextSequence() + 1,
			TotalBytes:  r.receivedBytes,
			Usage:       r.check.usage(),
			Load:        load,
		}
		return &lanepb.Frame{Part: &lanepb.Frame_End{End: end}}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	fault := &lanepb.Fault{Outcome: incompleteOutcome(r.dispatch.idempotent), Detail: err.Error(), Load: load}
	return &lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: fault}}
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// toFrameHeaders converts HTTP headers for a frame, without the hop-by-hop headers.
func toFrameHeaders(header http.Header) []*lanepb.Header {
	var headers []*lanepb.Header
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &lanepb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// toHTTPHeader converts the headers of a message for HTTP, without the hop-by-hop headers.
func toHTTPHeader(headers []*lanepb.Header) http.Header {
	header := http.Header{}
	for _, h := range headers {
		if name := http.CanonicalHeaderKey(h.GetName()); !hopByHopHeaders[name] {
			header.Add(name, h.GetValue())
		}
	}
	return header
}
