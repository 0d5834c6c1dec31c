package harm

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Terms of a trend. The load of a lasting task's users swings within some ten
// seconds, so a level is a line through what was seen lately, not a mean.
const (
	trendMemory  = 1.5 // seconds after which an observation counts e times less
	trendReach   = 1.5 // most seconds that a line is followed beyond its last observation
	levelWeight  = 1.0 // of the level that is assumed at first, in observations
	steadyWeight = 1.5 // of the assumption that a level stays, in squared seconds of observations
)

// trend is a line fitted to observations by least squares, in which older ones
// count less. Times are in seconds before the last observation.
type trend struct {
	at     clock.Millis // of the last observation
	weight float64      // sum of weights
	time   float64      // ... times time
	value  float64      // ... times value
	square float64      // ... times time squared
	cross  float64      // ... times time and value
}

// newTrend returns a trend that assumes a level.
func newTrend(level float64, now clock.Millis) *trend {
	return &trend{at: now, weight: levelWeight, value: levelWeight * level}
}

// add takes an observation with a weight.
func (t *trend) add(value, weight float64, now clock.Millis) {
	passed := seconds(now - t.at)
	t.at = now
	t.square += passed * (passed*t.weight - 2*t.time)
	t.time -= passed * t.weight
	t.cross -= passed * t.value
	keep := math.Exp(-passed / trendMemory)
	t.weight = t.weight*keep + weight
	t.time *= keep
	t.value = t.value*keep + weight*value
	t.square *= keep
	t.cross *= keep
}

// level returns the value that is expected at a time.
func (t *trend) level(at clock.Millis) float64 {
	meanTime, mean := t.time/t.weight, t.value/t.weight
	slope := (t.cross - t.time*mean) / (t.square - t.time*meanTime + steadyWeight)
	ahead := min(seconds(at-t.at), trendReach)
	return min(max(mean+slope*(ahead-meanTime), 0), MaxHeadroom)
}

func seconds(d clock.Millis) float64 { return float64(d) / float64(clock.Second) }
