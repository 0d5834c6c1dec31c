package harm

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// truth is a made-up deployment: most pairs are harmless, some are ruinous.
type truth struct {
	rng     *rand.Rand
	weights map[pairName]float64
}

type pairName struct{ serving, fill string }

const (
	servings = 5
	fills    = 9
)

func newTruth(seed uint64) *truth {
	t := &truth{rng: rand.New(rand.NewPCG(seed, 3)), weights: map[pairName]float64{}}
	for s := range servings {
		for f := range fills {
			weight := t.rng.Float64()
			if t.rng.IntN(4) == 0 {
				weight = 7 + 9*t.rng.Float64()
			}
			t.weights[pairName{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = weight
		}
	}
	return t
}

// sample draws a report of a worker with lasting tasks of one image and one to
// three images that fill it. Headrooms follow a load that swings, with noise.
func (t *truth) sample(round int) Sample {
	serving := fmt.Sprint("s", t.rng.IntN(servings))
	group := fmt.Sprint(serving, "-job-", t.rng.IntN(3))
	level := 1.8 + float64(round%40)/40
	headroom := level + 0.2*t.rng.NormFloat64()
	var loads []Load
	for range t.rng.IntN(4) {
		load := Load{Image: fmt.Sprint("f", t.rng.IntN(fills)), Share: 0.05 + 0.1*t.rng.Float64()}
		headroom -= t.weights[pairName{serving, load.Image}] * load.Share
		loads = append(loads, load)
	}
	return Sample{Serving: serving, Group: group, At: clock.Millis(60 * round), Headroom: max(headroom, 0.1), Loads: loads}
}

// After some hundred reports, ruinous pairs are told from harmless ones, also
// where they were seen only together.
func TestRuinousPairsAreTold(t *testing.T) {
	for seed := range uint64(5) {
		world, estimator := newTruth(seed), New()
		for round := range 1500 {
			estimator.Observe(world.sample(round))
		}
		wrong := map[string]string{}
		for pair, weight := range world.weights {
			got := estimator.Pair(pair.serving, pair.fill)
			if ruinous := weight > 5; ruinous != (got.Weight > 3.5) || !got.Known() {
				wrong[fmt.Sprint(pair)] = fmt.Sprintf("weight %.1f is taken for %.1f, spread %.1f", weight, got.Weight, got.Spread)
			}
		}
		if diff := cmp.Diff(map[string]string{}, wrong); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

func TestUnknownPair(t *testing.T) {
	if New().Pair("s", "f").Known() {
		t.Error("a pair that was never seen counts as known")
	}
}

// What is kept in a record is known after it is read.
func TestRecord(t *testing.T) {
	world, before := newTruth(1), New()
	for round := range 600 {
		before.Observe(world.sample(round))
	}
	data, err := before.Encode()
	if err != nil {
		t.Fatal(err)
	}
	after := New()
	if err := after.Load(data); err != nil {
		t.Fatal(err)
	}
	for pair := range world.weights {
		want, got := before.Pair(pair.serving, pair.fill), after.Pair(pair.serving, pair.fill)
		if diff := cmp.Diff(fmt.Sprintf("%.6f", want), fmt.Sprintf("%.6f", got)); diff != "" {
			t.Errorf("%v (-want +got):\n%s", pair, diff)
		}
	}
}

func FuzzLoad(f *testing.F) {
	data, err := New().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = New().Load(data) // refused or taken, without a crash
	})
}
