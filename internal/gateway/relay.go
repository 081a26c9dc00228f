package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// EventOrderError reports a violation of the event order of a stream.
type EventOrderError struct{ Problem string }

func (e *EventOrderError) Error() string { return e.Problem }

// CallerWriteError reports that an answer could not be written to the caller.
type CallerWriteError struct{ Cause error }

func (e *CallerWriteError) Error() string { return "write to the caller: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *CallerWriteError) Unwrap() error { return e.Cause }

// callerError wraps an error from writing to the caller; it returns nil for nil.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&CallerWriteError{Cause: err})
}

// relay writes the answer to one caller. A stream may come from several backend servers in
// succession; the head of the first one is used.
type relay struct {
	w     http.ResponseWriter
	codec Codec
	// deadline is that of the request.
	deadline time.Time
	// closing reports whether the connection must be closed after the answer.
	closing func() bool
	// started is set once part of an answer has been sent.
	started     bool
	status      int
	header      http.Header
	lastEventID string
	// unflushed is set while events have been written and not flushed.
	unflushed bool
	// events counts the events sent to the caller; unnumbered counts the consecutive events
	// without an id since the last one with an id.
	events, unnumbered int
}

func newRelay(w http.ResponseWriter, codec Codec, deadline time.Time, closing func() bool) *relay {
	return &relay{w: w, codec: codec, deadline: deadline, closing: closing}
}

// prepareHeaders marks the answer as started, and sets and returns its headers.
func (r *relay) prepareHeaders(header http.Header) http.Header {
	r.started = true
	limitWrite(r.w, max(steady.Until(r.deadline), 0)+lateWriteTimeout)
	h := r.w.Header()
	for name, values := range r.codec.EncodeAnswer(header) {
		h[name] = values
	}
	if r.closing() {
		h.Set("Connection", "close")
	}
	return h
}

// resumeFrom returns the id of the last event sent to the caller, or "".
func (r *relay) resumeFrom() string { return r.lastEventID }

// writeReply sends a buffered answer.
func (r *relay) writeReply(answer *reply) error {
	h := r.prepareHeaders(answer.header)
	h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	r.w.WriteHeader(answer.status)
	if _, err := r.w.Write(answer.body); err != nil {
		return callerError(err)
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// holdHead stores the head of a stream until its first event. It has no effect on a resumed
// stream, which uses the head of its first backend server.
func (r *relay) holdHead(status int, header http.Header) {
	if !r.started {
		r.status, r.header = status, header
	}
}

func (r *relay) writeHead() {
	if r.started {
		return
	}
	r.prepareHeaders(r.header)
	r.w.WriteHeader(r.status)
}

// writeEvent writes an event, which flush sends to the caller.
func (r *relay) writeEvent(ev event) error {
	r.writeHead()
	if _, err := r.w.Write(ev.data); err != nil {
		return callerError(err)
	}
	r.events++
	r.unflushed = true
	if ev.id != "" {
		r.lastEventID = ev.id
	}
	return nil
}

// flush sends the events to the caller that have been written since the last flush.
func (r *relay) flush() error {
	if !r.unflushed {
		return nil
	}
	r.unflushed = false
	return callerError(http.NewResponseController(r.w).Flush())
}

// eventOrder is the position of an event relative to those already sent.
type eventOrder int

const (
	// eventDuplicate: the caller already has the event, after a resume.
	eventDuplicate eventOrder = iota
	// eventUnnumbered: the event has no id although earlier ones have.
	eventUnnumbered
	// eventNew: the event continues the stream.
	eventNew
)

// checkOrder returns the position of an event. It fails with *EventOrderError if events are missing,
// or if too many events have no id.
func (r *relay) checkOrder(ev event) (eventOrder, error) {
	last, err1 := strconv.ParseInt(r.lastEventID, 10, 64)
	next, err2 := strconv.ParseInt(ev.id, 10, 64)
	switch {
	case ev.empty:
		return eventUnnumbered, nil
	case err1 != nil:
		// No order can be checked before the first id.
		return eventNew, nil
	case err2 != nil:
		if r.unnumbered++; r.unnumbered > maxUnnumberedEvents {
			return eventDuplicate, errors.WithStack(&EventOrderError{Problem: "too many consecutive events without an id"})
		}
		return eventUnnumbered, nil
	case next <= last:
		return eventDuplicate, nil
	case next > last+1:
		return eventDuplicate, errors.WithStack(&EventOrderError{Problem: "events are missing from the stream"})
	}
	r.unnumbered = 0
	return eventNew, nil
}

// checkResumption checks the first event of the answer with which another backend server goes on with a
// stream. It fails with *EventOrderError if the event has no id: it may be an error, and can't be told
// from one.
func checkResumption(ev event) error {
	if _, err := strconv.ParseInt(ev.id, 10, 64); err == nil || ev.empty && len(bytes.TrimSpace(ev.data)) == 0 {
		return nil
	}
	return errors.WithStack(&EventOrderError{Problem: "the resumed stream begins without an event id"})
}

// isEventStream reports whether an answer isn't declared as anything but an event stream.
func isEventStream(h http.Header) bool {
	value := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err == nil && mediaType == "text/event-stream"
}

// finish completes a stream.
func (r *relay) finish() error {
	r.writeHead()
	return callerError(http.NewResponseController(r.w).Flush())
}
