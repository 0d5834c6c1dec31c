// Package harm estimates by how much tasks that fill a worker raise the tail
// latency of lasting tasks beside them.
//
// Harm is a matter of the pair of images: most tasks that fill do nothing to
// most lasting tasks, and some ruin some. A tail grows like that of a queue,
// without bound as the load nears what can be served, so it is not the tail but
// its inverse that falls in proportion to what is added: the headroom, target
// over tail. Headroom is taken as a level, which follows the load of the lasting
// task's own users, less for each image that fills its share of the worker's
// processors times a weight. The weights for an image of lasting tasks are
// learned together, by recursive least squares, so that an image is not blamed
// for what another one beside it does.
//
// # Usage
//
//	estimator := harm.New()
//	estimator.Observe(harm.Sample{Serving: "a", Group: "job-1", Headroom: 1.8, Loads: loads})
//	loss := estimator.Pair("a", "b").Weight * 0.2
package harm

import (
	"cmp"
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Terms of the estimate. Headrooms are targets over tails, shares of a whole
// worker.
const (
	QuietHeadroom = 2.2               // of a lasting task alone, before anything is known
	MaxHeadroom   = 4.0               // more says nothing of use
	Window        = clock.Millis(500) // a reported tail covers this time before the report
	priorWeight   = 1.0               // of a pair that was never seen
	priorSpread   = 6.0               // standard deviation of that
	noise         = 0.4               // standard deviation of a headroom that level and loads do not explain
	memory        = 0.9995            // weight of the past against a new report
	maxWeight     = 40.0              // no estimate goes beyond it
	surely        = 2.0               // standard deviation below which a pair counts as known
	doubtfulLoss  = 0.3               // a loss from which a report says little of the level without it
	doubtfulShare = 0.1               // ... and a share of a worker's processors
	leastLevel    = 1.2               // alone, a lasting task keeps its target
	ruinous       = 3.5               // weights from it on make a worker no place for an image
	tinyShare     = 0.005             // loads below it teach nothing
	initial       = priorSpread * priorSpread / (noise * noise)
)

// Load is what tasks of an image that fills use of a worker's processors.
type Load struct {
	Image string
	Share float64 // 0 to 1
}

// Sample is what a report says of a worker's lasting tasks of one group.
type Sample struct {
	Serving  string // image of the lasting tasks
	Group    string // tasks that have the same users, and so the same load
	At       clock.Millis
	Headroom float64 // target over tail
	Loads    []Load  // of what fills the worker beside them
}

// Estimate is what is known of a pair of images.
type Estimate struct {
	Weight float64 // headroom lost by a whole worker's processors
	Spread float64 // standard deviation of the weight
}

// Known reports whether a pair was seen well enough to rely on its weight.
func (e Estimate) Known() bool { return e.Spread < surely }

// Estimator holds the estimates of all pairs. It is not safe for concurrent use.
type Estimator struct {
	models  map[string]*model // by image of lasting tasks
	levels  map[string]*trend // by group
	changed bool
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{models: map[string]*model{}, levels: map[string]*trend{}}
}

// Pair returns the estimate for a pair.
func (e *Estimator) Pair(serving, fill string) Estimate {
	if m := e.models[serving]; m != nil {
		return m.estimate(fill)
	}
	return Estimate{Weight: priorWeight, Spread: priorSpread}
}

// Ruins returns the share of the images of lasting tasks that a fill image is
// thought to ruin, 0 to 1.
func (e *Estimator) Ruins(fill string) float64 {
	ruined := 0
	for _, m := range e.models {
		if m.estimate(fill).Weight >= ruinous {
			ruined++
		}
	}
	return float64(ruined) / float64(max(len(e.models), 1))
}

// Level returns the headroom that tasks of a group are expected to have alone
// at a time, which may lie ahead.
func (e *Estimator) Level(group string, at clock.Millis) float64 {
	if known := e.levels[group]; known != nil {
		return known.level(at)
	}
	return QuietHeadroom
}

// Forget drops what is known of a group.
func (e *Estimator) Forget(group string) { delete(e.levels, group) }

// Observe learns from a report.
func (e *Estimator) Observe(sample Sample) {
	m := e.models[sample.Serving]
	if m == nil {
		m = newModel()
		e.models[sample.Serving] = m
	}
	shares, total := m.shares(sample.Loads)
	lost, known := m.lost(shares)
	headroom := min(sample.Headroom, MaxHeadroom)
	if total >= tinyShare {
		m.update(shares, e.Level(sample.Group, sample.At)-lost-headroom)
		e.changed = true
	}
	if known {
		e.observeLevel(sample, headroom+lost, lost, total)
	}
}

// observeLevel takes a level that was worked out from a report: the less filled
// the worker, and the less was lost to that, the more it counts.
func (e *Estimator) observeLevel(sample Sample, level, lost, filled float64) {
	group := e.levels[sample.Group]
	if group == nil {
		group = newTrend(QuietHeadroom, sample.At)
		e.levels[sample.Group] = group
	}
	loss, share := lost/doubtfulLoss, filled/doubtfulShare
	group.add(max(level, leastLevel), 1/(1+loss*loss+share*share), sample.At)
}

// model holds the weights for one image of lasting tasks, and the matrix of
// recursive least squares.
type model struct {
	index   map[string]int // of the images that fill
	weights []float64
	spread  [][]float64 // covariance of the weights, in units of the noise's variance
}

func newModel() *model { return &model{index: map[string]int{}} }

func (m *model) estimate(fill string) Estimate {
	i, seen := m.index[fill]
	if !seen {
		return Estimate{Weight: priorWeight, Spread: priorSpread}
	}
	return Estimate{
		Weight: min(max(m.weights[i], 0), maxWeight),
		Spread: noise * math.Sqrt(max(m.spread[i][i], 0)),
	}
}

// place returns the index of an image that fills, adding it if it is new.
func (m *model) place(fill string) int {
	if i, seen := m.index[fill]; seen {
		return i
	}
	i := len(m.weights)
	m.index[fill] = i
	m.weights = append(m.weights, priorWeight)
	for k := range m.spread {
		m.spread[k] = append(m.spread[k], 0)
	}
	m.spread = append(m.spread, make([]float64, i+1))
	m.spread[i][i] = initial
	return i
}

// shares sums loads up by image.
func (m *model) shares(loads []Load) (shares []float64, total float64) {
	for _, load := range loads {
		m.place(load.Image)
	}
	shares = make([]float64, len(m.weights))
	for _, load := range loads {
		shares[m.index[load.Image]] += load.Share
		total += load.Share
	}
	return shares, total
}

// lost is the headroom that loads are thought to cost, and whether that is
// known of all of them.
func (m *model) lost(shares []float64) (lost float64, known bool) {
	known = true
	for i, share := range shares {
		if share < tinyShare {
			continue
		}
		lost += m.weights[i] * share
		known = known && noise*math.Sqrt(m.spread[i][i]) < surely
	}
	return max(lost, 0), known
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
		m.weights[i] += gain[i] / scale * miss
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
	Weight  float64
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
			rows = append(rows, row{Serving: serving, Fill: fill, Weight: estimate.Weight, Spread: estimate.Spread})
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
		m.weights[i] = kept.Weight
		m.spread[i][i] = min(kept.Spread*kept.Spread/(noise*noise), initial)
	}
	return nil
}
