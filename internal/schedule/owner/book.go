package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// jobState is a job in memory.
type jobState struct {
	spec     job.Spec
	state    job.State
	shown    job.State // as last recorded
	durable  bool      // its specification is recorded
	cancel   bool      // the caller cancelled it
	began    bool      // a run of it was ordered
	endedMS  int64     // Unix time of its final state
	steps    []stepState
	runs     int // runs that may be at work
	left     int // steps that are not done
	dirty    bool
	newSpec  bool // its specification is yet to be recorded
	objects  objective
	waiters  []func(Verdict)
	takenAt  clock.Millis
	movedAt  clock.Millis // when a task of it was last placed or ended
	specGone bool         // its specification's record was removed
}

// stepState is a step in memory.
type stepState struct {
	spec    *job.Step
	tasks   []taskState
	open    bool           // all steps before it are done
	left    int            // tasks that are not done
	waiting int            // tasks that could start
	onHost  map[string]int // runs by worker id; only kept where the step limits them
	kept    int            // workers that are kept for its tasks
}

// taskState is a task in memory.
type taskState struct {
	job        *jobState
	step       int
	index      int
	phase      job.Phase
	number     int // of the newest run
	failures   int
	checkpoint string
	run        *run         // while assigned
	freeAt     clock.Millis // since when it has no run; 0: since before this owner
	notBefore  clock.Millis // earliest next start
	avoid      string       // worker of the last run, when that run went wrong
}

// stage of a run, as far as the owner knows.
type stage uint8

const (
	stageRecording stage = iota // its record is not acknowledged; nothing was sent
	stageOrdered                // the order was sent
	stageConfirmed              // the worker has it, or has had it
	stageInherited              // recorded by a former owner, not heard of yet
	stageStopping               // a stop was sent
	stageStopped                // a stop was confirmed; its end is to be listed
)

// run is one run of a task that may be at work.
type run struct {
	task        *taskState
	number      int
	worker      *worker
	born        int64 // incarnation of the worker
	stage       stage
	unanswered  bool // an order of it got no answer, so it may begin late
	tries       int
	confirmedAt clock.Millis // when the start, or in stageStopped the stop, was confirmed
	startedAt   clock.Millis
	usage       int64 // as last reported: tail latency in ms, or milli-CPU
	usageAt     clock.Millis
	percent     int          // of its work, as last reported
	judged      bool         // the last report lets tell whether it gets on
	stillSince  clock.Millis // since when it has shown no progress; 0: never reported
	overSince   clock.Millis // of a lasting task: since when it is over its target; 0: it is not
	pace        int          // percent; 100: unhindered
	why         string       // reason for a stop
}

// name returns the task's name.
func (t *taskState) name() job.Task {
	return job.Task{Job: t.job.spec.ID, Step: t.step, Index: t.index}
}

func (t *taskState) spec() *job.Step { return &t.job.spec.Steps[t.step] }

// newJob builds the state of a job of which nothing has run.
func newJob(spec job.Spec) *jobState {
	j := &jobState{spec: spec, left: len(spec.Steps)}
	j.steps = make([]stepState, len(spec.Steps))
	for i := range j.steps {
		step := &j.steps[i]
		step.spec = &j.spec.Steps[i]
		step.left = step.spec.Count
		step.waiting = step.spec.Count
		step.tasks = make([]taskState, step.spec.Count)
		if step.spec.PerWorker > 0 {
			step.onHost = map[string]int{}
		}
		for k := range step.tasks {
			step.tasks[k] = taskState{job: j, step: i, index: k}
		}
	}
	j.openSteps(0)
	return j
}

// free notes since when the tasks of a new job have no run.
func (j *jobState) free(now clock.Millis) {
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			j.steps[i].tasks[k].freeAt = now
		}
	}
}

// openSteps opens each step whose earlier steps are done, and notes since when
// its tasks could start.
func (j *jobState) openSteps(now clock.Millis) {
	for i := range j.steps {
		step := &j.steps[i]
		if step.open || slices.ContainsFunc(step.spec.After, func(before int) bool { return j.steps[before].left > 0 }) {
			continue
		}
		step.open = true
		for k := range step.tasks {
			step.tasks[k].freeAt = max(step.tasks[k].freeAt, now)
		}
	}
}

// startable reports whether a task of the job could start now.
func (j *jobState) startable() bool {
	if j.state.Final() {
		return false
	}
	return slices.ContainsFunc(j.steps, func(step stepState) bool { return step.open && step.waiting > 0 })
}

// lasting reports whether the job runs until it is cancelled.
func (j *jobState) lasting() bool {
	return slices.ContainsFunc(j.spec.Steps, func(step job.Step) bool { return step.Lasting })
}

// progress returns the durable form of what changes.
func (j *jobState) progress() job.Progress {
	progress := job.Progress{State: j.state, EndedMS: j.endedMS, Canceled: j.cancel}
	if j.state.Final() && j.runs == 0 {
		return progress
	}
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			progress.Tasks = append(progress.Tasks, j.steps[i].tasks[k].progress())
		}
	}
	return progress
}

func (t *taskState) progress() job.TaskProgress {
	kept := job.TaskProgress{Phase: t.phase, Run: t.number, Failures: t.failures}
	if t.phase != job.Done {
		kept.Checkpoint = t.checkpoint
	}
	if t.run != nil {
		kept.Worker = t.run.worker.id
		kept.Born = t.run.born
	}
	return kept
}

// task finds a task by its name.
func (o *Owner) task(name job.Task) *taskState {
	j := o.jobs[name.Job]
	if j == nil || name.Occurrence != 0 || name.Step >= len(j.steps) || name.Index >= len(j.steps[name.Step].tasks) {
		return nil
	}
	return &j.steps[name.Step].tasks[name.Index]
}

// runOf finds the current run of a task, if it has this number.
func (o *Owner) runOf(name job.Task, number int) *run {
	task := o.task(name)
	if task == nil || task.run == nil || task.run.number != number {
		return nil
	}
	return task.run
}

// asked returns what a task asks for.
func asked(step *job.Step) fleet.Room {
	return fleet.Room{MilliCPU: step.MilliCPU, MemoryMB: step.MemoryMB, GPUs: step.GPUs}
}

// need returns what a task takes of a worker's room. Tasks that fill take
// processors only as others leave them.
func need(step *job.Step) fleet.Room {
	room := asked(step)
	if step.Fills {
		room.MilliCPU = 0
	}
	return room
}
