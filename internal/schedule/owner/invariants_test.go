package owner

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// violationf records a violated invariant when it is first seen, up to 20 of them.
func (sim *simulation) violationf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if len(sim.faults) < 20 && !sim.seenFaults[text] {
		sim.seenFaults[text] = true
		sim.faults = append(sim.faults, fmt.Sprintf("%6d ", sim.now)+text)
	}
}

// checkStart checks the invariants for a run that has just begun.
func (sim *simulation) checkStart(m *simWorker, order fleet.Start) {
	task := order.Task
	spec, known := sim.specs[task.Job]
	switch {
	case !known:
		sim.violationf("%v: started, but its job was never submitted", task)
		return
	case sim.refused[task.Job] && !sim.accepted[task.Job]:
		sim.violationf("%v: started, but its job was refused", task)
	case sim.completionRecorded[task] && !spec.Steps[task.Step].Lasting:
		sim.violationf("%v run %d: started on %s after its completion was recorded", task, order.Run, m.Entry.ID)
	}
	if at, cancelled := sim.cancelled[task.Job]; cancelled && sim.now-at > 3000 {
		sim.violationf("%v run %d: started %d ms after its job was cancelled", task, order.Run, sim.now-at)
	}
	for _, before := range spec.Steps[task.Step].After {
		for k := range spec.Steps[before].Count {
			if !sim.done[job.Task{Job: task.Job, Step: before, Index: k}] {
				sim.violationf("%v: started before step %d was done", task, before)
			}
		}
	}
	sim.checkQuota(order)
	if m.Used().MilliCPU > m.Entry.Room.MilliCPU {
		sim.violationf("%s: processors in use exceed its room", m.Entry.ID)
	}
}

// checkDuplicateRuns looks for tasks that run on two workers at once.
func (sim *simulation) checkDuplicateRuns() {
	workerOf := map[job.Task]string{}
	for _, id := range sim.workerIDs() {
		m := sim.workers[id]
		if m.down {
			continue
		}
		m.Advance(sim.now)
		for _, task := range m.Tasks() {
			if other, duplicate := workerOf[task]; duplicate {
				sim.violationf("%v: runs on %s and %s", task, other, id)
			}
			workerOf[task] = id
		}
	}
}

// checkFinalStates checks that every accepted job is final, and that its state
// agrees with what the workers executed.
func (sim *simulation) checkFinalStates(s *simOwner) {
	for id := range sim.accepted {
		result := s.owner.Lookup(JobRef{ID: id, Customer: sim.specs[id].Customer})
		if result.Verdict.Ruling != Recorded {
			sim.violationf("job %s: %s at the end", id, result.Verdict.Ruling)
			continue
		}
		spec := sim.specs[id]
		switch {
		case result.State == job.Completed:
			sim.checkCompleted(spec)
		case result.State == job.Cancelled && !sim.cancelRequested[id]:
			sim.violationf("job %s: cancelled without a cancellation", id)
		case !result.State.Final():
			sim.violationf("job %s: %s at the end: %s", id, result.State, s.owner.describeTasks(id))
		}
	}
}

// checkCompleted checks that all tasks of a completed job were executed.
func (sim *simulation) checkCompleted(spec job.Spec) {
	for i, step := range spec.Steps {
		for k := range step.Count {
			task := job.Task{Job: spec.ID, Step: i, Index: k}
			if !sim.done[task] {
				sim.violationf("%v: its job is completed, but no run of it was", task)
			}
		}
	}
}

// describeTasks formats the state of a job's tasks for a failed test.
func (o *Owner) describeTasks(id job.ID) string {
	text := ""
	j := o.jobs[id]
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			t := &j.steps[i].tasks[k]
			text += fmt.Sprintf(" %d.%d:phase=%d run=%d", i, k, t.phase, t.runNumber)
			if t.run != nil {
				text += fmt.Sprintf("(stage=%d on %s)", t.run.stage, t.run.worker.id)
			}
		}
	}
	return text
}
