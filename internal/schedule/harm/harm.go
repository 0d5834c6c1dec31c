// Package harm estimates by how much tasks that fill a worker raise the tail
// latency of lasting tasks beside them.
//
// Harm is a matter of the pair of images: most tasks that fill do nothing to
// most lasting tasks, and some ruin some. The tail over its target of a lasting
// task is taken as a quiet part plus, for each image that fills, the share of
// the worker's processors that it uses times a slope. For each image of lasting
// tasks the slopes are learned together, by recursive least squares, so that
// an image is not blamed for what another one beside it does.
//
// # Usage
//
//	estimator := harm.New()
//	estimator.Observe("serving-image", 0.9, []harm.Load{{Image: "fill-image", Share: 0.1}})
//	estimate := estimator.Pair("serving-image", "fill-image")
//	rise := estimate.Slope * 0.2
package harm

import (
	"cmp"
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Terms of the estimate. Tails are over their targets, shares of a whole
// worker.
const (
	QuietTail   = 0.45              // of a lasting task alone, before anything is known
	Window      = clock.Millis(500) // a reported tail covers this time before the report
	priorSlope  = 0.5               // of a pair that was never seen
	priorSpread = 6.0               // standard deviation of that
	noise       = 0.2               // standard deviation of a tail that loads do not explain
	memory      = 0.999             // weight of the past against a new report
	maxTail     = 3.0               // beyond it a tail tells no more, since it does not rise in proportion
	maxSlope    = 40.0              // no estimate goes beyond it
	surely      = 1.5               // standard deviation below which a pair counts as known
	quietRate   = 0.05              // share of an error that the quiet part takes at once
	tinyShare   = 0.005             // loads below it teach nothing
	initial     = priorSpread * priorSpread / (noise * noise)
)

// Load is what tasks of an image that fills use of a worker's processors.
type Load struct {
	Image string
	Share float64 // 0 to 1
}

// Estimate is what is known of a pair of images.
type Estimate struct {
	Slope  float64 // rise of the tail over its target by a whole worker's processors
	Spread float64 // standard deviation of the slope
}

// Known reports whether a pair was seen well enough to rely on its slope.
func (e Estimate) Known() bool { return e.Spread < surely }

// Estimator holds the estimates of all pairs. It is not safe for concurrent use.
type Estimator struct {
	models  map[string]*model
	changed bool
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{models: map[string]*model{}} }

// Pair returns the estimate for a pair.
func (e *Estimator) Pair(serving, fill string) Estimate {
	if m := e.models[serving]; m != nil {
		return m.estimate(fill)
	}
	return Estimate{Slope: priorSlope, Spread: priorSpread}
}

// Quiet returns the usual tail over target of a lasting task alone.
func (e *Estimator) Quiet(serving string) float64 {
	if m := e.models[serving]; m != nil {
		return m.quiet
	}
	return QuietTail
}

// Observe learns from a report: the mean tail over target of a worker's lasting
// tasks of one image, and what fills the worker beside them.
func (e *Estimator) Observe(serving string, tail float64, loads []Load) {
	m := e.models[serving]
	if m == nil {
		m = newModel()
		e.models[serving] = m
	}
	m.observe(min(tail, maxTail), loads)
	e.changed = true
}

// model holds the slopes of one image of lasting tasks: the weights of a
// linear regression and the matrix of recursive least squares.
type model struct {
	quiet  float64
	index  map[string]int // of the images that fill
	slopes []float64
	spread [][]float64 // covariance of the slopes, in units of the noise's variance
}

func newModel() *model { return &model{quiet: QuietTail, index: map[string]int{}} }

func (m *model) estimate(fill string) Estimate {
	i, seen := m.index[fill]
	if !seen {
		return Estimate{Slope: priorSlope, Spread: priorSpread}
	}
	return Estimate{
		Slope:  min(max(m.slopes[i], 0), maxSlope),
		Spread: noise * math.Sqrt(max(m.spread[i][i], 0)),
	}
}

// place returns the index of an image that fills, adding it if it is new.
func (m *model) place(fill string) int {
	if i, seen := m.index[fill]; seen {
		return i
	}
	i := len(m.slopes)
	m.index[fill] = i
	m.slopes = append(m.slopes, priorSlope)
	for k := range m.spread {
		m.spread[k] = append(m.spread[k], 0)
	}
	m.spread = append(m.spread, make([]float64, i+1))
	m.spread[i][i] = initial
	return i
}

func (m *model) observe(tail float64, loads []Load) {
	for _, load := range loads {
		m.place(load.Image)
	}
	shares := make([]float64, len(m.slopes))
	total := 0.0
	for _, load := range loads {
		shares[m.index[load.Image]] += load.Share
		total += load.Share
	}
	miss := tail - m.quiet
	for i, share := range shares {
		miss -= m.slopes[i] * share
	}
	if total < tinyShare {
		m.quiet += quietRate * miss
		return
	}
	m.update(shares, miss)
}

// update is one step of recursive least squares.
func (m *model) update(shares []float64, miss float64) {
	size := len(shares)
	gain := make([]float64, size)
	scale := memory
	for i := range gain {
		for k, share := range shares {
			gain[i] += m.spread[i][k] * share
		}
		scale += gain[i] * shares[i]
	}
	for i := range gain {
		m.slopes[i] += gain[i] / scale * miss
	}
	for i := range m.spread {
		for k := range m.spread[i] {
			m.spread[i][k] = min((m.spread[i][k]-gain[i]*gain[k]/scale)/memory, initial)
		}
	}
}

// row is the durable form of an estimate.
type row struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Fill    string
	Slope   float64
	Spread  float64
}

// Changed reports whether something was learned since the last Encode.
func (e *Estimator) Changed() bool { return e.changed }

// Encode returns the estimates as a record.
func (e *Estimator) Encode() ([]byte, error) {
	e.changed = false
	var rows []row
	for serving, m := range e.models {
		for fill := range m.index {
			estimate := m.estimate(fill)
			rows = append(rows, row{Serving: serving, Fill: fill, Slope: estimate.Slope, Spread: estimate.Spread})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Fill, b.Fill))
	})
	return codec.Marshal(rows)
}

// Load takes the estimates of a record of Encode.
func (e *Estimator) Load(data []byte) error {
	var rows []row
	if err := codec.Unmarshal(data, &rows); err != nil {
		return err
	}
	for _, kept := range rows {
		m := e.models[kept.Serving]
		if m == nil {
			m = newModel()
			e.models[kept.Serving] = m
		}
		i := m.place(kept.Fill)
		m.slopes[i] = kept.Slope
		m.spread[i][i] = min(kept.Spread*kept.Spread/(noise*noise), initial)
	}
	return nil
}
