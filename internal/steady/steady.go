// Package steady provides a clock that counts suspension: it neither follows changes of the time
// of day nor stops while the machine is suspended. It measures ages and deadlines that other
// machines rely on.
package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// testClock replaces the kernel's clock if it is set.
var testClock atomic.Pointer[func() time.Time]

// Replace makes Now read another clock until restore is called. It is meant for tests, as the
// kernel's clock doesn't follow the virtual time of testing/synctest.
func Replace(now func() time.Time) (restore func()) {
	testClock.Store(&now)
	return func() { testClock.Store(nil) }
}

// Now returns the time since boot, including suspension, as a time.Time. It is comparable only
// with other values of this clock in the same process.
func Now() time.Time {
	if now := testClock.Load(); now != nil {
		return (*now)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without CLOCK_BOOTTIME returns an error, and such a kernel can't suspend.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time since an earlier result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
