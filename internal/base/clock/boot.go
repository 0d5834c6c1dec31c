package clock

import (
	"golang.org/x/sys/unix"
)

// NewBoot returns a clock that also counts the time for which the machine was
// suspended, which Go's own monotonic time does not. Leases and ages of
// ownership are measured with it. Sleep and Pause wait by Go's timers.
func NewBoot() Clock {
	origin := bootMillis()
	return Clock{
		Now:   func() Millis { return Hour + bootMillis() - origin },
		Sleep: sleep,
		Pause: pause,
	}
}

// bootMillis reads CLOCK_BOOTTIME, which cannot fail on the systems served.
func bootMillis() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return Millis(now.Nano() / 1e6)
}
