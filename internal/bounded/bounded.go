// Package bounded reads data from other processes up to a limit. Data that exceeds its limit
// results in an error and is never returned as a complete, shorter message.
package bounded

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// MaxHeaderBytes bounds the size of response headers read by http.Transport. The services and
// processes of this project send some hundred bytes.
const MaxHeaderBytes = 64 << 10

// TooLargeError is returned if the data exceeds its limit.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// ReadAll reads to the end of r. It returns *TooLargeError if there are more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(NewReader(r, limit))
}

// Reader returns up to limit bytes and *TooLargeError if there are more.
type Reader struct {
	r                io.Reader
	limit, remaining int64
}

// NewReader returns a Reader for at most limit bytes of r.
func NewReader(r io.Reader, limit int64) *Reader {
	return &Reader{r: r, limit: limit, remaining: limit}
}

// Reset restores the full limit.
func (b *Reader) Reset() { b.remaining = b.limit }

// Read implements io.Reader.
func (b *Reader) Read(p []byte) (int, error) {
	// One byte beyond the limit is read to distinguish data that ends at the limit from longer data.
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining+1)])
	if b.remaining -= int64(n); b.remaining < 0 {
		b.remaining = 0
		return n - 1, errors.WithStack(&TooLargeError{Limit: b.limit})
	}
	return n, err
}
