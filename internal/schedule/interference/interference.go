// Package interference estimates the interference of best-effort tasks with
// long-running tasks on the same worker, as the headroom that it costs.
//
// Headroom is the latency target of a long-running task divided by its tail
// latency. Interference depends on the pair of images: most best-effort images
// hardly affect most long-running ones, and some are incompatible with some.
// Like the waiting time in a queue, tail latency grows without bound as the
// load nears the capacity; its inverse, and so the headroom, falls in
// proportion to the added load.
//
// Headroom is modelled as a level, which follows the load of the long-running
// task's users, minus, for each best-effort image, its share of the worker's
// processors times a weight. The weights for an image of long-running tasks are
// estimated jointly, by recursive least squares, so that the effect of one
// best-effort image is not attributed to another one beside it.
//
// # Usage
//
//	estimator := interference.New()
//	estimator.Observe(interference.Sample{Serving: "a", Group: "job-1", Headroom: 1.8, Loads: loads})
//	loss := estimator.Pair("a", "b").Weight * 0.2
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Parameters of the estimate.
const (
	InitialHeadroom    = 2.2               // of a long-running task without best-effort tasks, before anything is known
	MaxHeadroom        = 4.0               // larger values are cut off, as they carry no information
	TailWindow         = clock.Millis(500) // a reported tail latency covers this time before the report
	priorWeight        = 1.0               // of a pair without observations
	priorSpread        = 6.0               // standard deviation of the weight of a pair without observations
	headroomNoise      = 0.4               // standard deviation of the headroom that level and loads do not explain
	forgettingFactor   = 0.9995            // factor by which each report reduces the weight of all earlier ones
	maxWeight          = 40.0              // upper bound of a weight as returned by Pair
	maxKnownSpread     = 2.0               // standard deviation below which a weight counts as known
	uncertainLoss      = 0.3               // headroom loss at which a report counts half for the level
	uncertainShare     = 0.1               // share of best-effort tasks at which a report counts half for the level
	minLevel           = 1.2               // without best-effort tasks a long-running task keeps its target
	incompatibleWeight = 3.5               // weight from which a pair of images counts as incompatible
	minShare           = 0.005             // smaller loads are not used for the estimate
	maxModels          = 256               // images of long-running tasks that are kept; the one without a report for longest is dropped
	maxBestEffort      = 128               // best-effort images that are kept for each of them, likewise; an update costs the square
	// initialVariance is the variance of the weight of a pair without observations,
	// in units of the noise's variance.
	initialVariance = priorSpread * priorSpread / (headroomNoise * headroomNoise)
)

// Load is the processor use of a worker's best-effort tasks of one image.
type Load struct {
	Image string
	Share float64 // share of the worker's processors, 0 to 1
}

// Sample is the part of a worker's report that concerns its long-running tasks
// of one group.
type Sample struct {
	Serving  string // image of the long-running tasks
	Group    string // tasks that share their users and so their load
	At       clock.Millis
	Headroom float64 // target over tail latency
	Loads    []Load  // of the best-effort tasks on the worker
}

// Estimate is the estimated interference of a pair of images.
type Estimate struct {
	Weight float64 // headroom lost if the best-effort image used all processors of the worker
	Spread float64 // standard deviation of the weight
}

// Known reports whether there are enough observations to rely on the weight.
func (e Estimate) Known() bool { return e.Spread < maxKnownSpread }

// Incompatible reports whether the images are known to be incompatible.
func (e Estimate) Incompatible() bool { return e.Weight-e.Spread >= incompatibleWeight }

// Estimator holds the estimates of all pairs. It is not safe for concurrent
// use.
type Estimator struct {
	models  map[string]*model // by image of long-running tasks
	levels  map[string]*trend // by group
	reports int64             // reports so far; the time scale of lastReport and lastSeen
	changed bool
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{models: map[string]*model{}, levels: map[string]*trend{}}
}

// Pair returns the estimate for a best-effort image beside a serving image.
func (e *Estimator) Pair(serving, bestEffort string) Estimate {
	if m := e.models[serving]; m != nil {
		return m.estimate(bestEffort)
	}
	return Estimate{Weight: priorWeight, Spread: priorSpread}
}

// IncompatibleShare returns the share, 0 to 1, of the images of long-running
// tasks with which a best-effort image is incompatible.
func (e *Estimator) IncompatibleShare(bestEffort string) float64 {
	incompatible := 0
	for _, m := range e.models {
		if m.estimate(bestEffort).Weight >= incompatibleWeight {
			incompatible++
		}
	}
	return float64(incompatible) / float64(max(len(e.models), 1))
}

