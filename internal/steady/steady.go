// Package steady owns a clock that neither jumps with the time of day nor stops
// while the machine is suspended. Ages and deadlines that other machines rely on
// are measured with it.
package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// testClock is the clock that is read in place of the kernel's; nil: none.
var testClock atomic.Pointer[func() time.Time]

// Replace makes Now read another clock until restore is called. It is for tests: the
// kernel's clock knows nothing of the virtual time of testing/synctest.
func Replace(now func() time.Time) (restore func()) {
	testClock.Store(&now)
	return func() { testClock.Store(nil) }
}

// Now returns the time since the machine's start as a time.Time. Values of one
// process are comparable with each other only.
func Now() time.Time {
	if now := testClock.Load(); now != nil {
		return (*now)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without this clock fails here; it can't suspend either.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time that has passed since an earlier Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a moment on this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
