package duration

import (
	"cmp"
	"math"
)

// histogram counts values with exponentially decaying weight. A value is a log2 minus
// the origin of the scale. The weight of new values grows instead of the old weights
// being scaled down, so that adding one changes one bin only.
type histogram struct {
	bins  [binCount]float64
	total float64
	next  float64 // weight of the next value; 0: no value yet
}

// growth is the factor by which a value weighs more than the one before it.
var growth = math.Exp(1 / memorySamples)

func (h *histogram) add(value float64) {
	if h.next == 0 {
		h.next = 1
	}
	h.bins[binOf(value)] += h.next
	h.total += h.next
	h.next *= growth
	if h.next > renormalizeAt {
		for i := range h.bins {
			h.bins[i] /= h.next
		}
		h.total, h.next = h.total/h.next, 1
	}
}

// binOf returns the bin of a value; values out of range are in the outer bins.
func binOf(value float64) int {
	if !(value > 0) { // also for a value that is not a number
		return 0
	}
	return int(min(value*binsPerOctave, binCount-1))
}

// center returns the value that stands for a bin.
func center(bin int) float64 { return (float64(bin) + 0.5) / binsPerOctave }

// samples is the number of values, each counted by its remaining weight.
func (h *histogram) samples() float64 {
	if h.next == 0 {
		return 0
	}
	return h.total * growth / h.next
}

// quantile returns the value below which a share of the weight lies.
func (h *histogram) quantile(share float64) float64 {
	sum := 0.0
	for i, weight := range h.bins {
		if sum += weight; sum >= share*h.total && weight > 0 {
			return center(i)
		}
	}
	return 0
}

// likely returns the log2 of the linear mean of the values up to lateQuantile.
func (h *histogram) likely() float64 {
	rest := lateQuantile * h.total
	mean := 0.0
	for i, weight := range h.bins {
		weight = min(weight, rest)
		rest -= weight
		mean += weight * math.Exp2(center(i))
	}
	return math.Log2(mean / (lateQuantile * h.total))
}

// spread returns the distance between the 10% and the 90% quantile.
func (h *histogram) spread() float64 { return h.quantile(0.9) - h.quantile(0.1) }

// loadedHistogram returns a histogram with the share loadedLate of its weight at the
// late value and the rest at the likely one.
func loadedHistogram(samples, likely, late float64) histogram {
	var h histogram
	h.next, h.total = growth, samples
	h.bins[binOf(late)] += loadedLate * samples
	h.bins[binOf(likely)] += (1 - loadedLate) * samples
	return h
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.image, b.image), cmp.Compare(a.class, b.class))
}
