package soak

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
)

// Promises, as named in verdicts.
const (
	promiseOnePlace  = "one place"          // a task runs on two workers at once
	promiseDoneOnce  = "done once"          // a task starts after an end that its worker was told is recorded
	promiseLost      = "nothing lost"       // an accepted job is not final at the end
	promiseRefused   = "refused is not run" // a task starts whose job was refused
	promiseCancelled = "cancelled ends"     // a task of a cancelled job starts or runs long after
	promiseRoom      = "room"               // more work on a worker than it has room for
	promiseTrue      = "true states"        // a job is shown as completed and a task of it was never done, or as failed
)

// Limits of the judgement.
const (
	cancelledStartLimit clock.Millis = 6 * clock.Second  // after an acknowledged cancellation: no start
	cancelledRunLimit   clock.Millis = 15 * clock.Second // and no run
)

// forever is the end of a run that went on when the soak stopped.
const forever clock.Millis = 1 << 50

// taskRun is one run as its worker executed it.
type taskRun struct {
	Task        job.Task     `json:"-"`
	Name        string       `json:"task"`
	Run         int          `json:"run"`
	Worker      string       `json:"worker"`
	Incarnation int64        `json:"incarnation"`
	Epoch       int64        `json:"epoch"` // of the owner that ordered the start
	StartedAt   clock.Millis `json:"started_at_ms"`
	EndedAt     clock.Millis `json:"ended_at_ms"`
	Cause       string       `json:"cause"` // of the end; "worker died" if the process ended first
	AckedAt     clock.Millis `json:"acknowledged_at_ms,omitempty"`
	LeasedUntil clock.Millis `json:"leased_until_ms"`
}

// violation is a broken promise.
type violation struct {
	Promise string    `json:"promise"`
	Text    string    `json:"text"`
	Runs    []taskRun `json:"runs,omitempty"`
}

// processEvents are the events of the workers of one process, with the times at
// which the process died.
type processEvents struct {
	events []workerEvent
	deaths []clock.Millis
}

// incarnationKey identifies an incarnation of a worker.
type incarnationKey struct {
	worker      string
	incarnation int64
}

// runKey identifies a run within an incarnation of a worker.
type runKey struct {
	incarnationKey
	task job.Task
	run  int
}

// collectRuns returns all runs, ordered by their start.
func collectRuns(processes []processEvents) []*taskRun {
	var runs []*taskRun
	for _, process := range processes {
		runs = append(runs, process.runs()...)
	}
	slices.SortStableFunc(runs, func(a, b *taskRun) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	return runs
}

// runs returns the runs of the workers of one process.
func (p processEvents) runs() []*taskRun {
	var runs []*taskRun
	byKey := map[runKey]*taskRun{}
	leases := map[incarnationKey]clock.Millis{}
	for _, event := range p.events {
		life := incarnationKey{event.Worker, event.Incarnation}
		task := job.Task{Job: job.ID(event.Job), Step: event.Step, Index: event.Index}
		key := runKey{life, task, event.Run}
		switch event.Kind {
		case worker.LeaseExtended:
			leases[life] = event.Until
		case worker.RunStarted:
			r := &taskRun{
				Task: task, Name: fmt.Sprintf("%s.%d.%d.%d", task.Job, task.Occurrence, task.Step, task.Index), Run: event.Run,
				Worker: event.Worker, Incarnation: event.Incarnation, Epoch: fleet.TokenEpoch(event.Token), StartedAt: event.At, EndedAt: forever,
			}
			byKey[key] = r
			runs = append(runs, r)
		case worker.RunEnded:
			if r := byKey[key]; r != nil {
				r.EndedAt, r.Cause, r.LeasedUntil = event.At, event.Cause, leases[life]
			}
		case worker.RunAcked:
			if r := byKey[key]; r != nil {
				r.AckedAt = event.At
			}
		}
	}
	for _, r := range runs {
		p.endByDeath(r, leases[incarnationKey{r.Worker, r.Incarnation}])
	}
	return runs
}

// endByDeath ends a run whose process died: then, or earlier when its lease lapsed.
func (p processEvents) endByDeath(r *taskRun, leasedUntil clock.Millis) {
	if r.EndedAt != forever {
		return
	}
	r.LeasedUntil = leasedUntil
	for _, death := range p.deaths {
		if death >= r.StartedAt {
			r.EndedAt, r.Cause = min(death, leasedUntil), "worker died"
			return
		}
	}
}

// judge returns the broken promises.
func judge(runs []*taskRun, submissions []*submission) []violation {
	byTask := map[job.Task][]*taskRun{}
	for _, r := range runs {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var found []violation
	for _, r := range runs {
		if of := byTask[r.Task]; of[0] == r { // each task once, in the order of first starts
			found = append(found, judgeTask(of)...)
		}
	}
	for _, s := range submissions {
		found = append(found, judgeSubmission(s, byTask)...)
	}
	return append(found, judgeRoom(runs)...)
}

// judgeTask judges the runs of one task.
func judgeTask(runs []*taskRun) []violation {
	var found []violation
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			if second.StartedAt < first.EndedAt {
				found = append(found, violation{
					Promise: promiseOnePlace, Runs: []taskRun{*first, *second},
					Text: fmt.Sprintf("task %s ran on %s and %s at once for %d ms", first.Name, first.Worker, second.Worker,
						min(first.EndedAt, second.EndedAt)-second.StartedAt),
				})
			}
			if first.AckedAt != 0 && second.StartedAt > first.AckedAt {
				found = append(found, violation{
					Promise: promiseDoneOnce, Runs: []taskRun{*first, *second},
					Text: fmt.Sprintf("task %s started on %s after it was done on %s and that was acknowledged", first.Name, second.Worker, first.Worker),
				})
			}
		}
	}
	return found
}

