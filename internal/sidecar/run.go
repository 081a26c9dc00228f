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
	sidecar *Sidecar
	d       *dispatch
	header  *lanepb.DispatchHeader
	body    []byte
	answer  *answer
	cancel  context.CancelCauseFunc
	// grace runs while the answer has no reader.
	grace   *time.Timer
	started time.Time

	// whole checks whether the answer is complete.
	whole check
	// bytes is the number of body bytes received.
	bytes uint64
	// resumes counts the attempts to resume since the last received byte.
	resumes int
}

func newRun(s *Sidecar, d *dispatch, header *lanepb.DispatchHeader, body []byte, cancel context.CancelCauseFunc) *run {
	r := &run{sidecar: s, d: d, header: header, body: body, cancel: cancel, started: time.Now()}
	keep := keepNonIdempotentBytes
	if d.idempotent {
		keep = keepIdempotentBytes
	}
	r.answer = newAnswer(keep, r.readersChanged)
	r.grace = time.AfterFunc(readerGrace, r.abandoned)
	return r
}

// readersChanged stops the grace timer when a reader attaches and starts it when the last
// one detaches.
func (r *run) readersChanged(connected int) {
	if connected > 0 {
		r.grace.Stop()
		return
	}
	r.grace.Reset(readerGrace)
}

// abandoned cancels an idempotent request after readerGrace without a reader. A
// non-idempotent one continues without backpressure.
func (r *run) abandoned() {
	if r.d.idempotent {
		r.cancel(&AbandonedError{})
		return
	}
	r.answer.release()
}

// do sends the request, copies its answer and closes the dispatch.
func (r *run) do(ctx context.Context) {
	ctx, stop := context.WithDeadlineCause(ctx, r.latestEnd(), &OverdueError{})
	defer stop()
	defer r.grace.Stop()
	defer r.cancel(nil)
	err := r.exchange(ctx)
	var notSent *platform.NotSentError
	if stderrors.As(err, &notSent) {
		r.d.server.health.notReached(time.Now())
		r.neverSent()
		return
	}
	if err != nil && r.d.idempotent {
		r.cancelInEngine(ctx)
	}
	r.end(ctx, err)
}

// latestEnd returns when the run is stopped: at its deadline, or after maxRunTime if the
// request is not idempotent.
func (r *run) latestEnd() time.Time {
	if r.d.idempotent {
		return r.d.deadline
	}
	return time.Now().Add(maxRunTime)
}

// exchange sends the request and copies its answer. It returns nil once the complete answer
// is in the buffer.
func (r *run) exchange(ctx context.Context) error {
	reply, err := r.handOver(ctx)
	var broken *platform.BrokenCallError
	if stderrors.As(err, &broken) {
		reply, err = r.resume(ctx, err)
	}
	if err != nil {
		return err
	}
	r.d.server.health.reached()
	r.whole = newCheck(r.d.server.engine != nil, reply)
	head := &lanepb.Head{Status: uint32(reply.Status), Headers: headersOf(reply.Header)}
	if err := r.answer.append(ctx, &lanepb.Frame{Part: &lanepb.Frame_Head{Head: head}}); err != nil {
		reply.Body.Close()
		return err
	}
	return r.copyAll(ctx, reply)
}

// copyAll copies the body and resumes it from an engine after each break.
func (r *run) copyAll(ctx context.Context, reply *platform.Answer) error {
	for {
		before := r.bytes
		err := r.copy(ctx, reply.Body)
		reply.Body.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if r.bytes > before {
			r.resumes = 0
		}
		if reply, err = r.resume(ctx, err); err != nil {
			return err
		}
	}
}

// handOver sends the request to the backend server. It is called once per run, and nothing
// else in the system sends requests to a backend server of this sidecar.
func (r *run) handOver(ctx context.Context) (*platform.Answer, error) {
	reply, err := r.d.server.Backend.Do(ctx, platform.Call{
		ID:      r.d.id,
		Method:  r.header.GetMethod(),
		Path:    r.header.GetPath(),
		Header:  headerOf(r.header.GetHeaders()),
		Body:    bytes.NewReader(r.body),
		Version: r.d.request.GetVersion(),
	})
	r.body = nil
	return reply, errors.Wrap(err, "hand over")
}

