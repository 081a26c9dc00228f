package membudget_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
)

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestWholeBodiesAreRead(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 70_000, 1 << 20} {
		want := bytes.Repeat([]byte("x"), size)
		for _, length := range []int64{-1, int64(size)} {
			for _, limit := range []int64{0, int64(size), 4 << 20} {
				c := qt.New(t)
				budget := membudget.New(16 << 20)
				reservation := budget.NewReservation()
				got, err := reservation.ReadAll(iotest.HalfReader(bytes.NewReader(want)), length, limit)
				c.Assert(err, qt.IsNil)
				c.Assert(bytes.Equal(got, want), qt.IsTrue)
				c.Assert(budget.Used() >= int64(size), qt.IsTrue)
				reservation.Release()
				c.Assert(budget.Used(), qt.Equals, int64(0))
			}
		}
	}
}

func TestBodyBeyondItsLimitIsRejected(t *testing.T) {
	c := qt.New(t)
	var large *bounded.TooLargeError
	_, err := membudget.New(1<<20).NewReservation().ReadAll(strings.NewReader("12345"), -1, 4)
	c.Assert(errors.As(err, &large), qt.IsTrue)
	_, err = membudget.New(1<<20).NewReservation().ReadAll(nil, 5, 4)
	c.Assert(errors.As(err, &large), qt.IsTrue)
	_, err = membudget.New(64<<20).NewReservation().ReadAll(endless{}, -1, 8<<20)
	c.Assert(errors.As(err, &large), qt.IsTrue)
}

// TestTruncatedBodyIsAnError checks that a truncated body is not returned as a complete one.
func TestTruncatedBodyIsAnError(t *testing.T) {
	c := qt.New(t)
	_, err := membudget.New(1<<20).NewReservation().ReadAll(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, 0)
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
}

// TestAnnouncedLengthIsNotReservedInAdvance checks that a body with a large announced length that
// never arrives does not use up the budget.
func TestAnnouncedLengthIsNotReservedInAdvance(t *testing.T) {
	c := qt.New(t)
	budget := membudget.New(64 << 20)
	_, err := budget.NewReservation().ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 8<<20, 0)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(budget.Used() <= 128<<10, qt.IsTrue)
}

// TestEndlessBodiesLeaveRoomForOthers checks that many concurrent reservations for endless bodies
// leave room for small ones and that the total is never exceeded.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	c := qt.New(t)
	const total = 16 << 20
	budget := membudget.New(total)
	greedy := make([]*membudget.Reservation, 300)
	for i := range greedy {
		greedy[i] = budget.NewReservation()
	}
	for progress := true; progress; {
		progress = false
		for _, reservation := range greedy {
			progress = reservation.Reserve(4096) == nil || progress
			c.Assert(budget.Used() <= total, qt.IsTrue)
		}
	}
	for range 20 {
		_, err := budget.NewReservation().ReadAll(strings.NewReader(strings.Repeat("x", 4000)), -1, 8<<20)
		c.Assert(err, qt.IsNil, qt.Commentf("%d held", budget.Used()))
	}
	for _, reservation := range greedy {
		reservation.Release()
	}
	_, err := budget.NewReservation().ReadAll(strings.NewReader(strings.Repeat("x", 4<<20)), -1, 8<<20)
	c.Assert(err, qt.IsNil)
}
