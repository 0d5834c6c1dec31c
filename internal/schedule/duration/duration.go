// Package duration estimates how long tasks run, from the runs that have ended.
//
// Tasks are grouped into kinds by queue, image and the power of two of the
// declared duration. For each kind there are two histograms on a logarithmic
// scale: of the duration, and of its ratio to the declaration. An estimate uses
// the narrower one: declarations that follow the duration make the ratio narrow,
// declarations that are noise make the duration narrow. Quantiles and a mean
// without the slowest runs keep outliers from moving the estimate, and older
// runs are forgotten exponentially. A kind with too few runs falls back to all
// images of its queue together.
//
// # Usage
//
//	estimator := duration.New()
//	estimator.Observe(kind, ran, now)
//	likely, late, samples := estimator.Predict(kind)
//	if samples == 0 {
//		// not enough is known; use the declaration
//	}
package duration

import (
	"math"
	"math/bits"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Parameters of the estimates.
const (
	minSamples     = 20        // runs below which a kind is not known; two steps of usual size have as many
	memorySamples  = 200.0     // runs after which the weight of a run has fallen to 1/e
	lateQuantile   = 0.95      // quantile that Predict returns as late; runs above it do not count for likely
	maxKinds       = 512       // kinds kept in memory
	keptKinds      = 384       // kinds kept when maxKinds is exceeded, the most recently used ones
	maxRecordBytes = 64 << 10  // encoded kinds, at most; the most recently used ones are kept
	rowOverhead    = 64        // bytes of an encoded kind beyond its names, at most
	renormalizeAt  = 1e12      // weight of a new run from which all weights are scaled down, to stay in the range of floats
	recordChange   = 0.1       // relative change of an estimate from which it is worth a new record
	loadedLate     = 0.15      // share of the weight of a loaded kind that is put at its late value
	binsPerOctave  = 8         // bins of a histogram per factor of two
	binCount       = 128       // bins of a histogram
	lengthOrigin   = 4         // log2 of the smallest duration in ms
	ratioOrigin    = -8        // log2 of the smallest ratio
	anyImage       = "\x00any" // image of the kind that stands for all images of a queue
)

// Kind identifies tasks that are expected to run equally long.
type Kind struct {
	Queue    string
	Image    string
	Declared clock.Millis // 0: not declared
}

// key identifies a kind: declarations within a factor of two are one kind.
type key struct {
	queue string
	image string
	class int // 0: not declared
}

func (k Kind) key() key {
	return key{queue: k.Queue, image: k.Image, class: bits.Len64(uint64(max(k.Declared, 0)))}
}

// ofQueue is the key of the kind that stands for all images of the queue.
func (k key) ofQueue() key { return key{queue: k.queue, image: anyImage, class: k.class} }

// Estimator holds the estimates of all kinds. A nil Estimator knows nothing. It
// is not safe for concurrent use.
type Estimator struct {
	kinds   map[key]*estimate
	changed bool
}

// estimate is what is known of a kind.
type estimate struct {
	lengths  histogram
	ratios   histogram // empty unless the kind has a declaration
	usedAt   clock.Millis
	recorded summary // as last encoded
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{kinds: map[key]*estimate{}} }

// Observe adds a run that has done all of its work. ran is the time that it takes
// with all the processors that it requests.
func (e *Estimator) Observe(kind Kind, ran, now clock.Millis) {
	if ran <= 0 {
		return
	}
	exact := kind.key()
	for _, k := range [...]key{exact, exact.ofQueue()} {
		known := e.kind(k, now)
		known.usedAt = now
		known.lengths.add(math.Log2(float64(ran)) - lengthOrigin)
		if kind.Declared > 0 {
			known.ratios.add(math.Log2(float64(ran)/float64(kind.Declared)) - ratioOrigin)
		}
	}
	e.changed = true
}

// Predict returns the likely duration of a task of a kind, a late one that few
// exceed (lateQuantile), and the number of runs that they were computed from. All
// are 0 if fewer than minSamples runs have been observed.
func (e *Estimator) Predict(kind Kind) (likely, late clock.Millis, samples int) {
	if e == nil {
		return 0, 0, 0
	}
	exact := kind.key()
	for _, k := range [...]key{exact, exact.ofQueue()} {
		known := e.kinds[k]
		if known == nil || known.lengths.samples() < minSamples {
			continue
		}
		likely, late = known.summary().of(kind.Declared)
		return likely, late, int(known.lengths.samples())
	}
	return 0, 0, 0
}

// Kinds returns the number of kinds of which enough runs have been seen.
func (e *Estimator) Kinds() int {
	known := 0
	for _, kind := range e.kinds {
		if kind.lengths.samples() >= minSamples {
			known++
		}
	}
	return known
}

func (e *Estimator) kind(k key, now clock.Millis) *estimate {
	if known := e.kinds[k]; known != nil {
		return known
	}
	if len(e.kinds) >= maxKinds {
		e.forgetUnused()
	}
	known := &estimate{usedAt: now}
	e.kinds[k] = known
	return known
}

// forgetUnused drops the kinds that have not been used for the longest time.
func (e *Estimator) forgetUnused() {
	for _, k := range e.byUse()[keptKinds:] {
		delete(e.kinds, k)
	}
}

// byUse lists the kinds, the most recently used ones first.
func (e *Estimator) byUse() []key {
	keys := make([]key, 0, len(e.kinds))
	for k := range e.kinds {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		if c := e.kinds[b].usedAt - e.kinds[a].usedAt; c != 0 {
			return int(c)
		}
		return compareKeys(a, b)
	})
	return keys
}

