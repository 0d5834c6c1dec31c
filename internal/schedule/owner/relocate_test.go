package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/relocation"
)

// relocationHarness has two long-running tasks on two workers with room for
// both on either.
func relocationHarness(t *testing.T) (b *ownerHarness, from, to *worker, moved *run) {
	t.Helper()
	b = newHarness(testEntry("w0"), testEntry("w1"))
	spec := servingSpec(2)
	spec.Steps[0].PerWorker = 1
	b.owner.Submit(spec, func(Verdict) {})
	b.reportAndDeliver()
	from, to = b.owner.workers["w0"], b.owner.workers["w1"]
	if len(from.runs) != 1 || len(to.runs) != 1 {
		t.Fatalf("runs on the workers: %d and %d, want 1 and 1", len(from.runs), len(to.runs))
	}
	b.owner.jobs[spec.ID].spec.Steps[0].PerWorker = 0
	return b, from, to, from.sortedRuns()[0]
}

// A relocated task runs on its destination, and its room is held there until
// then.
func TestRelocatedTaskRunsOnItsDestination(t *testing.T) {
	b, from, to, moved := relocationHarness(t)
	free := to.freeRoom()
	b.owner.beginRelocation(moved, to)
	if diff := cmp.Diff(free.Plus(committedRoom(moved.task.spec()), -1), to.freeRoom()); diff != "" {
		t.Errorf("free room of the destination while the task stops (-want +got):\n%s", diff)
	}
	b.reportAndDeliver()
	b.reportAndDeliver()
	got := fmt.Sprint(len(from.runs), len(to.runs), to.promised, len(b.owner.relocations))
	if diff := cmp.Diff("0 2 {0 0 0} 0", got); diff != "" {
		t.Errorf("runs, promised room and relocations afterwards (-want +got):\n%s", diff)
	}
}

// The room of a relocation is released if its job ends on the way, or if the
// worker that the task leaves does not answer in time.
func TestRoomOfRelocationIsReleased(t *testing.T) {
	for name, interrupt := range map[string]func(b *ownerHarness){
		"cancelled":  func(b *ownerHarness) { b.owner.Cancel(JobRef{ID: servingJob}, func(Verdict) {}) },
		"unanswered": func(b *ownerHarness) { b.now += relocationTimeout + clock.Second },
	} {
		t.Run(name, func(t *testing.T) {
			b, _, to, moved := relocationHarness(t)
			b.owner.beginRelocation(moved, to)
			interrupt(b)
			b.owner.Tick()
			got := fmt.Sprint(to.promised, len(b.owner.relocations))
			if diff := cmp.Diff("{0 0 0} 0", got); diff != "" {
				t.Errorf("promised room and relocations (-want +got):\n%s", diff)
			}
		})
	}
}

// Tasks whose callers limit how many may be without a run are not relocated.
func TestTaskWithLimitedAbsenceIsNotMovable(t *testing.T) {
	b, _, _, moved := relocationHarness(t)
	b.now += minTimeOnWorker
	b.owner.now = b.now
	if !b.owner.movable(moved) {
		t.Error("a confirmed run cannot be moved")
	}
	moved.task.job.spec.Steps[0].MayMiss = 1
	if b.owner.movable(moved) {
		t.Error("a run of a step with limited absence can be moved")
	}
}

// A relocation serves the pool in which most is requested in vain, and counts
// only what may use that pool for long enough.
func TestDemandsOfThePoolWithMostWaiting(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.owner.now = b.now
	waiting := func(id job.ID, image, pool string, tasks int, waited clock.Millis) queuedJob {
		j := newJob(jobSpec(string(id), job.Step{Count: tasks, MilliCPU: 1000, Fills: true, Image: image}))
		j.lastPlacementChangeAt = b.now - waited
		return queuedJob{job: j, pools: []string{pool}}
	}
	labelled := waiting("0000000000000005", "f", "large", 9, relocateAfter)
	labelled.job.spec.Steps[0].Label = "gpu"
	pool, demands := b.owner.waitingDemands([]queuedJob{
		waiting("0000000000000001", "f", "small", 3, relocateAfter),
		waiting("0000000000000002", "f", "large", 2, relocateAfter),
		waiting("0000000000000003", "f", "large", 3, relocateAfter),
		waiting("0000000000000004", "g", "large", 9, relocateAfter-1),
		labelled,
	})
	want := []relocation.Demand{{Image: "f", MilliCPU: 5000}}
	if diff := cmp.Diff(want, demands); diff != "" || pool != "large" {
		t.Errorf("pool %q, demands (-want +got):\n%s", pool, diff)
	}
}