// copy appends the body to the buffer. It returns nil at the end of a complete answer,
// *CutAnswerError if the body ended or failed before, or the cause of ctx.
func (r *run) copy(ctx context.Context, body io.Reader) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := r.take(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && r.whole.complete(r.bytes) {
			return nil
		}
		if err == io.EOF {
			return errors.WithStack(&CutAnswerError{Bytes: r.bytes})
		}
		if err != nil {
			return errors.WithStack(&CutAnswerError{Bytes: r.bytes, Cause: err})
		}
	}
}

// take appends a chunk of the body to the buffer and reports its tokens to the queue.
func (r *run) take(ctx context.Context, chunk []byte) error {
	if r.bytes == 0 {
		r.sidecar.metrics.answered(r.d, time.Since(r.started))
	}
	r.bytes += uint64(len(chunk))
	if tokens := r.whole.observe(chunk); tokens > 0 {
		r.d.server.queue.Events(time.Now(), r.d.ticket, tokens)
	}
	return r.answer.append(ctx, &lanepb.Frame{Part: &lanepb.Frame_Chunk{Chunk: chunk}})
}

// resume requests the rest of a broken answer from the next byte on. It returns the error
// of the break if the backend server can't resume or after maxResumes attempts without
// progress.
func (r *run) resume(ctx context.Context, broken error) (*platform.Answer, error) {
	for r.d.server.engine != nil && r.resumes < maxResumes {
		if !r.pause(ctx) {
			return nil, broken
		}
		r.resumes++
		reply, err := r.d.server.engine.Resume(ctx, r.d.id, r.bytes)
		if err == nil {
			return reply, nil
		}
	}
	return nil, broken
}

// pause waits before a resume without progress. It reports false if ctx has ended.
func (r *run) pause(ctx context.Context) bool {
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
	engine := r.d.server.engine
	if engine == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), engineCancelTimeout)
	defer stop()
	if err := engine.Cancel(ctx, r.d.id); err != nil {
		r.sidecar.logger.Debug().Err(err).Str("dispatch", r.d.id).Msg("failed to cancel request in engine")
	}
}

// end closes the answer with End or a fault and releases the slot.
func (r *run) end(ctx context.Context, err error) {
	now := time.Now()
	r.d.server.queue.Finish(now, r.d.ticket, err == nil, r.whole.usage().GetOutputTokens())
	r.close(r.closingFrame(ctx, err))
	r.sidecar.table.finish(r.d, now)
	r.sidecar.metrics.ended(r.d, err)
}

// neverSent closes a dispatch of which no byte was sent to the backend server. Its outcome
// is NOT_RUN.
func (r *run) neverSent() {
	defer r.cancel(nil)
	r.grace.Stop()
	now := time.Now()
	r.d.server.queue.Finish(now, r.d.ticket, false, 0)
	r.sidecar.table.notSent(r.d, now)
	fault := r.sidecar.notRun(r.d.server, lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY, "the backend server can't be reached")
	r.close(&lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: fault}})
}

// close appends the closing frame to the answer.
func (r *run) close(closing *lanepb.Frame) {
	if err := r.answer.append(context.Background(), closing); err != nil {
		r.sidecar.logger.Error().Err(err).Str("dispatch", r.d.id).Msg("failed to append closing frame to answer")
	}
}

// closingFrame returns End if err is nil, and otherwise a fault whose detail is the cause of
// ctx or err.
func (r *run) closingFrame(ctx context.Context, err error) *lanepb.Frame {
	load := r.sidecar.load(r.d.server)
	if err == nil {
		end := &lanepb.End{
			TotalFrames: r.answer.next() + 1,
			TotalBytes:  r.bytes,
			Usage:       r.whole.usage(),
			Load:        load,
		}
		return &lanepb.Frame{Part: &lanepb.Frame_End{End: end}}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	fault := &lanepb.Fault{Outcome: lostOutcome(r.d.idempotent), Detail: err.Error(), Load: load}
	return &lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: fault}}
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// headersOf converts HTTP headers for a frame, without the hop-by-hop headers.
func headersOf(header http.Header) []*lanepb.Header {
	var headers []*lanepb.Header
	for name, values := range header {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &lanepb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// headerOf converts the headers of a message for HTTP, without the hop-by-hop headers.
func headerOf(headers []*lanepb.Header) http.Header {
	header := http.Header{}
	for _, h := range headers {
		if name := http.CanonicalHeaderKey(h.GetName()); !hopHeaders[name] {
			header.Add(name, h.GetValue())
		}
	}
	return header
}
