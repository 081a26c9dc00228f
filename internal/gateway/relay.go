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
	// announce adds what the head must say of the connection.
	announce func(http.Header)
	// started is true once the caller has part of an answer.
	started bool
	status  int
	header  http.Header
	lastID  string
	// events counts those that the caller has, unnumbered those without a number since
	// the last that has one.
	events, unnumbered int
}

func newRelay(w http.ResponseWriter, codec Codec, announce func(http.Header)) *relay {
	return &relay{w: w, codec: codec, announce: announce}
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
	r.announce(h)
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
	r.announce(h)
	r.w.WriteHeader(r.status)
}

// event passes an event on. With more set, another one follows at once, and this one
// may wait for it.
func (r *relay) event(one event, more bool) error {
	r.start()
	if _, err := r.w.Write(one.data); err != nil {
		return callerError(err)
	}
	r.events++
	if one.id != "" {
		r.lastID = one.id
	}
	if more {
		return nil
	}
	return callerError(http.NewResponseController(r.w).Flush())
}

// news is what an event brings to the caller.
type news int

const (
	// newsNone: the caller has the event already, after a resume.
	newsNone news = iota
	// newsUnknown: the event has no number among events that have.
	newsUnknown
	// newsFresh: the stream has come further.
	newsFresh
)

// inOrder reports what an event brings. It fails with *EventError when the stream
// leaves events out or goes on without numbers.
func (r *relay) inOrder(one event) (news, error) {
	last, err1 := strconv.ParseInt(r.lastID, 10, 64)
	next, err2 := strconv.ParseInt(one.id, 10, 64)
	switch {
	case one.empty:
		return newsUnknown, nil
	case err1 != nil:
		// Before the first number there is no order to check.
		return newsFresh, nil
	case err2 != nil:
		if r.unnumbered++; r.unnumbered > maxUnnumbered {
			return newsNone, errors.WithStack(&EventError{Problem: "the stream goes on without numbers"})
		}
		return newsUnknown, nil
	case next <= last:
		return newsNone, nil
	case next > last+1:
		return newsNone, errors.WithStack(&EventError{Problem: "the stream leaves events out"})
	}
	r.unnumbered = 0
	return newsFresh, nil
}

// finish ends a stream that is whole.
func (r *relay) finish() error {
	r.start()
	return callerError(http.NewResponseController(r.w).Flush())
}
