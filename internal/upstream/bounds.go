package upstream

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds what comes before the body of an answer, interim heads
	// included. Backend servers send some hundred bytes.
	maxHeadBytes = 16 << 10
	// maxInterim bounds the heads with a status of 1xx before an answer; servers that
	// send any send one or two.
	maxInterim = 8
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 4
	// maxStrayBytes bounds those answers together, heads and bodies: an answer that came
	// late is usually a few KiB, and beyond this a new connection is cheaper.
	maxStrayBytes = 1 << 20
	// maxDrainBytes and maxDrainTime bound what is read of an answer only to keep its
	// connection: opening one takes about a millisecond.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// maxCauseText bounds, in bytes, what an error tells of bytes that are no answer.
	maxCauseText = 160
)

// ExcessKind names what a backend server sent too much of.
type ExcessKind string

// Kinds of excess.
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

// ExcessError says that a backend server sent more than an answer may have: bytes
// without end can't be told from it.
type ExcessError struct {
	Kind ExcessKind
	// Read is how much was read and Limit how much may be, in bytes; events, interim heads
	// and stray answers are counted.
	Read  int64
	Limit int64
}

func (e *ExcessError) Error() string {
	return fmt.Sprintf("%s without end: more than %d, %d read", e.Kind, e.Limit, e.Read)
}

// MalformedError says that a backend server sent bytes that are no answer.
type MalformedError struct {
	// Read is how many bytes were read.
	Read  int64
	Cause error
}

func (e *MalformedError) Error() string {
	text := e.Cause.Error()
	return "bytes that are no answer: " + text[:min(len(text), maxCauseText)]
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// boundedReader counts the bytes of an exchange and bounds those of its parts.
type boundedReader struct {
	conn net.Conn
	// read counts the bytes since the exchange began.
	read int64
	// kind is the part that is being read; it may have left more bytes of limit.
	kind        ExcessKind
	limit, left int64
	unbounded   bool
	// err is the connection's last error: errors that it hasn't are of what was read.
	err error
}

// begin starts to count for a new exchange.
func (r *boundedReader) begin() { r.read, r.err = 0, nil }

// bound lets at most limit further bytes pass.
func (r *boundedReader) bound(kind ExcessKind, limit int64) {
	r.kind, r.limit, r.left, r.unbounded = kind, limit, limit, false
}

// unbind leaves it to the caller to bound what comes.
func (r *boundedReader) unbind() { r.unbounded = true }

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

// explain tells an error of the connection from one of the bytes that it carried.
func (r *boundedReader) explain(err error) error {
	var excess *ExcessError
	if err != nil && errors.As(r.err, &excess) {
		// What was cut at the limit looks malformed.
		return r.err
	}
	if err == nil || errors.Is(err, io.EOF) || r.err != nil {
		return err
	}
	return errors.WithStack(&MalformedError{Read: r.read, Cause: err})
}