// Level returns the headroom that tasks of a group are expected to have without
// best-effort tasks at a time, which may lie ahead.
func (e *Estimator) Level(group string, at clock.Millis) float64 {
	if known := e.levels[group]; known != nil {
		return known.level(at)
	}
	return InitialHeadroom
}

// ForgetGroup drops the level of a group.
func (e *Estimator) ForgetGroup(group string) { delete(e.levels, group) }

// Observe updates the estimates from a report.
func (e *Estimator) Observe(sample Sample) {
	e.reports++
	m := e.model(sample.Serving)
	m.lastReport = e.reports
	shares, total := m.shares(sample.Loads, e.reports)
	expectedLoss, known := m.expectedLoss(shares)
	headroom := min(sample.Headroom, MaxHeadroom)
	if total >= minShare {
		m.update(shares, e.Level(sample.Group, sample.At)-expectedLoss-headroom)
		e.changed = true
	}
	if known {
		e.observeLevel(sample, headroom+expectedLoss, expectedLoss, total)
	}
}

// model returns the model of an image of long-running tasks, adding it if it is new.
func (e *Estimator) model(serving string) *model {
	if m := e.models[serving]; m != nil {
		return m
	}
	if len(e.models) >= maxModels {
		names := slices.Collect(maps.Keys(e.models))
		delete(e.models, slices.MinFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(e.models[a].lastReport, e.models[b].lastReport), cmp.Compare(a, b))
		}))
	}
	m := newModel()
	e.models[serving] = m
	return m
}

// Snapshot is what was known about one image of long-running tasks at some time.
type Snapshot struct {
	serving string
	model   *model
}

// Snapshot returns a copy of what is known about an image of long-running tasks.
func (e *Estimator) Snapshot(serving string) *Snapshot {
	snapshot := &Snapshot{serving: serving, model: newModel()}
	if m := e.models[serving]; m != nil {
		snapshot.model = m.clone()
	}
	return snapshot
}

// Restore replaces what is known about the snapshot's image by the snapshot.
func (e *Estimator) Restore(snapshot *Snapshot) {
	*e.model(snapshot.serving) = *snapshot.model.clone()
	e.changed = true
}

// observeLevel adds a level derived from a report to the trend of the group. It
// counts the more, the smaller the share and the loss of the best-effort tasks.
func (e *Estimator) observeLevel(sample Sample, level, expectedLoss, totalShare float64) {
	group := e.levels[sample.Group]
	if group == nil {
		group = newTrend(InitialHeadroom, sample.At)
		e.levels[sample.Group] = group
	}
	relativeLoss, relativeShare := expectedLoss/uncertainLoss, totalShare/uncertainShare
	group.add(max(level, minLevel), 1/(1+relativeLoss*relativeLoss+relativeShare*relativeShare), sample.At)
}

// model holds the weights for one image of long-running tasks, and their
// covariance for recursive least squares.
type model struct {
	index      map[string]int // of the best-effort images
	weights    []float64
	covariance [][]float64 // of the weights, in units of the noise's variance
	lastSeen   []int64     // number of the newest report with the image; 0: loaded
	lastReport int64       // number of the newest report; 0: loaded
}

func newModel() *model { return &model{index: map[string]int{}} }

func (m *model) clone() *model {
	clone := &model{
		index: maps.Clone(m.index), weights: slices.Clone(m.weights),
		lastSeen: slices.Clone(m.lastSeen), lastReport: m.lastReport,
	}
	for _, row := range m.covariance {
		clone.covariance = append(clone.covariance, slices.Clone(row))
	}
	return clone
}

func (m *model) estimate(bestEffort string) Estimate {
	i, seen := m.index[bestEffort]
	if !seen {
		return Estimate{Weight: priorWeight, Spread: priorSpread}
	}
	return Estimate{
		Weight: min(max(m.weights[i], 0), maxWeight),
		Spread: headroomNoise * math.Sqrt(max(m.covariance[i][i], 0)),
	}
}

// indexOf returns the index of a best-effort image, adding it if it is new.
func (m *model) indexOf(bestEffort string) int {
	if i, seen := m.index[bestEffort]; seen {
		return i
	}
	i := len(m.weights)
	m.index[bestEffort] = i
	m.lastSeen = append(m.lastSeen, 0)
	m.weights = append(m.weights, priorWeight)
	for k := range m.covariance {
		m.covariance[k] = append(m.covariance[k], 0)
	}
	m.covariance = append(m.covariance, make([]float64, i+1))
	m.covariance[i][i] = initialVariance
	return i
}

// dropOldest drops the best-effort images that were not reported for longest, until at
// most maxBestEffort are left. Those of the present report stay.
func (m *model) dropOldest(report int64) {
	for len(m.weights) > maxBestEffort {
		oldest := slices.Index(m.lastSeen, slices.Min(m.lastSeen))
		if m.lastSeen[oldest] == report {
			return
		}
		m.drop(oldest)
	}
}

