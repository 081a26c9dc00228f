// Package membudget owns the bytes that a process may hold for all its requests
// together: bodies of callers and answers that are held whole. It must not decide what
// becomes of a request that gets none.
package membudget

import (
	"cmp"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
)

const (
	// defaultBytes is for processes that don't know how much memory they have.
	defaultBytes = 256 << 20
	// guaranteedBytes is what one holder may have however little is free, in bytes: most bodies
	// and answers are smaller, and a few large ones must not keep them out.
	guaranteedBytes = 16 << 10
	// maxShareOfFree is the part of what is left that one holder may have: N holders of bytes
	// without end leave one part in N/2+1 to others.
	maxShareOfFree = 0.5
	// firstBuffer is the first buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// growthDivisor is the part of a buffer by which it grows where it can't double.
	growthDivisor = 4
	// maxInitialBuffer is the announced length up to which a body gets its whole buffer before
	// its bytes have come.
	maxInitialBuffer = 64 << 10
)

// ExhaustedError says that there are no bytes left for a holder.
type ExhaustedError struct {
	// Asked is what the holder wanted besides Held; Used is what all hold, of Total.
	Asked, Held, Used, Total int64
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for %d bytes beside %d: %d of %d are held", e.Asked, e.Held, e.Used, e.Total)
}

// Budget is what all holders share. It is safe for concurrent use.
type Budget struct {
	total int64

	mu   sync.Mutex
	used int64
}

// New returns a budget of some bytes; 0 means defaultBytes.
func New(total int64) *Budget { return &Budget{total: cmp.Or(total, defaultBytes)} }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold returns a holder without bytes.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Hold is what one request holds. It is used by one goroutine.
type Hold struct {
	budget *Budget
	held   int64
}

// Take adds bytes to a holder. Beyond guaranteedBytes it may have a part of what is left after
// it, so that greedy holders leave some to others. It fails with *ExhaustedError.
func (h *Hold) Take(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.total - b.used - n
	if free < 0 || (h.held+n > guaranteedBytes && float64(h.held+n) > maxShareOfFree*float64(free)) {
		return errors.WithStack(&ExhaustedError{Asked: n, Held: h.held, Used: b.used, Total: b.total})
	}
	b.used += n
	h.held += n
	return nil
}

// Release gives back all that a holder has.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.held
	h.held = 0
}

// ReadAll reads a body to its end into bytes of the holder. Length is what it is
// announced to have, if positive; limit bounds it, if positive. Beside the reader's
// errors it fails with *bounded.TooLargeError or *ExhaustedError.
func (h *Hold) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, errors.WithStack(&bounded.TooLargeError{Limit: limit})
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int64(cap(body))
			newSize := nextSize(size, length, limit)
			if h.Take(newSize-size) != nil {
				// A smaller step may still do.
				newSize = min(newSize, size+max(size/growthDivisor, firstBuffer))
				if err := h.Take(newSize - size); err != nil {
					return nil, err
				}
			}
			body = append(make([]byte, 0, newSize), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if limit > 0 && int64(len(body)) > limit {
			return nil, errors.WithStack(&bounded.TooLargeError{Limit: limit})
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextSize returns the next size of a buffer. The byte beyond length or limit is for
// the end of the body.
func nextSize(size, length, limit int64) int64 {
	next := max(2*size, firstBuffer)
	if length > 0 && size <= length {
		next = min(max(next, maxInitialBuffer), length+1)
	}
	if limit > 0 {
		next = min(next, limit+1)
	}
	return next
}
