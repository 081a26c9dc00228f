// Package membudget limits the total memory that a process uses for buffered request and response
// bodies. The handling of requests that exceed the budget is up to the caller.
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
	// defaultBytes is the budget of processes without a configured or known memory size.
	defaultBytes = 256 << 20
	// guaranteedBytes is the size up to which a reservation may grow whenever the budget has room.
	// Most bodies are smaller, and a few large ones must not exclude them.
	guaranteedBytes = 16 << 10
	// maxShareOfFree is the largest size of one reservation relative to the free bytes: N
	// reservations for endless bodies leave a fraction of 1/(N/2+1) to others.
	maxShareOfFree = 0.5
	// firstBuffer is the size of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
	// growthDivisor sets the fraction (1/n) by which a buffer grows if it cannot be doubled.
	growthDivisor = 4
	// maxInitialBuffer bounds the buffer that is reserved for an announced length before the bytes
	// arrive, which they may never do.
	maxInitialBuffer = guaranteedBytes
)

// ExhaustedError is returned if the budget does not allow a reservation to grow.
type ExhaustedError struct {
	// Requested is the requested growth of a reservation of Held bytes; Used is the use of the
	// whole budget, out of Total.
	Requested, Held, Used, Total int64
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for %d bytes beside %d: %d of %d are held", e.Requested, e.Held, e.Used, e.Total)
}

// Budget is a memory budget shared by all reservations. It is safe for concurrent use.
type Budget struct {
	total int64

	mu   sync.Mutex
	used int64
}

// New returns a budget of total bytes; 0 selects defaultBytes.
func New(total int64) *Budget { return &Budget{total: cmp.Or(total, defaultBytes)} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Reservation is the reservation of one request. It must not be used concurrently.
type Reservation struct {
	budget *Budget
	size   int64
}

// Reserve reserves n more bytes. Beyond guaranteedBytes, the size of a reservation is limited to
// maxShareOfFree of the bytes that remain free, so that large reservations leave room for others.
// Reserve returns *ExhaustedError if the bytes cannot be reserved.
func (res *Reservation) Reserve(n int64) error {
	b := res.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.total - b.used - n
	if free < 0 || (res.size+n > guaranteedBytes && float64(res.size+n) > maxShareOfFree*float64(free)) {
		return errors.WithStack(&ExhaustedError{Requested: n, Held: res.size, Used: b.used, Total: b.total})
	}
	b.used += n
	res.size += n
	return nil
}

// Release returns all reserved bytes to the budget.
func (res *Reservation) Release() {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	res.budget.used -= res.size
	res.size = 0
}

// ReadAll reads a body to its end into reserved memory. length is the announced length of the
// body and limit its maximum length; values of 0 or less mean unknown and unlimited. ReadAll
// returns the reader's errors, *bounded.TooLargeError and *ExhaustedError.
func (res *Reservation) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, errors.WithStack(&bounded.TooLargeError{Limit: limit})
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int64(cap(body))
			newSize := nextSize(size, length, limit)
			if res.Reserve(newSize-size) != nil {
				// A smaller growth may still be possible.
				newSize = min(newSize, size+max(size/growthDivisor, firstBuffer))
				if err := res.Reserve(newSize - size); err != nil {
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

// nextSize returns the next size of a buffer. The extra byte beyond length or limit is needed to
// detect the end of the body.
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
