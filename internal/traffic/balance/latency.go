package balance

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Latency is an exponentially weighted mean and mean deviation of the
// latencies of answers, in milliseconds.
type Latency struct {
	Weight float64 // weight of a new answer; 0 for the default of a single server

	mean          float64
	meanDeviation float64
	count         int          // answers added
	updated       clock.Millis // time of the newest answer
}

// Known reports whether any answer was added.
func (latency *Latency) Known() bool { return latency.count > 0 }

// Mean returns the smoothed latency; 1 ms before any answer.
func (latency *Latency) Mean() float64 {
	if latency.count == 0 {
		return 1
	}
	return latency.mean
}

// UpperBound returns a latency that few answers exceed, as TCP estimates it for its
// retransmission timeout: the mean and four mean deviations.
func (latency *Latency) UpperBound() float64 {
	return latency.Mean() + highDeviations*latency.meanDeviation
}

// HedgeDelay returns the latency after which a second attempt may be worth its cost.
func (latency *Latency) HedgeDelay() float64 {
	return latency.Mean() + hedgeDeviations*latency.meanDeviation
}

// Add adds the latency of one answer.
func (latency *Latency) Add(now clock.Millis, sample float64) {
	latency.count++
	latency.updated = now
	weight := latency.Weight
	if weight == 0 {
		weight = defaultSampleWeight
	}
	weight = max(weight, 1/float64(latency.count))
	latency.meanDeviation += (math.Abs(sample-latency.mean) - latency.meanDeviation) * weight
	latency.mean += (sample - latency.mean) * weight
	if latency.count == 1 {
		latency.meanDeviation = 0
	}
}
