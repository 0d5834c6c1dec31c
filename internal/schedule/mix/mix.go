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
	decay            = float64(60 * clock.Second) // time constant of the exponential decay of the counts, in ms
	decayInterval    = clock.Second               // least time between two decays of the counts
	classesPerOctave = 4
	classes          = 40 * classesPerOctave
	leastCount       = 0.5 // decayed number of large tasks below which they do not come regularly; keeps quotients finite
	largeOctaves     = 1   // a large task has twice the median size at least
)

// Mix is the distribution of recently requested sizes.
type Mix struct {
	counts    [classes]float64
	decayedAt clock.Millis
	median    int              // class of the median; negative: nothing is known
	fitting   [classes]float64 // share of the large tasks of a class up to this one; 0: there are none
}

// New returns a mix of which nothing is known.
func New() *Mix { return &Mix{median: -1} }

// Add counts a number of tasks of a size that are requested now.
func (m *Mix) Add(now clock.Millis, size int64, tasks int) {
	if now-m.decayedAt >= decayInterval {
		factor := math.Exp(-float64(now-m.decayedAt) / decay)
		for i := range m.counts {
			m.counts[i] *= factor
		}
		m.decayedAt = now
	}
	m.counts[class(size)] += float64(tasks)
	m.updateMedian()
	m.updateFitting()
}

// IsLarge reports whether a size is far above the median of the recent ones.
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

// firstLarge is the least class of large tasks.
func (m *Mix) firstLarge() int { return m.median + largeOctaves*classesPerOctave }

// updateFitting sums up the large tasks.
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

// updateMedian finds the class of the median.
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

// class is the class of a size.
func class(size int64) int {
	return min(int(classesPerOctave*math.Log2(float64(max(size, 1)))), classes-1)
}
