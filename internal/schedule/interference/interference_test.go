package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// recordBytes is the size of the records of the tests.
const recordBytes = 262_144

// simulation is a simulated deployment: most pairs of images are compatible,
// some are incompatible.
type simulation struct {
	rng     *rand.Rand
	weights map[imagePair]float64
}

type imagePair struct{ serving, bestEffort string }

const (
	servingImages    = 5
	bestEffortImages = 9
)

func newSimulation(seed uint64) *simulation {
	t := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), weights: map[imagePair]float64{}}
	for s := range servingImages {
		for f := range bestEffortImages {
			weight := t.rng.Float64()
			if t.rng.IntN(4) == 0 {
				weight = 7 + 9*t.rng.Float64()
			}
			t.weights[imagePair{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = weight
		}
	}
	return t
}

// sample draws a report of a worker with long-running tasks of one image and up
// to three best-effort loads. Headrooms follow a swinging load, with noise.
func (t *simulation) sample(round int) Sample {
	serving := fmt.Sprint("s", t.rng.IntN(servingImages))
	group := fmt.Sprint(serving, "-job-", t.rng.IntN(3))
	level := 1.8 + float64(round%40)/40
	headroom := level + 0.2*t.rng.NormFloat64()
	var loads []Load
	for range t.rng.IntN(4) {
		load := Load{Image: fmt.Sprint("f", t.rng.IntN(bestEffortImages)), Share: 0.05 + 0.1*t.rng.Float64()}
		headroom -= t.weights[imagePair{serving, load.Image}] * load.Share
		loads = append(loads, load)
	}
	return Sample{Serving: serving, Group: group, At: clock.Millis(60 * round), Headroom: max(headroom, 0.1), Loads: loads}
}

// After 1500 reports, incompatible and compatible pairs must be told apart,
// also where images were only observed together.
func TestIncompatiblePairsAreIdentified(t *testing.T) {
	for seed := range uint64(5) {
		simulated, estimator := newSimulation(seed), New()
		for round := range 1500 {
			estimator.Observe(simulated.sample(round))
		}
		wrong := map[string]string{}
		for pair, weight := range simulated.weights {
			got := estimator.Pair(pair.serving, pair.bestEffort)
			if incompatible := weight > 5; incompatible != (got.Weight > 3.5) || !got.Known() {
				wrong[fmt.Sprint(pair)] = fmt.Sprintf("weight %.1f is estimated as %.1f, spread %.1f", weight, got.Weight, got.Spread)
			}
		}
		if diff := cmp.Diff(map[string]string{}, wrong); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

func TestPairWithoutObservationsIsNotKnown(t *testing.T) {
	if New().Pair("s", "f").Known() {
		t.Error("a pair without observations counts as known")
	}
}

// Estimates loaded from a record must equal the encoded ones.
func TestEstimatesSurviveEncodeAndLoad(t *testing.T) {
	simulated, before := newSimulation(1), New()
	for round := range 600 {
		before.Observe(simulated.sample(round))
	}
	data, err := before.Encode(recordBytes)
	if err != nil {
		t.Fatal(err)
	}
	after := New()
	if err := after.Load(data); err != nil {
		t.Fatal(err)
	}
	for pair := range simulated.weights {
		want, got := before.Pair(pair.serving, pair.bestEffort), after.Pair(pair.serving, pair.bestEffort)
		if diff := cmp.Diff(fmt.Sprintf("%.6f", want), fmt.Sprintf("%.6f", got)); diff != "" {
			t.Errorf("%v (-want +got):\n%s", pair, diff)
		}
	}
}

func FuzzLoad(f *testing.F) {
	data, err := New().Encode(recordBytes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = New().Load(data) // must return an error or load the record, without a panic
	})
}

// A record of the estimates that the store refuses would be sent with every append. It
// must fit whatever images callers name, and keep the pairs that were reported last.
func TestRecordOfManyImagesFits(t *testing.T) {
	estimator := New()
	for i := range 300 {
		loads := make([]Load, 30)
		for k := range loads {
			loads[k] = Load{Image: fmt.Sprintf("best-effort-%060d", (30*i+k)%2000), Share: 0.01}
		}
		estimator.Observe(Sample{Serving: fmt.Sprintf("serving-%d", i%280), Group: "g", Headroom: 2, Loads: loads})
	}
	data, err := estimator.Encode(recordBytes)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > recordBytes || len(data) < recordBytes/2 {
		t.Errorf("the record has %d bytes, want at most %d and at least half of it", len(data), recordBytes)
	}
	after := New()
	if err := after.Load(data); err != nil {
		t.Fatal(err)
	}
	newest := fmt.Sprintf("best-effort-%060d", (30*299)%2000)
	if want, got := estimator.Pair("serving-19", newest), after.Pair("serving-19", newest); want.Spread != got.Spread {
		t.Errorf("the newest pair has %v after loading, want %v", got, want)
	}
}

// What is kept for an image of long-running tasks must not grow with each best-effort
// image that was ever seen beside it; the estimates of those that stay must not change.
func TestOldestImagesAreForgotten(t *testing.T) {
	estimator := New()
	observe := func(image string) {
		estimator.Observe(Sample{Serving: "s", Group: "g", Headroom: 1.5, Loads: []Load{{Image: image, Share: 0.2}}})
	}
	for range 50 {
		observe("first")
	}
	for i := range maxBestEffort - 1 {
		observe(fmt.Sprint("image-", i))
	}
	observe("image-0")
	before := estimator.Pair("s", "image-0")
	estimator.models["s"].drop(estimator.models["s"].index["first"])
	if diff := cmp.Diff(before, estimator.Pair("s", "image-0")); diff != "" {
		t.Errorf("estimate after another one is dropped (-want +got):\n%s", diff)
	}
	observe("one-more")
	observe("another-one")
	m := estimator.models["s"]
	_, oldest := m.index["image-1"]
	_, newest := m.index["another-one"]
	if len(m.weights) != maxBestEffort || len(m.index) != maxBestEffort || oldest || !newest {
		t.Errorf("%d weights, %d images, oldest kept %v, newest kept %v; want %d, the newest only", len(m.weights), len(m.index), oldest, newest, maxBestEffort)
	}
}

// What was learned about an image while another cause was at work must be forgotten
// as a whole, and nothing of other images with it.
func TestRestoreForgetsWhatWasLearnedSinceKeep(t *testing.T) {
	estimator := New()
	observe := func(serving string, headroom float64) {
		const reports = 20
		for range reports {
			estimator.Observe(Sample{Serving: serving, Group: "g", Headroom: headroom, Loads: []Load{{Image: "f", Share: 0.1}}})
		}
	}
	observe("a", InitialHeadroom)
	snapshot, want := estimator.Snapshot("a"), estimator.Pair("a", "f")
	observe("a", InitialHeadroom/2)
	observe("b", InitialHeadroom/2)
	other := estimator.Pair("b", "f")
	if !estimator.Pair("a", "f").Incompatible() {
		t.Fatalf("the estimate does not show what was observed: %+v", estimator.Pair("a", "f"))
	}
	estimator.Restore(snapshot)
	if diff := cmp.Diff([]Estimate{want, other}, []Estimate{estimator.Pair("a", "f"), estimator.Pair("b", "f")}); diff != "" {
		t.Errorf("estimates (-want +got):\n%s", diff)
	}
}
