// Package steady reads the clock that leases, timeouts and ages are measured by.
//
// CLOCK_BOOTTIME is neither stepped with the time of day nor stopped while the VM is suspended. Go's own monotonic
// clock stops during a suspension, so a lease measured by it would outlive its real time.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading. Only differences are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}
