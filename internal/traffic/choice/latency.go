package choice

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Latency smooths the latencies of answers, in milliseconds.
type Latency struct {
	Share float64 // weight of a new answer; 0 for that of a single server

	mean  float64
	dev   float64 // mean deviation
	count int
	at    clock.Millis // of the newest answer
}

// Known reports whether there was an answer.
func (latency *Latency) Known() bool { return latency.count > 0 }

// Mean returns the smoothed latency; 1 before any answer.
func (latency *Latency) Mean() float64 {
	if latency.count == 0 {
		return 1
	}
	return latency.mean
}

// High returns a latency that few answers exceed, as TCP estimates it for its
// timeout: the mean and four mean deviations.
func (latency *Latency) High() float64 { return latency.Mean() + highDeviations*latency.dev }

// Late returns a latency after which a second attempt may pay.
func (latency *Latency) Late() float64 { return latency.Mean() + lateDeviations*latency.dev }

// Add takes in the latency of one answer.
func (latency *Latency) Add(now clock.Millis, sample float64) {
	latency.count++
	latency.at = now
	share := latency.Share
	if share == 0 {
		share = sampleShare
	}
	share = max(share, 1/float64(latency.count))
	latency.dev += (math.Abs(sample-latency.mean) - latency.dev) * share
	latency.mean += (sample - latency.mean) * share
	if latency.count == 1 {
		latency.dev = 0
	}
}
