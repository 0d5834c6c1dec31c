package duration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// within fails the test unless a duration is at most a share off.
func within(t *testing.T, what string, got, want clock.Millis, share float64) {
	t.Helper()
	if off := float64(got)/float64(want) - 1; off > share || off < -share {
		t.Errorf("%s is %d ms, want %d ms within %.0f%%", what, got, want, 100*share)
	}
}

func TestFewRunsDoNotReplaceTheDeclaration(t *testing.T) {
	e := New()
	kind := Kind{Queue: "q", Image: "a", Declared: 1000}
	for range minSamples - 1 {
		e.Observe(kind, 4000, 1)
	}
	if likely, late, samples := e.Predict(kind); likely != 0 || late != 0 || samples != 0 {
		t.Errorf("%d, %d of %d runs, want none", likely, late, samples)
	}
}

// Declarations that are noise must not move the estimate, and a few runs that
// take seven times their time must not lengthen it.
func TestNoisyDeclarationsAndOutliers(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(1, 1))
	for range 4000 {
		ran := clock.Millis(800)
		if rng.Float64() < 0.03 {
			ran *= 7
		}
		e.Observe(Kind{Queue: "q", Image: "a", Declared: clock.Millis(80 + rng.IntN(1440))}, ran, 1)
	}
	for _, declared := range []clock.Millis{300, 800, 1500} {
		likely, _, samples := e.Predict(Kind{Queue: "q", Image: "a", Declared: declared})
		within(t, fmt.Sprint("likely duration for declared ", declared), likely, 800, 0.1)
		if samples < minSamples {
			t.Errorf("%d samples", samples)
		}
	}
}

// Declarations that are always off by the same factor must be corrected by it.
func TestDeclarationsOffByAFactor(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(2, 1))
	for range 2000 {
		declared := clock.Millis(1024 + rng.IntN(1023))
		e.Observe(Kind{Queue: "q", Declared: declared}, 3*declared, 1)
	}
	likely, late, _ := e.Predict(Kind{Queue: "q", Declared: 1100})
	within(t, "likely duration", likely, 3300, 0.1)
	within(t, "late duration", late, 3300, 0.1)
}

func TestEarlierRunsAreForgotten(t *testing.T) {
	e := New()
	kind := Kind{Queue: "q", Image: "a"}
	for range 100_000 { // more than the scale of the weights holds
		e.Observe(kind, 9000, 1)
	}
	for range int(5 * memorySamples) {
		e.Observe(kind, 500, 1)
	}
	likely, late, _ := e.Predict(kind)
	within(t, "likely duration", likely, 500, 0.1)
	within(t, "late duration", late, 500, 0.1)
}

// Images that nobody uses again must not grow the memory or the record.
func TestManyImagesStayBounded(t *testing.T) {
	e := New()
	for i := range 5 * maxKinds {
		for range minSamples + 1 {
			e.Observe(Kind{Queue: "q", Image: fmt.Sprintf("image-%0500d", i)}, 1000, clock.Millis(i))
		}
	}
	data, err := e.Encode(maxRecordBytes)
	if err != nil || len(e.kinds) > maxKinds || len(data) > maxRecordBytes {
		t.Errorf("%d kinds, %d bytes, %v", len(e.kinds), len(data), err)
	}
	if likely, _, _ := e.Predict(Kind{Queue: "q", Image: "new"}); likely == 0 {
		t.Error("a new image of a known queue has no estimate")
	}
}

// Kinds with too few runs to be known must not use up the record's size.
func TestRarelyRunKindsLeaveRoomInRecord(t *testing.T) {
	e, next, known := New(), New(), Kind{Queue: "q", Image: "known"}
	for range 2 * minSamples {
		e.Observe(known, 1000, 1)
	}
	for i := range 300 {
		e.Observe(Kind{Queue: "q", Image: fmt.Sprintf("rare-%0500d", i)}, 9000, 2)
	}
	data, err := e.Encode(maxRecordBytes)
	if err == nil {
		err = next.Load(data, 1)
	}
	if err != nil {
		t.Fatal(err)
	}
	likely, _, _ := next.Predict(known)
	within(t, "loaded duration", likely, 1000, 0.1)
}

// The record must fit the store's limit where that is the smaller one.
func TestRecordFitsLimit(t *testing.T) {
	e := New()
	for i := range 20 {
		for range 2 * minSamples {
			e.Observe(Kind{Queue: "q", Image: fmt.Sprint("image-", i)}, 1000, 1)
		}
	}
	const limit = 500
	data, err := e.Encode(limit)
	if err != nil || len(data) > limit || len(data) < limit/4 {
		t.Errorf("%d bytes, %v, want at most %d", len(data), err, limit)
	}
}

func TestRecordKeepsEstimates(t *testing.T) {
	e, next, kind := New(), New(), Kind{Queue: "q", Image: "a", Declared: 500}
	for i := range 300 {
		e.Observe(kind, clock.Millis(1500+i%10), 1)
	}
	if !e.Changed() {
		t.Error("new estimates are not worth a record")
	}
	data, err := e.Encode(maxRecordBytes)
	if err == nil {
		err = next.Load(data, 1)
	}
	if err != nil {
		t.Fatal(err)
	}
	likely, _, _ := next.Predict(kind)
	within(t, "loaded duration", likely, 1500, 0.1)
	e.Observe(kind, 1500, 1)
	if e.Changed() {
		t.Error("one more run like the others is worth a record")
	}
}
