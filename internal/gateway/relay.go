package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// eventBuffer holds some events of a stream.
	eventBuffer = 4 << 10
)

// event is one event of a stream as it came, with the blank line that ends it.
type event struct {
	id   string
	data []byte
}

// eventReader splits a stream into its events. Part of an event at the end means
// that the stream broke off.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// buffered returns how many bytes have come that are not read yet.
func (e *eventReader) buffered() int { return e.reader.Buffered() }

// next returns the next event, or io.EOF at the end of a whole stream.
func (e *eventReader) next() (event, error) {
	var one event
	for {
		line, err := e.reader.ReadSlice('\n')
		one.data = append(one.data, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(one.data) > maxEventBytes {
				return one, errors.WithStack(&EventError{Problem: "an event is too large"})
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(one.data) > 0 {
			return one, errors.WithStack(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return one, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			one.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(text) == 0 {
			return one, nil
		}
	}
}

// EventError says that a stream is not as it should be.
type EventError struct{ Problem string }

func (e *EventError) Error() string { return e.Problem }

// CallerError says that an answer could not be written to the caller.
type CallerError struct{ Cause error }

func (e *CallerError) Error() string { return "caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }

// callerError wraps a failure to write to the caller; nil stays nil.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&CallerError{Cause: err})
}

// relay is the answer to one caller. A stream may come from several backend servers
// one after the other; it keeps the head of the first.
type relay struct {
	w     http.ResponseWriter
	codec Codec
	// started is true once the caller has part of an answer.
	started bool
	status  int
	header  http.Header
	lastID  string
}

func newRelay(w http.ResponseWriter, codec Codec) *relay {
	return &relay{w: w, codec: codec}
}

// resumeFrom returns the last event that the caller has; empty: none.
func (r *relay) resumeFrom() string { return r.lastID }

// whole sends an answer that is held whole.
func (r *relay) whole(held *reply) error {
	r.started = true
	h := r.w.Header()
	for name, values := range r.codec.EncodeAnswer(held.header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(held.body)))
	r.w.WriteHeader(held.status)
	if _, err := r.w.Write(held.body); err != nil {
		return callerError(err)
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// open keeps the head of a stream until its first event. A resumed stream keeps the
// head of its first backend server.
func (r *relay) open(status int, header http.Header) {
	if !r.started {
		r.status, r.header = status, header
	}
}

func (r *relay) start() {
	if r.started {
		return
	}
	r.started = true
	h := r.w.Header()
	for name, values := range r.codec.EncodeAnswer(r.header) {
		h[name] = values
	}
	r.w.WriteHeader(r.status)
}

// event passes an event on. With more set, another one follows at once, and this one
// may wait for it. An event that the caller has already, after a resume, is left out.
func (r *relay) event(one event, more bool) error {
	fresh, err := r.inOrder(one)
	if err != nil || !fresh {
		return err
	}
	r.start()
	if _, err := r.w.Write(one.data); err != nil {
		return callerError(err)
	}
	if one.id != "" {
		r.lastID = one.id
	}
	if more {
		return nil
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// inOrder reports whether an event is one that the caller lacks. It fails with
// *EventError when the stream jumps back or leaves events out.
func (r *relay) inOrder(one event) (bool, error) {
	last, err1 := strconv.ParseInt(r.lastID, 10, 64)
	next, err2 := strconv.ParseInt(one.id, 10, 64)
	if err1 != nil || err2 != nil {
		// Without numbers there is no order to check.
		return true, nil
	}
	switch {
	case next <= last:
		return false, nil
	case next > last+1:
		return false, errors.WithStack(&EventError{Problem: "the stream leaves events out"})
	}
	return true, nil
}

// finish ends a stream that is whole.
func (r *relay) finish() error {
	r.start()
	return callerError(http.NewResponseController(r.w).Flush())
}
