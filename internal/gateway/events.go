package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

const (
	// maxEventBytes bounds one event of a stream, with the comments and blank lines before
	// it: engines send some hundred bytes for some tokens.
	maxEventBytes = 64 << 10
	// eventBufferBytes holds some events of a stream.
	eventBufferBytes = 4 << 10
	// extraEvents is what a stream may have beside one event for each token: an opening
	// and a closing one, and some to spare.
	extraEvents = 16
	// maxUnnumberedEvents bounds the events without a number in a row after one that has one:
	// such as the closing event of some engines.
	maxUnnumberedEvents = 4
)

// The fields without which a block of lines is no event.
var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// maxEvents returns how many events a stream may have; 0: not known.
func (c *call) maxEvents() int {
	if !c.info.HasTokens || c.info.MaxOutputTokens == 0 {
		return 0
	}
	return c.info.MaxOutputTokens + extraEvents
}

// event is one event of a stream as it came, with the blank line that ends it and with
// what came before it that is no event. Its data is valid until the next is read.
type event struct {
	id   string
	data []byte
	// empty says that this is no event but the rest of a stream after its last one.
	empty bool
}

// eventReader splits a stream into its events. Part of an event at the end means
// that the stream broke off.
type eventReader struct {
	reader *bufio.Reader
	hold   *membudget.Hold
	// data is the buffer of an event, charged the part of it that the hold knows of.
	data    []byte
	charged int
}

func newEventReader(r io.Reader, hold *membudget.Hold) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), hold: hold, charged: eventBufferBytes}
}

// buffered returns how many bytes have come that are not read yet.
func (e *eventReader) buffered() int { return e.reader.Buffered() }

// next returns the next event, or io.EOF at the end of a whole stream. Blank lines,
// comments and unknown fields alone make no event: they wait for the next one, so that a stream of nothing
// else doesn't look alive.
func (e *eventReader) next() (event, error) {
	ev := event{empty: true}
	e.data = e.data[:0]
	for lineStart := true; ; {
		line, err := e.reader.ReadSlice('\n')
		if err := e.appendData(line); err != nil {
			return ev, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			// The next slice goes on with the line: it isn't the start of one.
			ev.empty = ev.empty && !(lineStart && bytes.HasPrefix(line, dataField))
			lineStart = false
			continue
		}
		if errors.Is(err, io.EOF) && len(e.data) > 0 {
			if len(line) == 0 && ev.empty && lineStart {
				ev.data = e.data
				return ev, nil
			}
			return ev, errors.WithStack(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if !lineStart {
			lineStart = true
			continue
		}
		if value, found := bytes.CutPrefix(text, idField); found {
			ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
			ev.empty = false
		}
		ev.empty = ev.empty && !bytes.HasPrefix(text, dataField)
		if len(text) == 0 && !ev.empty {
			ev.data = e.data
			return ev, nil
		}
	}
}

// appendData adds a part of a line to the event.
func (e *eventReader) appendData(line []byte) error {
	if len(e.data)+len(line) > maxEventBytes {
		return errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessEvent, Read: int64(len(e.data) + len(line)), Limit: maxEventBytes})
	}
	e.data = append(e.data, line...)
	if size := cap(e.data); size > e.charged {
		if err := e.hold.Take(int64(size - e.charged)); err != nil {
			return err
		}
		e.charged = size
	}
	return nil
}