// summary holds the quantities of an estimate that predictions use, as log2 of
// durations in ms and of ratios.
type summary struct {
	samples                float64
	length, lateLength     float64
	ratio, lateRatio       float64
	declared, prefersRatio bool
}

func (e *estimate) summary() summary {
	s := summary{samples: e.lengths.samples(), declared: e.ratios.total > 0}
	s.length, s.lateLength = e.lengths.likely()+lengthOrigin, e.lengths.quantile(lateQuantile)+lengthOrigin
	if s.declared {
		s.ratio, s.lateRatio = e.ratios.likely()+ratioOrigin, e.ratios.quantile(lateQuantile)+ratioOrigin
		s.prefersRatio = e.ratios.spread() <= e.lengths.spread()
	}
	return s
}

// of returns the likely and the late duration for a declared one.
func (s summary) of(declared clock.Millis) (likely, late clock.Millis) {
	low, high := s.length, s.lateLength
	if s.prefersRatio {
		base := math.Log2(float64(declared))
		low, high = base+s.ratio, base+s.lateRatio
	}
	likely = clock.Millis(math.Exp2(low) + 0.5)
	return likely, max(likely, clock.Millis(math.Exp2(high)+0.5))
}

// differs reports whether a summary is too far from the recorded one.
func (s summary) differs(recorded summary) bool {
	limit := math.Log2(1 + recordChange)
	return (s.samples >= minSamples) != (recorded.samples >= minSamples) ||
		math.Abs(s.length-recorded.length) > limit || math.Abs(s.ratio-recorded.ratio) > limit
}

// row is the durable form of an estimate, encoded as an array.
type row struct {
	_          struct{} `cbor:",toarray"`
	Queue      string
	Image      string
	Class      int
	Samples    int
	Length     float32
	LateLength float32
	Ratio      float32
	LateRatio  float32
	Declared   bool
}

// Changed reports whether an estimate has changed so much since the last Encode
// that it is worth a new record. It iterates over all kinds if runs were observed
// since the last call.
func (e *Estimator) Changed() bool {
	if !e.changed {
		return false
	}
	e.changed = false
	for _, known := range e.kinds {
		if known.lengths.samples() >= minSamples && known.summary().differs(known.recorded) {
			return true
		}
	}
	return false
}

// Encode returns the known kinds as a record of at most limit bytes and maxRecordBytes.
func (e *Estimator) Encode(limit int) ([]byte, error) {
	var rows []row
	size := 0
	for _, k := range e.byUse() {
		known := e.kinds[k]
		bytes := len(k.queue) + len(k.image) + rowOverhead
		if known.lengths.samples() < minSamples || size+bytes > min(limit, maxRecordBytes) {
			continue
		}
		size += bytes
		s := known.summary()
		known.recorded = s
		rows = append(rows, row{
			Queue: k.queue, Image: k.image, Class: k.class, Samples: int(s.samples),
			Length: float32(s.length), LateLength: float32(s.lateLength),
			Ratio: float32(s.ratio), LateRatio: float32(s.lateRatio), Declared: s.declared,
		})
	}
	return codec.Marshal(rows)
}

// Load restores the kinds from a record of Encode. Kinds count as used now.
func (e *Estimator) Load(data []byte, now clock.Millis) error {
	var rows []row
	if err := codec.Unmarshal(data, &rows); err != nil {
		return err
	}
	for _, stored := range rows[:min(len(rows), keptKinds)] {
		known := e.kind(key{queue: stored.Queue, image: stored.Image, class: stored.Class}, now)
		samples := min(float64(stored.Samples), memorySamples)
		known.lengths = loadedHistogram(samples, float64(stored.Length)-lengthOrigin, float64(stored.LateLength)-lengthOrigin)
		if stored.Declared {
			known.ratios = loadedHistogram(samples, float64(stored.Ratio)-ratioOrigin, float64(stored.LateRatio)-ratioOrigin)
		}
		known.recorded = known.summary()
	}
	return nil
}
