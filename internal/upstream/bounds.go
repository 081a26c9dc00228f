package upstream

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the bytes before the body of an answer, including interim heads.
	// Backend servers send a few hundred bytes.
	maxHeadBytes = 16 << 10
	// maxInterim bounds the number of interim heads (status 1xx) before an answer. Servers
	// that send any send one or two.
	maxInterim = 8
	// maxStray bounds the number of answers to other requests that are skipped.
	maxStray = 4
	// maxStrayBytes bounds the total size of the skipped answers, heads and bodies. A late
	// answer usually has a few KiB; beyond the bound a new connection is cheaper.
	maxStrayBytes = 1 << 20
	// maxDrainBytes and maxDrainTime bound the reading of an unused answer in order to reuse
	// its connection. They are small because opening a connection takes about a millisecond.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// maxCauseText bounds the cause in the text of a MalformedError, in bytes.
	maxCauseText = 160
)

// ExcessKind is the part of an answer that exceeded its limit.
type ExcessKind string

// Parts of an answer that have limits.
const (
	ExcessHead       ExcessKind = "head"
	ExcessInterim    ExcessKind = "interim-heads"
	ExcessStray      ExcessKind = "stray-answers"
	ExcessStrayBytes ExcessKind = "stray-bytes"
	ExcessDrain      ExcessKind = "unused-body"
	ExcessSurplus    ExcessKind = "after-answer"
	ExcessBody       ExcessKind = "body"
	ExcessEvent      ExcessKind = "event"
	ExcessEvents     ExcessKind = "events"
)

// ExcessError reports that a backend server sent more than a limit allows. An endless answer
// can't be distinguished from a long one, so both end with this error.
type ExcessError struct {
	Kind ExcessKind
	// Read is the amount that was read and Limit the amount allowed. The unit is bytes, or
	// the number of items for events, interim heads and stray answers.
	Read  int64
	Limit int64
}

func (e *ExcessError) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d: %d read", e.Kind, e.Limit, e.Read)
}

// MalformedError reports that a backend server sent bytes that are not a valid HTTP answer.
type MalformedError struct {
	// Read is the number of bytes read since the start of the exchange.
	Read int64
	// Cause is the parse error.
	Cause error
}

func (e *MalformedError) Error() string {
	text := e.Cause.Error()
	return "malformed answer: " + text[:min(len(text), maxCauseText)]
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// boundedReader reads from a connection, counts the bytes of an exchange and limits the size
// of each part of an answer.
type boundedReader struct {
	conn net.Conn
	// read is the number of bytes read since the start of the exchange.
	read int64
	// kind is the part that is being read, limit its limit in bytes and left the rest of it.
	kind        ExcessKind
	limit, left int64
	// unbounded is true while no limit applies.
	unbounded bool
	// err is the result of the last Read. explain uses it to distinguish connection errors
	// from parse errors.
	err error
}

// begin resets the byte count for a new exchange.
func (r *boundedReader) begin() { r.read, r.err = 0, nil }

// bound limits the following reads to a total of limit bytes, for a part of an answer.
func (r *boundedReader) bound(kind ExcessKind, limit int64) {
	r.kind, r.limit, r.left, r.unbounded = kind, limit, limit, false
}

// unbind removes the limit. The user of the body must limit its size.
func (r *boundedReader) unbind() { r.unbounded = true }

// Read reads from the connection. It returns *ExcessError if the limit is used up.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.unbounded {
		if r.left <= 0 {
			r.err = errors.WithStack(&ExcessError{Kind: r.kind, Read: r.read, Limit: r.limit})
			return 0, r.err
		}
		p = p[:min(int64(len(p)), r.left)]
	}
	n, err := r.conn.Read(p)
	r.read += int64(n)
	r.left -= int64(n)
	r.err = err
	return n, err
}

// explain classifies an error of a parser that reads from r. It returns *ExcessError if a
// limit was exceeded, io.EOF and errors of the connection unchanged, and *MalformedError for
// errors that are due to the bytes received.
func (r *boundedReader) explain(err error) error {
	var excess *ExcessError
	if err != nil && errors.As(r.err, &excess) {
		// The parser reports a part that was truncated at the limit as malformed.
		return r.err
	}
	if err == nil || errors.Is(err, io.EOF) || r.err != nil {
		return err
	}
	return errors.WithStack(&MalformedError{Read: r.read, Cause: err})
}
