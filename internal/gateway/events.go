package gateway

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/eventstream"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

const (
	// maxEventBytes limits one event of a stream, including the comments and blank lines before
	// it. Engines send some hundred bytes per event.
	maxEventBytes = 64 << 10
	// eventBufferBytes is the size of the read buffer of a stream: enough for several events.
	eventBufferBytes = 4 << 10
	// extraEvents is how many events a stream may have beyond one per output token: an opening
	// and a closing event, and a margin.
	extraEvents = 16
	// maxUnnumberedEvents limits consecutive events without an id after an event with one. Some
	// engines send a closing event without an id.
	maxUnnumberedEvents = 4
)

// maxEvents returns how many events a stream may have, or 0 if that is unknown.
func (c *call) maxEvents() int {
	if !c.info.HasTokens || c.info.MaxOutputTokens == 0 {
		return 0
	}
	return c.info.MaxOutputTokens + extraEvents
}

// event is one event of a stream in its original bytes, with its terminating blank line and any
// preceding comments and blank lines. Its data is valid until the next read.
type event struct {
	id   string
	data []byte
	// empty marks the bytes after the last event of a stream.
	empty bool
}

// eventReader splits a stream into events. A partial event at the end of the input means that
// the stream is incomplete.
type eventReader struct {
	reader  *bufio.Reader
	scanner eventstream.Scanner
	// beforeWait is called when all that has been received was read.
	beforeWait  func() error
	reservation *membudget.Reservation
	// data is the buffer of the current event; charged is the number of bytes of it that are
	// charged to hold.
	data    []byte
	charged int
}

func newEventReader(r io.Reader, reservation *membudget.Reservation, beforeWait func() error) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), beforeWait: beforeWait, reservation: reservation, charged: eventBufferBytes}
}

// next returns the next event, or io.EOF at the end of a complete stream. Blank lines, comments
// and events without data and id are returned with the next event. Otherwise a stream of comments
// would count as progress.
func (e *eventReader) next() (event, error) {
	ev := event{empty: true}
	e.data = e.data[:0]
	for {
		if e.reader.Buffered() == 0 {
			if err := e.beforeWait(); err != nil {
				return ev, err
			}
		}
		_, err := e.reader.Peek(1)
		if errors.Is(err, io.EOF) && e.scanner.InEvent() {
			return ev, errors.WithStack(io.ErrUnexpectedEOF)
		}
		if errors.Is(err, io.EOF) && len(e.data) > 0 {
			ev.data = e.data
			return ev, nil
		}
		if err != nil {
			return ev, err
		}
		received, _ := e.reader.Peek(e.reader.Buffered())
		n, ended := e.scanner.Next(received)
		if err := e.appendData(received[:n]); err != nil {
			return ev, err
		}
		if _, err := e.reader.Discard(n); err != nil {
			return ev, errors.WithStack(err)
		}
		if ended != nil && (ended.HasID || ended.HasData) {
			return event{id: ended.ID, data: e.data}, nil
		}
	}
}

// appendData adds part of a line to the current event.
func (e *eventReader) appendData(line []byte) error {
	if len(e.data)+len(line) > maxEventBytes {
		return errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessEvent, Read: int64(len(e.data) + len(line)), Limit: maxEventBytes})
	}
	e.data = append(e.data, line...)
	if size := cap(e.data); size > e.charged {
		if err := e.reservation.Reserve(int64(size - e.charged)); err != nil {
			return err
		}
		e.charged = size
	}
	return nil
}
