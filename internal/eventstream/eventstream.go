// Package eventstream finds the events in a stream of server-sent events (text/event-stream). It doesn't change the
// bytes of the stream, which may come in parts of any size.
package eventstream

import "bytes"

// MaxValueBytes is the size up to which the value of a field is kept. A longer value is taken as empty.
const MaxValueBytes = 4 << 10

const maxNameBytes = 8

// byteOrderMark may begin a stream, and nothing else in it.
var byteOrderMark = []byte("\ufeff")

var (
	idField   = []byte("id")
	dataField = []byte("data")
)

// Event holds the fields of an event that a forwarder needs.
type Event struct {
	// ID is the value of the last id field, or "".
	ID string
	// HasID and HasData report whether the event has an id field and a data field.
	HasID, HasData bool
	// Data is the value of the first data field. It is valid until the next call.
	Data []byte
}

// Scanner finds the ends of events. Its zero value is at the beginning of a stream.
type Scanner struct {
	event Event
	// line holds the beginning of the current line, lineBytes is the number of bytes of it so far.
	line      []byte
	lineBytes int
	// lines is the number of lines that have ended.
	lines int
	// afterCR is set if the last byte was a carriage return: a line feed that follows belongs to the same line end.
	afterCR bool
	// inEvent is set if the current event has a field.
	inEvent bool
}

// Next reads data up to the end of the current event, which is the blank line after its fields. It returns the number
// of bytes read, and the event if it has ended, or nil if data ended before. Comments and blank lines before an event
// are read with it.
func (s *Scanner) Next(data []byte) (int, *Event) {
	if !s.inEvent && s.lineBytes == 0 {
		s.event = Event{Data: s.event.Data[:0]}
	}
	n := 0
	for n < len(data) {
		if s.afterCR {
			s.afterCR = false
			if data[n] == '\n' {
				n++
				continue
			}
		}
		length := bytes.IndexAny(data[n:], "\r\n")
		if length < 0 {
			s.extendLine(data[n:])
			return len(data), nil
		}
		s.extendLine(data[n : n+length])
		s.afterCR = data[n+length] == '\r'
		n += length + 1
		if s.endLine() {
			return n, &s.event
		}
	}
	return n, nil
}

// InEvent reports whether an event or a line has begun and not ended, so that the stream is incomplete if it ends here.
func (s *Scanner) InEvent() bool { return s.inEvent || s.lineBytes > 0 }

func (s *Scanner) extendLine(part []byte) {
	s.lineBytes += len(part)
	kept := min(len(part), max(0, len(byteOrderMark)+maxNameBytes+MaxValueBytes-len(s.line)))
	s.line = append(s.line, part[:kept]...)
}

// endLine processes the current line. It reports whether the line ends an event.
func (s *Scanner) endLine() bool {
	line, isWhole := s.line, len(s.line) == s.lineBytes
	s.line, s.lineBytes = s.line[:0], 0
	if s.lines++; s.lines == 1 {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	if len(line) == 0 {
		ended := s.inEvent
		s.inEvent = false
		return ended
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		// A comment.
		return false
	}
	s.inEvent = true
	value = bytes.TrimPrefix(value, []byte(" "))
	if !isWhole || len(value) > MaxValueBytes {
		value = nil
	}
	switch {
	case bytes.Equal(name, idField):
		s.event.ID, s.event.HasID = string(value), true
	case bytes.Equal(name, dataField) && !s.event.HasData:
		s.event.Data, s.event.HasData = append(s.event.Data, value...), true
	}
	return false
}

// TrimByteOrderMark returns the beginning of a stream without its byte order mark, to append it to another stream.
func TrimByteOrderMark(data []byte) []byte { return bytes.TrimPrefix(data, byteOrderMark) }
