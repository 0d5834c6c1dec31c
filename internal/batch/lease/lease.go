// Package lease decides who renews tasks' leases, for how long, and when a
// lease must be over although its worker is silent.
//
// A worker ends a lease by its own clock. Orders therefore carry times of the
// worker's clock, computed by [Reading] as a lower bound, so that an order that
// arrives late, or was sent by a process that had been paused, extends nothing
// beyond what was meant when it was made.
//
// An entry may renew for a cell while [Signs] says so: for at most the hold time
// after it added a sign (heartbeat or presence) that it has since read back from
// the cell's stream. Reading it back proves more than an acknowledged append:
// the entry has then applied every record before it, such as a dropped worker.
//
//	add sign ──> append ──> read back ──> may renew until added + hold
//
// After a worker was dropped by record, [Peers] says when every renewal by every
// entry must be over: an entry that has shown that it read the drop renews no
// more; any other stops one hold time after its last sign.
//
//	drop read ─┬─ sign with read_to >= drop: seen + lease
//	           └─ any other:                 last sign seen + hold + lease
//
// Types here are mutable and belong to the control thread.
//
// # Usage
//
//	if signs.May(now, terms.Hold) {
//		until, ok := readings[vm].Until(now, terms.Lease)
//		...
//	}
package lease

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// StartAllowance is how long after its record an attempt may still be
	// started, in the worker's time.
	StartAllowance clock.Millis = 10 * clock.Second

	// driftDivisor bounds the difference of two clocks' rates: one part in it.
	driftDivisor = 100
	// margin covers the steps of clocks and scheduling.
	margin clock.Millis = 500
)

// Slack returns what a length of time may grow to on another clock.
func Slack(length clock.Millis) clock.Millis { return length + length/driftDivisor + margin }

// Reading is what a worker's clock showed. The zero value is no reading.
type Reading struct {
	Boot     string
	Now      worker.Time
	Received clock.Millis // our time when the answer came, later than the reading
}

// Known reports whether there is a reading.
func (read Reading) Known() bool { return read.Boot != "" }

// At returns a lower bound of the worker's clock at our time now.
func (read Reading) At(now clock.Millis) worker.Time {
	passed := max(now-read.Received, 0)
	return read.Now + worker.Time(passed-passed/driftDivisor)
}

// Until returns the worker time of an instant that lies length after now, at
// the latest.
func (read Reading) Until(now, length clock.Millis) worker.Time {
	return read.At(now) + worker.Time(length)
}

// Signs keeps an entry's own signs of life in one cell's stream. The zero value
// has none.
type Signs struct {
	number  uint64
	pending map[uint64]clock.Millis // when each sign was added
	proof   clock.Millis            // when the newest sign that was read back had been added
	proved  bool
}

// Add counts a new sign and returns its number.
func (signs *Signs) Add(now clock.Millis) uint64 {
	if signs.pending == nil {
		signs.pending = map[uint64]clock.Millis{}
	}
	signs.number++
	signs.pending[signs.number] = now
	return signs.number
}

// Lost forgets a sign that is certainly not in the stream.
func (signs *Signs) Lost(number uint64) { delete(signs.pending, number) }

// Waiting returns how many signs were neither read back nor lost.
func (signs *Signs) Waiting() int { return len(signs.pending) }

// Read takes note that one of the own signs was read back.
func (signs *Signs) Read(number uint64) {
	added, known := signs.pending[number]
	if !known {
		return
	}
	delete(signs.pending, number)
	if !signs.proved || added > signs.proof {
		signs.proof, signs.proved = added, true
	}
}

// May reports whether the entry may renew leases.
func (signs *Signs) May(now, hold clock.Millis) bool {
	return signs.proved && now-signs.proof <= hold
}

// Proof returns when the newest sign that was read back had been added.
func (signs *Signs) Proof() (clock.Millis, bool) { return signs.proof, signs.proved }