// judgeSubmission judges what the caller of a job was answered.
func judgeSubmission(s *submission, byTask map[job.Task][]*taskRun) []violation {
	var found []violation
	add := func(promise, text string, runs ...taskRun) {
		found = append(found, violation{Promise: promise, Text: "job " + string(s.id) + " " + text, Runs: runs})
	}
	switch {
	case s.accepted && s.gone:
		add(promiseLost, "was accepted and does not exist at the end")
	case s.accepted && !s.state.Final():
		add(promiseLost, "was accepted and is "+s.state.String()+" at the end")
	case s.accepted && s.state == job.Failed:
		add(promiseTrue, "is shown as failed, and no run fails")
	case s.accepted && s.state == job.Cancelled && !s.cancelTried:
		add(promiseTrue, "is shown as cancelled, and nobody cancelled it")
	}
	for step, spec := range s.spec.Steps {
		for index := range spec.Count {
			done := false
			for _, r := range byTask[job.Task{Job: s.id, Step: step, Index: index}] {
				done = done || r.Cause == "done"
				switch {
				case s.refused:
					add(promiseRefused, "was refused, and a task of it started", *r)
				case s.cancelledAt != 0 && r.StartedAt > s.cancelledAt+cancelledStartLimit:
					add(promiseCancelled, "was cancelled, and a task of it started later", *r)
				case s.cancelledAt != 0 && r.EndedAt != forever && r.EndedAt > s.cancelledAt+cancelledRunLimit:
					add(promiseCancelled, "was cancelled, and a task of it ran on", *r)
				}
			}
			if s.state == job.Completed && !done {
				add(promiseTrue, fmt.Sprintf("is shown as completed, and task %d.%d was never done", step, index))
			}
		}
	}
	return found
}

// judgeRoom finds the first time at which each worker had more runs than room.
func judgeRoom(runs []*taskRun) []violation {
	type running struct{ runs []*taskRun }
	workers := map[incarnationKey]*running{}
	over := map[incarnationKey]bool{}
	var found []violation
	for _, r := range runs {
		key := incarnationKey{r.Worker, r.Incarnation}
		if workers[key] == nil {
			workers[key] = &running{}
		}
		w := workers[key]
		w.runs = append(slices.DeleteFunc(w.runs, func(old *taskRun) bool { return old.EndedAt <= r.StartedAt }), r)
		if len(w.runs) > slotsPerWorker && !over[key] {
			over[key] = true
			v := violation{Promise: promiseRoom, Text: fmt.Sprintf("worker %s ran %d tasks and has room for %d", r.Worker, len(w.runs), slotsPerWorker)}
			for _, each := range w.runs {
				v.Runs = append(v.Runs, *each)
			}
			found = append(found, v)
		}
	}
	return found
}
