package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBoot returns a clock that also counts time while the VM is suspended, which
// Go's monotonic time does not. Leases and the age of an ownership are measured
// with it. Sleep and Pause use Go timers, which do not count suspended time.
func NewBoot() Clock {
	origin := bootMillis()
	return Clock{
		Now:   func() Millis { return Hour + bootMillis() - origin },
		Sleep: sleep,
		Pause: pause,
	}
}

// NewShared returns a clock like NewBoot whose readings can be compared between
// the processes of one VM: the time since the VM booted.
func NewShared() Clock {
	return Clock{Now: bootMillis, Sleep: sleep, Pause: pause}
}

// UnixOffset returns what must be added to a reading of a clock to get Unix time in
// milliseconds.
func UnixOffset(c Clock) int64 { return time.Now().UnixMilli() - int64(c.Now()) }

// bootMillis reads CLOCK_BOOTTIME, which does not fail on supported systems.
func bootMillis() Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return Millis(now.Nano() / 1e6)
}
