// Package bounded owns the reading of bytes from other processes up to a limit. What is
// cut at its limit is an error, never a short answer.
package bounded

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// MaxHeadBytes bounds the head of an answer that is read by http.Transport: services
// and other processes of ours send some hundred bytes.
const MaxHeadBytes = 64 << 10

// TooLargeError says that more bytes came than there may be.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// ReadAll reads to the end. It fails with *TooLargeError beyond limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(NewReader(r, limit))
}

// Reader passes some bytes on and fails with *TooLargeError at the next one.
type Reader struct {
	r                io.Reader
	limit, remaining int64
}

// NewReader returns a reader of at most limit bytes of r.
func NewReader(r io.Reader, limit int64) *Reader {
	return &Reader{r: r, limit: limit, remaining: limit}
}

// Reset lets as many bytes pass as at the beginning.
func (b *Reader) Reset() { b.remaining = b.limit }

// Read implements io.Reader.
func (b *Reader) Read(p []byte) (int, error) {
	// The byte beyond the limit tells an end at the limit from more.
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining+1)])
	if b.remaining -= int64(n); b.remaining < 0 {
		b.remaining = 0
		return n - 1, errors.WithStack(&TooLargeError{Limit: b.limit})
	}
	return n, err
}
