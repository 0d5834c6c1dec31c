// Package mix keeps the distribution of the sizes of recently requested tasks,
// so that placement can tell which are large.
//
// Sizes are counted in classes of equal ratio. Counts decay with time, so the
// mix follows what arrives. Work that is not requested any more is forgotten
// within minutes.
//
// # Usage
//
//	sizes := mix.New()
//	sizes.Add(now, 2000, 16)
//	large := sizes.IsLarge(16000)
package mix

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Parameters of the mix.
const (
	decayTime        = float64(60 * clock.Second) // time constant of the exponential decay of the counts, in ms
	decayInterval    = clock.Second               // least time between two decays of the counts
	classesPerOctave = 4                          // size classes per factor of two
	classes          = 40 * classesPerOctave      // sizes from 2^40 on are in the last class
	leastCount       = 0.5                        // least divisor of Fitting: below this decayed number, large tasks are too rare to count fully
	largeOctaves     = 1                          // a large task has twice the median size at least
)

// Mix is the distribution of recently requested sizes. It is not safe for concurrent
// use.
type Mix struct {
	counts    [classes]float64
	decayedAt clock.Millis
	median    int              // class of the median; negative: nothing is known
	fitting   [classes]float64 // by class: share of the large tasks that are of this or a smaller class; 0: there are none
}

// New returns a mix of which nothing is known.
func New() *Mix { return &Mix{median: -1} }

// Add counts newly requested tasks of one size.
func (m *Mix) Add(now clock.Millis, size int64, tasks int) {
	if now-m.decayedAt >= decayInterval {
		factor := math.Exp(-float64(now-m.decayedAt) / decayTime)
		for i := range m.counts {
			m.counts[i] *= factor
		}
		m.decayedAt = now
	}
	m.counts[class(size)] += float64(tasks)
	m.updateMedian()
	m.updateFitting()
}

// IsLarge reports whether a size is at least largeOctaves above the median of the
// recent ones.
func (m *Mix) IsLarge(size int64) bool {
	return m.median >= 0 && class(size) >= m.firstLarge()
}

// Fitting returns the share of the recent large tasks that fit in an amount, or
// 0 without any.
func (m *Mix) Fitting(amount int64) float64 {
	if amount <= 0 {
		return 0
	}
	return m.fitting[class(amount)]
}

// firstLarge returns the smallest class of large tasks.
func (m *Mix) firstLarge() int { return m.median + largeOctaves*classesPerOctave }

// updateFitting computes the cumulative share of large tasks by class.
func (m *Mix) updateFitting() {
	m.fitting = [classes]float64{}
	sum := 0.0
	for i := m.firstLarge(); i < classes; i++ {
		sum += m.counts[i]
		m.fitting[i] = sum
	}
	for i := range m.fitting {
		m.fitting[i] /= max(sum, leastCount)
	}
}

// updateMedian updates the class of the median size.
func (m *Mix) updateMedian() {
	total := 0.0
	for _, count := range m.counts {
		total += count
	}
	below := 0.0
	for i, count := range m.counts {
		below += count
		if 2*below >= total {
			m.median = i
			return
		}
	}
}

// class returns the class of a size.
func class(size int64) int {
	return min(int(classesPerOctave*math.Log2(float64(max(size, 1)))), classes-1)
}
