package owner

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

func (w *world) blamef(format string, values ...any) {
	if len(w.faults) < 20 {
		w.faults = append(w.faults, fmt.Sprintf("%6d ", w.now)+fmt.Sprintf(format, values...))
	}
}

// checkStart judges a run that has just begun.
func (w *world) checkStart(m *machine, order fleet.Start) {
	task := order.Task
	spec, known := w.specs[task.Job]
	switch {
	case !known:
		w.blamef("%v: started, but nobody submitted it", task)
		return
	case w.refused[task.Job] && !w.accepted[task.Job]:
		w.blamef("%v: started, but its job was refused", task)
	case w.noted[task] && !spec.Steps[task.Step].Lasting:
		w.blamef("%v run %d: started on %s after it was done", task, order.Run, m.Entry.ID)
	}
	if at, cancelled := w.cancelled[task.Job]; cancelled && w.now-at > 3000 {
		w.blamef("%v run %d: started %d ms after its job was cancelled", task, order.Run, w.now-at)
	}
	for _, before := range spec.Steps[task.Step].After {
		for k := range spec.Steps[before].Count {
			if !w.ended[job.Task{Job: task.Job, Step: before, Index: k}] {
				w.blamef("%v: started before step %d was done", task, before)
			}
		}
	}
	if m.Used().MilliCPU > m.Entry.Room.MilliCPU {
		w.blamef("%s: over its room", m.Entry.ID)
	}
}

// judge looks for tasks that run in two places.
func (w *world) judge() {
	places := map[job.Task]string{}
	for _, id := range w.ids() {
		m := w.workers[id]
		if m.dead {
			continue
		}
		m.Pass(w.now)
		for _, task := range m.Tasks() {
			if other, twice := places[task]; twice {
				w.blamef("%v: runs on %s and %s", task, other, id)
			}
			places[task] = id
		}
	}
}

// checkEnd judges the end of a play: every accepted job is final, and truly so.
func (w *world) checkEnd(s *seat) {
	for id := range w.accepted {
		finding := s.own.Lookup(id)
		if finding.Verdict.Ruling != Taken {
			w.blamef("job %s: %s at the end", id, finding.Verdict.Ruling)
			continue
		}
		spec := w.specs[id]
		_, cancelled := w.cancelled[id]
		switch {
		case finding.State == job.Completed:
			w.checkCompleted(spec)
		case finding.State == job.Cancelled && !cancelled:
			w.blamef("job %s: cancelled by nobody", id)
		case !finding.State.Final():
			w.blamef("job %s: %s at the end: %s", id, finding.State, s.own.describe(id))
		}
	}
}

func (w *world) checkCompleted(spec job.Spec) {
	for i, step := range spec.Steps {
		for k := range step.Count {
			task := job.Task{Job: spec.ID, Step: i, Index: k}
			if !w.ended[task] {
				w.blamef("%v: its job is completed, but it was never done", task)
			}
		}
	}
}

// describe prints a job's tasks for a failed test.
func (o *Owner) describe(id job.ID) string {
	text := ""
	j := o.jobs[id]
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			t := &j.steps[i].tasks[k]
			text += fmt.Sprintf(" %d.%d:phase=%d run=%d", i, k, t.phase, t.number)
			if t.run != nil {
				text += fmt.Sprintf("(stage=%d on %s)", t.run.stage, t.run.worker.id)
			}
		}
	}
	return text
}
