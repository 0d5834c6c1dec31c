package interference

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Parameters of a trend. The load of a long-running task's users swings within
// about ten seconds, so a level is a line fitted to recent observations rather
// than a mean.
const (
	trendDecay       = 1.5 // time constant of the exponential decay of an observation's weight, in seconds
	maxExtrapolation = 1.5 // seconds beyond the last observation for which the line is extrapolated
	initialWeight    = 1.0 // of the initial level, in observations
	slopeDamping     = 1.5 // weight of the assumption that the level is constant, in squared seconds of observations
)

// trend is a line fitted to observations by weighted least squares, with older
// ones weighing less. Times are in seconds relative to the last observation.
type trend struct {
	at     clock.Millis // of the last observation
	weight float64      // sum of the weights
	time   float64      // weighted sum of the times
	value  float64      // weighted sum of the values
	square float64      // weighted sum of the squared times
	cross  float64      // weighted sum of the products of time and value
}

// newTrend returns a trend with an initial level.
func newTrend(level float64, now clock.Millis) *trend {
	return &trend{at: now, weight: initialWeight, value: initialWeight * level}
}

// add adds a weighted observation.
func (t *trend) add(value, weight float64, now clock.Millis) {
	passed := seconds(now - t.at)
	t.at = now
	t.square += passed * (passed*t.weight - 2*t.time)
	t.time -= passed * t.weight
	t.cross -= passed * t.value
	decay := math.Exp(-passed / trendDecay)
	t.weight = t.weight*decay + weight
	t.time *= decay
	t.value = t.value*decay + weight*value
	t.square *= decay
	t.cross *= decay
}

// level returns the expected value at a time.
func (t *trend) level(at clock.Millis) float64 {
	meanTime, mean := t.time/t.weight, t.value/t.weight
	slope := (t.cross - t.time*mean) / (t.square - t.time*meanTime + slopeDamping)
	ahead := min(seconds(at-t.at), maxExtrapolation)
	return min(max(mean+slope*(ahead-meanTime), 0), MaxHeadroom)
}

func seconds(d clock.Millis) float64 { return float64(d) / float64(clock.Second) }
