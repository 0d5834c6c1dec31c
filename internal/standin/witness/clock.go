package witness

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// SharedClock returns a clock that reads the same in all processes of one
// machine, so that observers in several processes can be compared.
func SharedClock() clock.Clock {
	shared := clock.New()
	shared.Now = sinceStart
	return shared
}

func sinceStart() clock.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &at); err != nil {
		panic(err) // the clock is part of every kernel
	}
	return clock.Hour + clock.Of(time.Duration(at.Nano()))
}

// Observer sends one observation to a witness, near or far.
type Observer func(ctx context.Context, event Event)

// Observer returns the one that notes directly.
func (witness *Witness) Observer() Observer {
	return func(_ context.Context, event Event) { witness.Note(event) }
}
