package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Small tasks must keep off workers that large ones need while such arrive, and
// go to the fullest worker as long as none do.
func TestSmallTasksLeaveRoomForLargeOnes(t *testing.T) {
	for _, test := range []struct {
		name  string
		large int // large tasks that arrived recently
		want  string
	}{{"large tasks arrive", 100, "little"}, {"none arrive", 0, "wide"}} {
		wide, little := testEntry("wide"), testEntry("little")
		wide.Room.MilliCPU = 40000
		b := newHarness(wide, little)
		b.report("wide", func(job.Task) int64 { return 0 })
		b.report("little", func(job.Task) int64 { return 0 })
		b.submitAndPlace(jobSpec(fmt.Sprintf("%016x", 1), job.Step{Count: 1, MilliCPU: 21000, EstimateMS: 1000})) // fits on the first only
		b.owner.sizes.Add(b.now, 2000, 1000)
		b.owner.sizes.Add(b.now+10*clock.Minute, 2000, 1000) // the first task is forgotten
		b.owner.sizes.Add(b.now+10*clock.Minute, 30000, test.large)
		b.submitAndPlace(jobSpec(fmt.Sprintf("%016x", 2), job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 1000}))
		if got := b.owner.jobs[job.ID(fmt.Sprintf("%016x", 2))].steps[0].tasks[0].run.worker.id; got != test.want {
			t.Errorf("%s: the small task is on %s, want %s", test.name, got, test.want)
		}
	}
}

// An owner that takes over knows no sizes and no reservations. A large task that
// it finds waiting must get a reservation again.
func TestReservationIsMadeAnewAfterTakeover(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	running := m.startRun()
	m.owner.Submit(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 20000, EstimateMS: 1000}), func(Verdict) {})
	m.advance(25)
	m.acknowledge()
	next := m.successor(clock.Second)
	next.list(1, "w:1")
	next.advance(25)
	next.acknowledge()
	next.report(1, running)
	for begun := next.now; next.now-begun <= reserveAfter+placementInterval; next.report(1, running) {
		next.advance(25)
		next.acknowledge()
	}
	held := next.owner.workers["w"].reserved
	if held == nil || held.job.spec.ID != largeJob {
		t.Errorf("reservation %+v, want one for the large job", held)
	}
}
