package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxBufferedAnswer bounds the part of an answer that is held until it is whole.
	maxBufferedAnswer = 1 << 20
	// writeGrace is how long after the deadline a caller may still be written to.
	writeGrace = time.Second
	// An answer is held back by its caller if more than a tenth of its time, and
	// more than minCallerDelay, went into writing.
	callerDelayDivisor = 10
	minCallerDelay     = 50 * time.Millisecond
	// tailBytes is the end of an event stream that is kept to see its last event.
	tailBytes        = 32
	eventContentType = "text/event-stream"
)

// doneEvent ends a whole event stream of a model engine.
var doneEvent = []byte("data: [DONE]")

// relay writes one answer to the caller. An event stream is passed on frame by
// frame; any other answer is held until it is whole, or large.
type relay struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	call       *call
	head       *lanepb.Head
	// end is set once the answer is whole.
	end *lanepb.End
	// streaming is true once the answer's bytes go to the caller as they come.
	streaming      bool
	eventStream    bool
	headerSent     bool
	buffer         []byte
	tail           []byte
	chunks         uint64
	bytes          uint64
	firstChunkTime time.Time
	lastChunkTime  time.Time
	// writeTime is the time spent on writing to the caller.
	writeTime time.Duration
}

func newRelay(w http.ResponseWriter, one *call) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), call: one}
}

// started reports whether the caller has got a part of the answer.
func (r *relay) started() bool { return r.headerSent }

// setHead takes the status and header of the answer.
func (r *relay) setHead(head *lanepb.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 599 {
		return errors.WithStack(&BadAnswerError{Detail: "status " + strconv.Itoa(int(head.GetStatus()))})
	}
	r.head = head
	for _, one := range head.GetHeaders() {
		if strings.EqualFold(one.GetName(), "Content-Type") && strings.HasPrefix(one.GetValue(), eventContentType) {
			r.eventStream = true
		}
	}
	if r.eventStream && head.GetStatus() == http.StatusOK {
		r.streaming = true
		return r.writeHead(-1)
	}
	return nil
}

// writeHead sends the header; a negative length is not known.
func (r *relay) writeHead(length int) error {
	header := r.w.Header()
	for _, one := range r.head.GetHeaders() {
		name := http.CanonicalHeaderKey(one.GetName())
		if !strippedHeaders[name] && name != headerRequestID {
			header.Add(name, one.GetValue())
		}
	}
	if length >= 0 && r.call.method != http.MethodHead && bodyAllowed(r.head.GetStatus()) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	_ = r.controller.SetWriteDeadline(r.call.deadline.Add(writeGrace))
	r.w.WriteHeader(int(r.head.GetStatus()))
	r.headerSent = true
	return nil
}

func bodyAllowed(status uint32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// addChunk takes a part of the answer's body. When no more is at hand the
// caller gets what there is.
func (r *relay) addChunk(chunk []byte, more bool) error {
	if r.head == nil {
		return errors.WithStack(&BadAnswerError{Detail: "a chunk came before the head"})
	}
	r.recordChunk(chunk)
	if !r.streaming {
		r.buffer = append(r.buffer, chunk...)
		if len(r.buffer) <= maxBufferedAnswer {
			return nil
		}
		r.streaming = true
		if err := r.writeHead(-1); err != nil {
			return err
		}
		chunk, r.buffer = r.buffer, nil
	}
	_, err := r.w.Write(chunk)
	if err == nil && !more {
		err = r.controller.Flush()
	}
	r.writeTime += time.Since(r.lastChunkTime)
	if err != nil {
		return errors.WithStack(&CallerGoneError{Cause: err})
	}
	return nil
}

// meanChunkInterval returns the mean time between two parts of the answer, of which there are two or more.
func (r *relay) meanChunkInterval() time.Duration {
	return r.lastChunkTime.Sub(r.firstChunkTime) / time.Duration(r.chunks-1)
}

// slowedByCaller reports whether a slow caller shows in the times of the answer.
func (r *relay) slowedByCaller() bool {
	return r.writeTime > r.lastChunkTime.Sub(r.firstChunkTime)/callerDelayDivisor+minCallerDelay
}

func (r *relay) recordChunk(chunk []byte) {
	r.lastChunkTime = time.Now()
	if r.chunks == 0 {
		r.firstChunkTime = r.lastChunkTime
	}
	r.chunks++
	r.bytes += uint64(len(chunk))
	if !r.eventStream {
		return
	}
	if len(chunk) >= tailBytes {
		r.tail = append(r.tail[:0], chunk[len(chunk)-tailBytes:]...)
		return
	}
	r.tail = append(r.tail, chunk...)
	if over := len(r.tail) - tailBytes; over > 0 {
		r.tail = append(r.tail[:0], r.tail[over:]...)
	}
}

func (r *relay) flush() error {
	if err := r.controller.Flush(); err != nil {
		return errors.WithStack(&CallerGoneError{Cause: err})
	}
	return nil
}

// finish checks that the answer is whole and sends what is held. frames is the
// number of frames that were read, the last one included.
func (r *relay) finish(end *lanepb.End, frames uint64) error {
	if r.head == nil {
		return errors.WithStack(&BadAnswerError{Detail: "the answer has no head"})
	}
	r.end = end
	if end.GetTotalFrames() != frames || end.GetTotalBytes() != r.bytes {
		return errors.WithStack(&BadAnswerError{Detail: "the totals differ"})
	}
	if r.call.forEngine() && r.head.GetStatus() == http.StatusOK {
		if err := r.checkEngineAnswer(); err != nil {
			return err
		}
	}
	if r.streaming {
		return r.flush()
	}
	if err := r.writeHead(len(r.buffer)); err != nil {
		return err
	}
	if r.call.method == http.MethodHead || !bodyAllowed(r.head.GetStatus()) {
		return nil
	}
	if _, err := r.w.Write(r.buffer); err != nil {
		return errors.WithStack(&CallerGoneError{Cause: err})
	}
	return r.flush()
}

// checkEngineAnswer sees that a model engine did not cut its answer.
func (r *relay) checkEngineAnswer() error {
	if r.eventStream && !bytes.HasSuffix(bytes.TrimSpace(r.tail), doneEvent) {
		return errors.WithStack(&BadAnswerError{Detail: "the event stream has no last event"})
	}
	if !r.streaming && !json.Valid(r.buffer) {
		return errors.WithStack(&BadAnswerError{Detail: "the answer is not JSON"})
	}
	return nil
}

// clearWriteDeadline ends the write deadline of the connection, which may serve other requests.
func (r *relay) clearWriteDeadline() {
	if r.headerSent {
		_ = r.controller.SetWriteDeadline(time.Time{})
	}
}

// abort ends an answer that can't be completed, so that it doesn't look whole:
// an event stream gets a last event with the problem, and the connection is cut.
func (r *relay) abort(problem *Problem) {
	if r.eventStream {
		event := append([]byte("\n\nevent: error\ndata: "), problem.JSON()...)
		_, _ = r.w.Write(append(event, "\n\n"...))
		_ = r.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}
