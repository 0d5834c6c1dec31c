package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// relocateAny begins the relocation of a long-running run, drawn at random, to
// another worker with room for it.
func (sim *simulation) relocateAny(s *simOwner) {
	sim.deliver(s, func() {
		o := s.owner
		var movable []*run
		for _, w := range o.sortedWorkers {
			for _, r := range w.sortedRuns() {
				if r.task.spec().Lasting && r.stage == stageConfirmed {
					movable = append(movable, r)
				}
			}
		}
		if len(movable) == 0 {
			return
		}
		r := movable[sim.rng.IntN(len(movable))]
		for _, i := range sim.rng.Perm(len(o.sortedWorkers)) {
			if to := o.sortedWorkers[i]; to != r.worker && o.isUsable(to) && committedRoom(r.task.spec()).FitsIn(to.freeRoom()) {
				o.beginRelocation(r, to)
				return
			}
		}
	})
}

// Long-running tasks that are relocated all the time, under each fault, run once
// at a time and none is lost.
func TestRelocationsUnderFaults(t *testing.T) {
	for _, injected := range faults {
		t.Run(injected.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 7, 9)
			sim.simOwner()
			for i := range 4 {
				spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", i+1)), Queue: "q", Text: "x", Steps: []job.Step{{
					Count: 4, MilliCPU: 1000, MemoryMB: 1000, Lasting: true,
				}}}
				sim.at(clock.Millis(i)*250, func() { sim.submit(sim.currentOwner(), spec) })
			}
			for i := range 60 {
				sim.at(2000+clock.Millis(i)*250, func() { sim.relocateAny(sim.currentOwner()) })
			}
			if injected.begin != nil {
				sim.at(4*clock.Second, func() { injected.begin(sim, sim.currentOwner()) })
			}
			if injected.end != nil {
				sim.at(8*clock.Second, func() { injected.end(sim) })
			}
			for i := range 300 {
				sim.at(clock.Millis(i)*150, sim.checkDuplicateRuns)
			}
			sim.run(45 * clock.Second)
			sim.checkLongRunning(sim.currentOwner())
			if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
				t.Errorf("invariants violated (-want +got):\n%s", diff)
			}
		})
	}
}

// checkLongRunning checks that every task of an accepted, not cancelled job has a
// run, and that no room is held for relocations that are over.
func (sim *simulation) checkLongRunning(s *simOwner) {
	for id := range sim.accepted {
		if _, cancelled := sim.cancelled[id]; cancelled {
			continue
		}
		for k, task := range s.owner.jobs[id].steps[0].tasks {
			if task.run == nil && task.phase != job.Waiting || task.phase == job.Waiting && s.owner.now-task.waitingSince > clock.Second {
				sim.violationf("job %s: task %d does not run at the end", id, k)
			}
		}
	}
	for _, w := range s.owner.sortedWorkers {
		if len(s.owner.relocations) == 0 && w.promised.MilliCPU != 0 {
			sim.violationf("%s: room is held for no relocation", w.id)
		}
	}
}
