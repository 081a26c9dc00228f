package gateway

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

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
	// closing reports whether the connection is to close behind the answer.
	closing func() bool
	// started is true once the caller has part of an answer.
	started     bool
	status      int
	header      http.Header
	lastEventID string
	// events counts those that the caller has, unnumbered those without a number since
	// the last that has one.
	events, unnumbered int
}

func newRelay(w http.ResponseWriter, codec Codec, leaving func() bool) *relay {
	return &relay{w: w, codec: codec, closing: leaving}
}

// prepareHeaders sets and returns the headers of an answer, which begins now.
func (r *relay) prepareHeaders(header http.Header) http.Header {
	r.started = true
	h := r.w.Header()
	for name, values := range r.codec.EncodeAnswer(header) {
		h[name] = values
	}
	if r.closing() {
		h.Set("Connection", "close")
	}
	return h
}

// resumeFrom returns the last event that the caller has; empty: none.
func (r *relay) resumeFrom() string { return r.lastEventID }

// writeReply sends an answer that is held whole.
func (r *relay) writeReply(answer *reply) error {
	h := r.prepareHeaders(answer.header)
	h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	r.w.WriteHeader(answer.status)
	if _, err := r.w.Write(answer.body); err != nil {
		return callerError(err)
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// holdHead keeps the head of a stream until its first event. A resumed stream keeps the
// head of its first backend server.
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

// writeEvent passes an event on. With more set, another one follows at once, and this one
// may wait for it.
func (r *relay) writeEvent(ev event, moreBuffered bool) error {
	r.writeHead()
	if _, err := r.w.Write(ev.data); err != nil {
		return callerError(err)
	}
	r.events++
	if ev.id != "" {
		r.lastEventID = ev.id
	}
	if moreBuffered {
		return nil
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// eventOrder is what an event brings to the caller.
type eventOrder int

const (
	// eventDuplicate: the caller has the event already, after a resume.
	eventDuplicate eventOrder = iota
	// eventUnnumbered: the event has no number among events that have.
	eventUnnumbered
	// eventNew: the stream has come further.
	eventNew
)

// checkOrder reports what an event brings. It fails with *EventError when the stream
// leaves events out or goes on without numbers.
func (r *relay) checkOrder(ev event) (eventOrder, error) {
	last, err1 := strconv.ParseInt(r.lastEventID, 10, 64)
	next, err2 := strconv.ParseInt(ev.id, 10, 64)
	switch {
	case ev.empty:
		return eventUnnumbered, nil
	case err1 != nil:
		// Before the first number there is no order to check.
		return eventNew, nil
	case err2 != nil:
		if r.unnumbered++; r.unnumbered > maxUnnumberedEvents {
			return eventDuplicate, errors.WithStack(&EventError{Problem: "the stream goes on without numbers"})
		}
		return eventUnnumbered, nil
	case next <= last:
		return eventDuplicate, nil
	case next > last+1:
		return eventDuplicate, errors.WithStack(&EventError{Problem: "the stream leaves events out"})
	}
	r.unnumbered = 0
	return eventNew, nil
}

// finish ends a stream that is whole.
func (r *relay) finish() error {
	r.writeHead()
	return callerError(http.NewResponseController(r.w).Flush())
}
