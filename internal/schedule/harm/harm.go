// Package harm estimates by how much tasks that fill a worker raise the tail
// latency of lasting tasks beside them.
//
// The tail over its target of a lasting task is taken as a quiet part, kept for
// each image of lasting tasks, plus for each task that fills its share of the
// worker's processors times a slope. There is one slope for each pair of
// images, learned from workers' reports by normalised least mean squares.
//
// # Usage
//
//	estimator := harm.New()
//	estimator.Observe("serving-image", 0.9, []harm.Load{{Image: "fill-image", Share: 0.1}})
//	rise := estimator.Slope("serving-image", "fill-image") * 0.2
package harm

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Terms of the estimate.
const (
	QuietTail  = 0.25                  // tail over target of a lasting task alone, before anything is known
	Negligible = 0.5                   // slopes below it are no reason to slow a task
	Window     = 500 * clock.Millis(1) // a reported tail covers this time before the report
	priorSlope = 2.5                   // of a pair that was never seen
	maxSlope   = 40                    // no estimate goes beyond it
	slopeRate  = 0.5                   // share of an error that slopes take at once
	quietRate  = 0.05                  // share of an error that the quiet part takes at once
	tinyShare  = 0.01                  // loads below it teach nothing
)

// Load is what a task that fills uses of a worker's processors, 0 to 1.
type Load struct {
	Image string
	Share float64
}

// pair names an image of lasting tasks and one of tasks that fill.
type pair struct{ serving, fill string }

// Estimator holds the slopes. It is not safe for concurrent use.
type Estimator struct {
	slopes map[pair]float64
	quiet  map[string]float64
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{slopes: map[pair]float64{}, quiet: map[string]float64{}}
}

// Slope returns the rise of tail over target that a whole worker's processors
// of the fill image would cause.
func (e *Estimator) Slope(serving, fill string) float64 {
	if slope, known := e.slopes[pair{serving, fill}]; known {
		return slope
	}
	return priorSlope
}

// Known reports whether a pair was seen together.
func (e *Estimator) Known(serving, fill string) bool {
	_, known := e.slopes[pair{serving, fill}]
	return known
}

// Observe learns from one report of a lasting task.
func (e *Estimator) Observe(serving string, tail float64, loads []Load) {
	quiet, known := e.quiet[serving]
	if !known {
		quiet = QuietTail
	}
	byImage := map[string]float64{}
	for _, load := range loads {
		byImage[load.Image] += load.Share
	}
	predicted, norm := quiet, 0.0
	for image, share := range byImage {
		predicted += e.Slope(serving, image) * share
		norm += share * share
	}
	miss := tail - predicted
	if norm < tinyShare*tinyShare {
		e.quiet[serving] = quiet + quietRate*miss
		return
	}
	for image, share := range byImage {
		slope := e.Slope(serving, image) + slopeRate*miss*share/norm
		e.slopes[pair{serving, image}] = min(max(slope, 0), maxSlope)
	}
}

// row is the durable form of a slope.
type row struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Fill    string
	Slope   float64
}

// Encode returns the estimates as a record.
func (e *Estimator) Encode() ([]byte, error) {
	rows := make([]row, 0, len(e.slopes))
	for key, slope := range e.slopes {
		rows = append(rows, row{Serving: key.serving, Fill: key.fill, Slope: slope})
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
		e.slopes[pair{kept.Serving, kept.Fill}] = kept.Slope
	}
	return nil
}
