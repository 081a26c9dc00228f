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
	// maxInterimHeads bounds the number of interim heads (status 1xx) before an answer. Servers
	// that send any send one or two.
	maxInterimHeads = 8
	// maxStrayAnswers bounds the number of answers to other requests that are skipped.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the total size of the skipped answers, heads and bodies. A late
	// answer usually has a few KiB; beyond the bound a new connection is cheaper.
	maxStrayBytes = 1 << 20
	// maxDrainBytes and maxDrainTime bound the reading of an unused answer in order to reuse
	// its connection. They are small because opening a connection takes about a millisecond.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// maxCauseBytes bounds the cause in the text of a MalformedError, in bytes.
	maxCauseBytes = 160
)

// ExcessKind is the part of an answer that exceeded its limit.
type ExcessKind string

// Parts of an answer that have limits.
const (
	ExcessHead         ExcessKind = "head"
	ExcessInterimHeads ExcessKind = "interim-heads"
	ExcessStrayAnswers ExcessKind = "stray-answers"
	ExcessStrayBytes   ExcessKind = "stray-bytes"
	ExcessUnusedBody   ExcessKind = "unused-body"
	ExcessAfterAnswer  ExcessKind = "after-answer"
	ExcessBody         ExcessKind = "body"
	ExcessEvent        ExcessKind = "event"
	ExcessEvents       ExcessKind = "events"
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
	cause := e.Cause.Error()
	return "malformed answer: " + cause[:min(len(cause), maxCauseBytes)]
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// boundedReader reads from a connection, counts the bytes of an exchange and limits the size
// of each part of an answer.
type boundedReader struct {
	conn net.Conn
	// bytesRead is the number of bytes read since the start of the exchange.
	bytesRead int64
	// kind is the part that is being read, limit its limit in bytes and remaining the rest of
	// that limit.
	kind             ExcessKind
	limit, remaining int64
	// unbounded is true while no limit applies.
	unbounded bool
	// lastErr is the result of the last Read. classifyError uses it to distinguish connection errors
	// from parse errors.
	lastErr error
}

// reset resets the byte count for a new exchange.
func (r *boundedReader) reset() { r.bytesRead, r.lastErr = 0, nil }

// setLimit limits the following reads to a total of limit bytes, for a part of an answer.
func (r *boundedReader) setLimit(kind ExcessKind, limit int64) {
	r.kind, r.limit, r.remaining, r.unbounded = kind, limit, limit, false
}

// clearLimit removes the limit. The user of the body must limit its size.
func (r *boundedReader) clearLimit() { r.unbounded = true }

// Read reads from the connection. It returns *ExcessError if the limit is used up.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.unbounded {
		if r.remaining <= 0 {
			r.lastErr = errors.WithStack(&ExcessError{Kind: r.kind, Read: r.bytesRead, Limit: r.limit})
			return 0, r.lastErr
		}
		p = p[:min(int64(len(p)), r.remaining)]
	}
	n, err := r.conn.Read(p)
	r.bytesRead += int64(n)
	r.remaining -= int64(n)
	r.lastErr = err
	return n, err
}

// classifyError classifies an error of a parser that reads from r. It returns *ExcessError if a
// limit was exceeded, io.EOF and errors of the connection unchanged, and *MalformedError for
// errors that are due to the bytes received.
func (r *boundedReader) classifyError(err error) error {
	var excess *ExcessError
	if err != nil && errors.As(r.lastErr, &excess) {
		// The parser reports a part that was truncated at the limit as malformed.
		return r.lastErr
	}
	if err == nil || errors.Is(err, io.EOF) || r.lastErr != nil {
		return err
	}
	return errors.WithStack(&MalformedError{Read: r.bytesRead, Cause: err})
}
