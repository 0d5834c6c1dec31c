package share

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// burstTime is the time of submissions at a customer's rate that it may send at once.
const burstTime = 4 * clock.Second

// Bucket counts submissions against a rate. The zero value is full.
type Bucket struct {
	used float64 // tokens missing to a full bucket at the time of the last take
	at   clock.Millis
}

// Take takes a token, and reports whether there was one.
func (b *Bucket) Take(now clock.Millis, rate float64) bool {
	b.refill(now, rate)
	if b.used+1 > burst(rate) {
		return false
	}
	b.used++
	return true
}

// TakeOverflow takes a token that the bucket would lose because it is full.
func (b *Bucket) TakeOverflow(now clock.Millis, rate float64) bool {
	b.refill(now, rate)
	return b.used == 0 && b.Take(now, rate)
}

func (b *Bucket) refill(now clock.Millis, rate float64) {
	b.used = min(max(b.used-rate*float64(now-b.at)/float64(clock.Second), 0), burst(rate))
	b.at = now
}

// burst is the size of a bucket: a customer with a low rate may still send a
// submission at once.
func burst(rate float64) float64 { return max(rate*float64(burstTime)/float64(clock.Second), 1) }

// TimeToServe returns the time in which a number of submissions is served at a rate.
func TimeToServe(submissions int, rate float64) clock.Millis {
	return clock.Millis(math.Ceil(float64(submissions) / rate * float64(clock.Second)))
}