// drop drops a best-effort image.
func (m *model) drop(dropped int) {
	for image, i := range m.index {
		switch {
		case i == dropped:
			delete(m.index, image)
		case i > dropped:
			m.index[image] = i - 1
		}
	}
	m.weights = slices.Delete(m.weights, dropped, dropped+1)
	m.lastSeen = slices.Delete(m.lastSeen, dropped, dropped+1)
	m.covariance = slices.Delete(m.covariance, dropped, dropped+1)
	for i := range m.covariance {
		m.covariance[i] = slices.Delete(m.covariance[i], dropped, dropped+1)
	}
}

// shares sums the loads of a report by image.
func (m *model) shares(loads []Load, report int64) (shares []float64, total float64) {
	for _, load := range loads {
		m.lastSeen[m.indexOf(load.Image)] = report
	}
	m.dropOldest(report)
	shares = make([]float64, len(m.weights))
	for _, load := range loads {
		shares[m.index[load.Image]] += load.Share
		total += load.Share
	}
	return shares, total
}

// expectedLoss is the estimated headroom that loads cost, and whether the
// weights of all of them are known.
func (m *model) expectedLoss(shares []float64) (expectedLoss float64, known bool) {
	known = true
	for i, share := range shares {
		if share < minShare {
			continue
		}
		expectedLoss += m.weights[i] * share
		known = known && headroomNoise*math.Sqrt(m.covariance[i][i]) < maxKnownSpread
	}
	return max(expectedLoss, 0), known
}

// update is one step of recursive least squares. The residual is the expected
// minus the observed headroom.
func (m *model) update(shares []float64, residual float64) {
	size := len(shares)
	gain := make([]float64, size)
	scale := forgettingFactor
	for i := range gain {
		for k, share := range shares {
			gain[i] += m.covariance[i][k] * share
		}
		scale += gain[i] * shares[i]
	}
	for i := range gain {
		m.weights[i] += gain[i] / scale * residual
	}
	for i := range m.covariance {
		for k := range m.covariance[i] {
			m.covariance[i][k] = min((m.covariance[i][k]-gain[i]*gain[k]/scale)/forgettingFactor, initialVariance)
		}
	}
}

// row is the durable form of an estimate, encoded as an array.
type row struct {
	_          struct{} `cbor:",toarray"`
	Serving    string
	BestEffort string
	Weight     float64
	Spread     float64
}

// Changed reports whether an estimate has changed since the last Encode.
func (e *Estimator) Changed() bool { return e.changed }

// rowFrameBytes is the size of an encoded row besides its images: four lengths, of the
// row and its texts, and two numbers.
const rowFrameBytes = 2*9 + 3*5

// Encode returns the estimates as a record of at most limit bytes. Those without a
// report for longest are left out if there is no room for all.
func (e *Estimator) Encode(limit int) ([]byte, error) {
	e.changed = false
	rows := e.rowsWithin(limit)
	slices.SortFunc(rows, compareRows)
	return codec.Marshal(rows)
}

// rowsWithin returns the rows with the newest reports that a record has room for.
func (e *Estimator) rowsWithin(limit int) []row {
	type reported struct {
		row
		lastSeen int64
	}
	var all []reported
	for serving, m := range e.models {
		for bestEffort, i := range m.index {
			estimate := m.estimate(bestEffort)
			all = append(all, reported{row{Serving: serving, BestEffort: bestEffort, Weight: estimate.Weight, Spread: estimate.Spread}, m.lastSeen[i]})
		}
	}
	slices.SortFunc(all, func(a, b reported) int {
		return cmp.Or(cmp.Compare(b.lastSeen, a.lastSeen), compareRows(a.row, b.row))
	})
	var rows []row
	size := rowFrameBytes
	for _, next := range all {
		size += rowFrameBytes + len(next.Serving) + len(next.BestEffort)
		if size > limit {
			break
		}
		rows = append(rows, next.row)
	}
	return rows
}

func compareRows(a, b row) int {
	return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.BestEffort, b.BestEffort))
}

// Load restores the estimates from a record of Encode.
func (e *Estimator) Load(data []byte) error {
	var rows []row
	if err := codec.Unmarshal(data, &rows); err != nil {
		return err
	}
	for _, stored := range rows {
		m := e.model(stored.Serving)
		i := m.indexOf(stored.BestEffort)
		m.weights[i] = stored.Weight
		m.covariance[i][i] = min(stored.Spread*stored.Spread/(headroomNoise*headroomNoise), initialVariance)
	}
	return nil
}
