package edge

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// confirmTime is how long a holder may send orders without a new read of the fleet
// topic, counted from the start of its last read that showed no later claim. It
// applies only if engines do not reject orders with an old fencing token
// (Bounds.Fenced is false). It spans several reads, so that the loss of one does
// not stop the holder.
const confirmTime = 1500 * time.Millisecond

// sinceBoot returns the time since the boot of the machine. Unlike Go's
// monotonic clock, it includes the time for which the machine was suspended.
// During that time, another VM may have taken over this VM's engines.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // supported by Linux since 2.6.39
	}
	return time.Duration(t.Nano())
}
