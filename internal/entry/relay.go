package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/eventstream"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer that is not an event stream is
	// buffered until it is complete.
	maxBufferedAnswer = 1 << 20
	// writeGrace is how long after the deadline writing to the caller may continue.
	writeGrace = time.Second
	// An answer counts as slowed down by its caller if writing took more than minCallerDelay plus
	// 1/callerDelayDivisor of the time between the first and the last chunk.
	callerDelayDivisor = 10
	minCallerDelay     = 50 * time.Millisecond
	// maxHeldEvent is the size in bytes up to which an event is held back until it is whole.
	maxHeldEvent     = 64 << 10
	eventContentType = "text/event-stream"
)

// doneData is the data of the last event of a complete event stream of a model engine.
var doneData = []byte("[DONE]")

// relay writes one answer to the caller. An event stream is forwarded event by event; any other
// answer is buffered until it is complete or exceeds maxBufferedAnswer.
type relay struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	call       *call
	head       *lanepb.Head
	// end is set when the end frame was received.
	end *lanepb.End
	// streaming is set once chunks are written to the caller as they arrive.
	streaming   bool
	eventStream bool
	headerSent  bool
	buffer      []byte
	// scanner finds the events of an event stream; held is the part of an event that isn't whole.
	scanner eventstream.Scanner
	held    []byte
	// done is set if the last event of an event stream was its end marker.
	done           bool
	chunks         uint64
	bytes          uint64
	firstChunkTime time.Time
	lastChunkTime  time.Time
	// writeTime is the total time spent writing chunks to the caller.
	writeTime time.Duration
}

func newRelay(w http.ResponseWriter, c *call) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), call: c}
}

// started reports whether the response header was sent to the caller.
func (r *relay) started() bool { return r.headerSent }

// setHead stores the status and headers of the answer. For a successful event stream it sends them
// to the caller immediately.
func (r *relay) setHead(head *lanepb.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 599 {
		return errors.WithStack(&BadAnswerError{Detail: "status " + strconv.Itoa(int(head.GetStatus()))})
	}
	r.head = head
	for _, header := range head.GetHeaders() {
		if strings.EqualFold(header.GetName(), "Content-Type") && strings.HasPrefix(header.GetValue(), eventContentType) {
			r.eventStream = true
		}
	}
	if r.eventStream && head.GetStatus() == http.StatusOK {
		r.streaming = true
		return r.writeHead(-1)
	}
	return nil
}

// writeHead sends the response header. A negative length omits Content-Length.
func (r *relay) writeHead(length int) error {
	header := r.w.Header()
	for _, field := range r.head.GetHeaders() {
		name := http.CanonicalHeaderKey(field.GetName())
		if !strippedHeaders[name] && name != headerRequestID {
			header.Add(name, field.GetValue())
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

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status uint32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// addChunk buffers or writes a part of the answer's body. It flushes to the caller unless more
// frames are already available.
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
	if r.eventStream {
		chunk = r.takeWholeEvents(chunk)
	}
	var err error
	if len(chunk) > 0 {
		_, err = r.w.Write(chunk)
	}
	if err == nil && !more {
		err = r.controller.Flush()
	}
	r.writeTime += time.Since(r.lastChunkTime)
	if err != nil {
		return errors.WithStack(&CallerWriteError{Cause: err})
	}
	return nil
}

// meanChunkInterval returns the mean time between two chunks. The answer must have at least two.
func (r *relay) meanChunkInterval() time.Duration {
	return r.lastChunkTime.Sub(r.firstChunkTime) / time.Duration(r.chunks-1)
}

// slowedByCaller reports whether the caller read so slowly that it distorts the chunk times.
func (r *relay) slowedByCaller() bool {
	return r.writeTime > r.lastChunkTime.Sub(r.firstChunkTime)/callerDelayDivisor+minCallerDelay
}

// recordChunk updates the counters and the chunk times.
func (r *relay) recordChunk(chunk []byte) {
	r.lastChunkTime = time.Now()
	if r.chunks == 0 {
		r.firstChunkTime = r.lastChunkTime
	}
	r.chunks++
	r.bytes += uint64(len(chunk))
}

// takeWholeEvents adds a chunk of an event stream to the part that is held back. It returns the whole events and
// comments, and holds back the rest: an event of which the caller has a part can't be taken back.
func (r *relay) takeWholeEvents(chunk []byte) []byte {
	stream, whole := chunk, 0
	if len(r.held) > 0 {
		stream = append(r.held, chunk...)
	}
	for read := len(r.held); read < len(stream); {
		n, event := r.scanner.Next(stream[read:])
		read += n
		if event != nil && event.HasData {
			r.done = bytes.Equal(event.Data, doneData)
		}
		if !r.scanner.InEvent() {
			whole = read
		}
	}
	if len(stream)-whole > maxHeldEvent {
		whole = len(stream)
	}
	r.held = bytes.Clone(stream[whole:])
	return stream[:whole]
}

// flush sends buffered response data to the caller.
func (r *relay) flush() error {
	if err := r.controller.Flush(); err != nil {
		return errors.WithStack(&CallerWriteError{Cause: err})
	}
	return nil
}

// finish verifies that the answer is complete and writes the buffered body. frames is the number
// of frames read, including the end frame.
func (r *relay) finish(end *lanepb.End, frames uint64) error {
	if r.head == nil {
		return errors.WithStack(&BadAnswerError{Detail: "the answer has no head"})
	}
	r.end = end
	if end.GetTotalFrames() != frames || end.GetTotalBytes() != r.bytes {
		return errors.WithStack(&BadAnswerError{Detail: "the totals differ"})
	}
	if r.streaming && r.eventStream && r.scanner.InEvent() {
		return errors.WithStack(&BadAnswerError{Detail: "the event stream ends inside an event"})
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
		return errors.WithStack(&CallerWriteError{Cause: err})
	}
	return r.flush()
}

// checkEngineAnswer returns *BadAnswerError if a model engine truncated its answer.
func (r *relay) checkEngineAnswer() error {
	if r.eventStream && !r.done {
		return errors.WithStack(&BadAnswerError{Detail: "the event stream has no last event"})
	}
	if !r.streaming && !json.Valid(r.buffer) {
		return errors.WithStack(&BadAnswerError{Detail: "the answer is not JSON"})
	}
	return nil
}

// clearWriteDeadline removes the write deadline, because the connection may be reused for other
// requests.
func (r *relay) clearWriteDeadline() {
	if r.headerSent {
		_ = r.controller.SetWriteDeadline(time.Time{})
	}
}

// abort ends an answer that can't be completed so that the caller detects it: an event stream gets
// a final error event with the problem, unless a part of an event has been sent, and the connection is closed. It doesn't
// return.
func (r *relay) abort(request *http.Request, problem *Problem) {
	if r.eventStream && (len(r.held) > 0 || !r.scanner.InEvent()) {
		event := append([]byte("\n\nevent: error\ndata: "), problem.JSON()...)
		_, _ = r.w.Write(append(event, "\n\n"...))
		_ = r.controller.Flush()
	}
	callerconn.Abort(r.w, request)
}
