// Package steady reads the monotonic clock by which leases, timeouts and ages are measured.
//
// CLOCK_BOOTTIME does not step with the time of day and keeps running while the VM is suspended. Go's own monotonic
// clock stops during a suspension, so a lease measured by it would last too long.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading. Only differences are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}
