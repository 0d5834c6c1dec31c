// Package clock represents all time in the project as a count of milliseconds
// on a monotonic clock.
//
// Wall-clock time appears only in logs. Every deadline, lease and age is a
// [Millis], read from a [Clock] that is passed in, so that deterministic packages
// can run in virtual time.
//
// # Usage
//
//	clk := clock.New()
//	start := clk.Now()
//	...
//	if clk.Now()-start > 200 { ... }
//
// Tests of deterministic packages use [NewFake] and [Fake.Advance]. Tests of code
// with goroutines use testing/synctest, in which [New] follows virtual time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Units of time as Millis.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a standard library duration, rounding down to a millisecond.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Clock reads monotonic time and waits on it.
type Clock struct {
	// Now returns the time since an arbitrary fixed origin.
	Now func() Millis
	// Sleep waits for d. If the context ends first, it returns the context's error.
	Sleep func(ctx context.Context, d Millis) error
	// Pause waits as Sleep does, but returns early when it receives from wake.
	Pause func(ctx context.Context, d Millis, wake <-chan struct{}) error
}

// New returns the clock of this process.
func New() Clock {
	origin := time.Now()
	return Clock{
		// Starting at one hour keeps "now minus a timeout" positive.
		Now:   func() Millis { return Hour + FromDuration(time.Since(origin)) },
		Sleep: sleep,
		Pause: pause,
	}
}

func sleep(ctx context.Context, d Millis) error { return pause(ctx, d, nil) }

func pause(ctx context.Context, d Millis, wake <-chan struct{}) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
		return nil
	case <-timer.C:
		return nil
	}
}

// Fake is a manually advanced time source for tests and simulations.
type Fake struct {
	mu  sync.Mutex
	now Millis
}

// NewFake returns a time source set to the given time.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Now returns the current virtual time.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves time forward by d.
func (f *Fake) Advance(d Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// Clock returns a Clock on this source. Its Sleep and Pause advance the time by d
// and return at once.
func (f *Fake) Clock() Clock {
	return Clock{
		Now:   f.Now,
		Sleep: f.sleep,
		Pause: func(ctx context.Context, d Millis, _ <-chan struct{}) error { return f.sleep(ctx, d) },
	}
}

func (f *Fake) sleep(ctx context.Context, d Millis) error {
	f.Advance(d)
	return ctx.Err()
}
