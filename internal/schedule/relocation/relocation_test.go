package relocation

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

const core = 1000 // milli-CPU

// incompatible: the best-effort image "narrow" is incompatible with "a" and
// "wide" with nothing.
func incompatible(serving, bestEffort string) bool { return serving == "a" && bestEffort == "narrow" }

// testWorker is a worker of 64 processors with long-running tasks of these
// images, which request 12 processors and use 6.
func testWorker(images ...string) Worker {
	w := Worker{Loads: map[string]int64{}, Allows: func(Task, []Task) bool { return true }}
	for i, image := range images {
		w.Tasks = append(w.Tasks, Task{ID: i, Image: image, Room: fleet.Room{MilliCPU: 12 * core}, Use: 6 * core, Movable: true})
	}
	used := int64(len(images))
	w.Free, w.Idle = fleet.Room{MilliCPU: (64 - 12*used) * core}, (64-6*used)*core
	return w
}

// settled is a worker whose tasks may not move.
func settled(images ...string) Worker {
	w := testWorker(images...)
	for i := range w.Tasks {
		w.Tasks[i].Movable = false
	}
	return w
}

func demand(image string, cores int64) []Demand {
	return []Demand{{Image: image, MilliCPU: cores * core}}
}

// destinations returns where the moves of the best plan go, nil without a plan.
func destinations(workers []Worker, demands []Demand) []int {
	plan, ok := New(workers, demands, incompatible).Best()
	if !ok {
		return nil
	}
	to := []int{plan.From}
	for _, move := range plan.Moves {
		to = append(to, move.To)
	}
	return to
}

// Each row lists the worker that is cleared, and where its tasks go.
func TestPlan(t *testing.T) {
	loaded, full := settled("a"), settled("a")
	loaded.Loads["narrow"] = 40 * core
	full.Idle = 0
	rejecting := settled("a", "a")
	rejecting.Allows = func(Task, []Task) bool { return false }
	rows := map[string]struct {
		workers []Worker
		demands []Demand
		want    []int
	}{
		"the task that stands alone joins those of its image": {
			[]Worker{testWorker("a", "b"), testWorker("a", "a", "a")}, demand("narrow", 60), []int{0, 1},
		},
		"the fullest of the suitable workers": {
			[]Worker{testWorker("a", "b"), settled("a"), settled("a", "a", "a")}, demand("narrow", 60), []int{0, 2},
		},
		"nothing waits":                               {[]Worker{testWorker("a", "b"), testWorker("a")}, nil, nil},
		"what waits suits all workers":                {[]Worker{testWorker("a", "b"), testWorker("a")}, demand("wide", 60), nil},
		"little waits":                                {[]Worker{testWorker("a", "b"), testWorker("a")}, demand("narrow", 5), nil},
		"a task that may not move":                    {[]Worker{settled("a", "b"), settled("a", "a", "a", "a")}, demand("narrow", 60), nil},
		"no other worker has room":                    {[]Worker{testWorker("a", "b"), testWorker("a", "a", "a", "a", "a")}, demand("narrow", 60), nil},
		"the only other worker loses as much":         {[]Worker{testWorker("a", "b"), testWorker("b")}, demand("narrow", 60), nil},
		"a worker whose limits exclude the task":      {[]Worker{testWorker("a", "b"), rejecting}, demand("narrow", 60), nil},
		"running best-effort tasks are not disturbed": {[]Worker{testWorker("a", "b"), loaded}, demand("narrow", 30), nil},
		"a worker without idle processors":            {[]Worker{full, testWorker("a", "b"), testWorker("a", "a")}, demand("narrow", 60), []int{1, 2}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(row.want, destinations(row.workers, row.demands)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Two tasks of one plan must not count on the same room.
func TestMovesOfAPlanShareRoom(t *testing.T) {
	workers := []Worker{testWorker("a", "a", "b"), testWorker("a", "a", "a", "a"), testWorker("a", "a", "a", "a")}
	if diff := cmp.Diff([]int{0, 1, 2}, destinations(workers, demand("narrow", 60))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// With 1,200 workers a plan is bounded work.
func BenchmarkBest(b *testing.B) {
	var workers []Worker
	for i := range 1200 {
		workers = append(workers, testWorker([]string{"a", "b", "c"}[i%3], "a", "b"))
	}
	demands := append(demand("narrow", 500), demand("wide", 500)...)
	for b.Loop() {
		New(workers, demands, incompatible).Best()
	}
}
