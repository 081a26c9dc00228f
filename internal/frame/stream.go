package frame

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	readBufferBytes  = 32 << 10
	writeBufferBytes = 32 << 10
	// maxRetainedBufferBytes limits the buffer that a reader retains between frames.
	maxRetainedBufferBytes = 64 << 10
)

// flusher is implemented by an http.ResponseWriter that supports streaming.
type flusher interface{ Flush() }

// Writer writes frames in batches. It is not safe for concurrent use.
type Writer struct {
	w       io.Writer
	flusher flusher
	pending []byte
}

// NewWriter returns a Writer that writes to w. If w has a Flush method, Writer.Flush calls it.
func NewWriter(w io.Writer) *Writer {
	f, _ := w.(flusher)
	return &Writer{w: w, flusher: f}
}

// Write adds a frame to the batch, and writes the batch if it has reached writeBufferBytes. It
// returns *TooLargeError, *MalformedError or the error of the underlying writer.
func (w *Writer) Write(f *lanepb.Frame) error {
	pending, err := Append(w.pending, f)
	if err != nil {
		return err
	}
	w.pending = pending
	return w.writeBatchIfFull()
}

// WriteEncoded adds frames that were encoded by Append. It returns the error of the underlying
// writer.
func (w *Writer) WriteEncoded(encoded []byte) error {
	w.pending = append(w.pending, encoded...)
	return w.writeBatchIfFull()
}

// Flush writes the batch and flushes the underlying writer.
func (w *Writer) Flush() error {
	if err := w.writeBatch(); err != nil {
		return err
	}
	if w.flusher != nil {
		w.flusher.Flush()
	}
	return nil
}

func (w *Writer) writeBatchIfFull() error {
	if len(w.pending) < writeBufferBytes {
		return nil
	}
	return w.writeBatch()
}

func (w *Writer) writeBatch() error {
	if len(w.pending) == 0 {
		return nil
	}
	_, err := w.w.Write(w.pending)
	w.pending = w.pending[:0]
	return errors.Wrap(err, "write frames")
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	buffer []byte
}

// NewReader returns a Reader that reads frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read returns the next frame, which the caller owns. It returns io.EOF if the stream ends between
// two frames, *TruncatedError if it ends within a frame, *TooLargeError, *MalformedError or the
// error of the underlying reader.
func (r *Reader) Read() (*lanepb.Frame, error) {
	encoded, err := readMessage(r.r, r.buffer, MaxBytes)
	if err != nil {
		return nil, err
	}
	if cap(encoded) <= maxRetainedBufferBytes {
		r.buffer = encoded
	}
	f := &lanepb.Frame{}
	if err := proto.Unmarshal(encoded, f); err != nil {
		return nil, errors.WithStack(&MalformedError{Cause: err})
	}
	return f, nil
}

// Buffered returns the number of bytes that can be read without blocking. If it is 0, the next Read
// may block, so a relay flushes its output before.
func (r *Reader) Buffered() int { return r.r.Buffered() }
