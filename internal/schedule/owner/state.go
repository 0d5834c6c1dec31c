package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// jobState is the in-memory state of a job.
type jobState struct {
	spec                  job.Spec
	account               *quota.Account // of its customer; nil without one
	state                 job.State
	recordedState         job.State    // state in the last acknowledged record
	durable               bool         // the record of its specification is acknowledged
	excess                bool         // it comes after all other work of its kind
	cancelled             bool         // cancelled by its caller
	hasStarted            bool         // a worker confirmed a run of it, or an earlier owner recorded one
	endedMS               int64        // Unix time at which it became final
	endedAt               clock.Millis // the same; of an inherited job by its recorded age
	steps                 []stepState
	runs                  int  // runs that may be executing
	unfinished            int  // steps that are not done
	changed               bool // it is in the batch for the next append
	parts                 progressParts
	refusals              int  // of its records by the store
	specUnsent            bool // its specification is not in any append yet
	deadlines             objective
	acceptReplies         []func(Verdict) // callers that wait for its record
	submittedAt           clock.Millis    // when it was submitted
	lastPlacementChangeAt clock.Millis    // when a task was last placed or ended, or it was submitted or loaded; the job's wait counts from here
	sweep                 int             // Owner.sweep when a placement pass last considered it
	specRemoved           bool            // the record of its specification was removed
}

// stepState is the in-memory state of a step.
type stepState struct {
	spec         *job.Step
	tasks        []taskState
	firstTask    int             // tasks of the steps before it
	ready        bool            // all steps before it are done
	unfinished   int             // tasks that are not done
	waiting      int             // tasks without a run that are not done
	runsByWorker map[string]int  // runs by worker id; nil unless the step limits runs per worker
	reservedOn   []*worker       // workers reserved for its tasks
	blocked      []blockedSearch // by index of its queue's pools
	length       knownLengths    // of its tasks
	rejections   rejections      // workers by the reason why they could not run its next task, in the last pass that found none
}

// taskState is the in-memory state of a task.
type taskState struct {
	job          *jobState
	step         int
	index        int
	phase        job.Phase
	runNumber    int // number of the newest run
	failures     int // failed runs
	checkpoint   string
	run          *run         // current run; nil unless assigned
	waitingSince clock.Millis // since when it could have been placed; 0: since before this ownership
	notBefore    clock.Millis // earliest next placement, after a refused start
	stalls       int          // runs stopped by this owner because their worker seemed stalled
	lapsedRuns   []int        // numbers of the newest runs that this owner ended as lapsed; their workers may report failures of them later
	avoidWorker  string       // id of the worker to avoid, where the last run went wrong
}

// stage is the owner's knowledge of a run.
type stage uint8

const (
	stageRecording stage = iota // its record is not acknowledged; no order was sent
	stageOrdered                // a start order was sent
	stageConfirmed              // the worker has started it; it may have ended since
	stageInherited              // recorded by a previous owner; not reported by its worker yet
	stageStopping               // a stop order was sent
	stageStopped                // the stop was confirmed; the worker's report will list its end
)

// run is one start of a task on a worker. It may be executing until it is
// detached from the worker.
type run struct {
	task                        *taskState
	runNumber                   int
	worker                      *worker
	incarnation                 int64 // incarnation of the worker that it was placed on
	stage                       stage
	startUnanswered             bool          // a start order got no answer, so the run may begin late
	startsSent                  int           // start orders sent
	startsOpen                  int           // start orders sent and not answered yet
	stopsSent                   int           // stop orders sent
	stoppingSince               clock.Millis  // when the first of them was sent; 0: never
	orderSentAt                 clock.Millis  // when the newest start or stop order was sent; 0: never
	confirmedAt                 clock.Millis  // when the start, or in stageStopped the stop, was confirmed
	startedAt                   clock.Millis  // when the first start order was sent; inherited runs: when confirmed
	usage                       int64         // last reported: tail latency in ms with a target, else milli-CPU in use
	reportedAt                  clock.Millis  // when usage was reported; 0: never
	percentDone                 int           // last reported share of its work that is done
	hasUsed                     bool          // a report showed that it uses its processors
	firstChangeAt, lastChangeAt clock.Millis  // when its percentage was seen to change first and last; 0: never
	firstChangePercent          int           // percentDone after the first change
	progressKnown               bool          // the last report shows whether it makes progress
	progressedAt                clock.Millis  // time of its last progress, or the end of startupGrace if later; 0: never reported
	overTargetSince             clock.Millis  // since when a long-running task has been above overTargetRatio of its target; 0: it is not
	aloneAt                     clock.Millis  // when it was last reported over its target while no best-effort task worked beside it; 0: not since it was within its target
	paceConfirmed               bool          // its worker has carried out the newest pace order
	pace                        int           // ordered share of its speed in percent; fullPace: not slowed
	stopReason                  string        // why it was stopped or not started
	expected                    *timeline.Run // when it is expected to end
	processorTime               float64       // of a best-effort run until reportedAt: milliseconds at the processors that it requests
}

// key returns the key that identifies the task in orders and reports.
func (t *taskState) key() job.Task {
	return job.Task{Job: t.job.spec.ID, Step: t.step, Index: t.index}
}

func (t *taskState) spec() *job.Step { return &t.job.spec.Steps[t.step] }

// newJob returns the state of a job that has not started.
func newJob(spec job.Spec) *jobState {
	j := &jobState{spec: spec, unfinished: len(spec.Steps)}
	j.steps = make([]stepState, len(spec.Steps))
	first := 0
	for i := range j.steps {
		step := &j.steps[i]
		step.spec = &j.spec.Steps[i]
		step.firstTask = first
		first += step.spec.Count
		step.unfinished = step.spec.Count
		step.waiting = step.spec.Count
		step.tasks = make([]taskState, step.spec.Count)
		if step.spec.PerWorker > 0 {
			step.runsByWorker = map[string]int{}
		}
		for k := range step.tasks {
			step.tasks[k] = taskState{job: j, step: i, index: k}
		}
	}
	j.markStepsReady(0)
	return j
}

// setWaitingSince makes all tasks of a new job wait from now.
func (j *jobState) setWaitingSince(now clock.Millis) {
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			j.steps[i].tasks[k].waitingSince = now
		}
	}
}

// markStepsReady marks each step whose predecessors are done; its tasks wait
// from now on.
func (j *jobState) markStepsReady(now clock.Millis) {
	for i := range j.steps {
		step := &j.steps[i]
		if step.ready || slices.ContainsFunc(step.spec.After, func(before int) bool { return j.steps[before].unfinished > 0 }) {
			continue
		}
		step.ready = true
		for k := range step.tasks {
			step.tasks[k].waitingSince = max(step.tasks[k].waitingSince, now)
		}
	}
}

// startable reports whether the job has a task to place.
func (j *jobState) startable() bool {
	if j.state.Final() {
		return false
	}
	return slices.ContainsFunc(j.steps, func(step stepState) bool { return step.ready && step.waiting > 0 })
}

// longRunning reports whether the job runs until it is cancelled.
func (j *jobState) longRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(step job.Step) bool { return step.Lasting })
}

func (t *taskState) progress() job.TaskProgress {
	recorded := job.TaskProgress{Phase: t.phase, Run: t.runNumber, Failures: t.failures}
	if t.phase != job.Done {
		recorded.Checkpoint = t.checkpoint
	}
	if t.run != nil {
		recorded.Worker = t.run.worker.id
		recorded.Incarnation = t.run.incarnation
	}
	return recorded
}

// task returns a task by its key, or nil.
func (o *Owner) task(taskID job.Task) *taskState {
	j := o.jobs[taskID.Job]
	if j == nil || taskID.Occurrence != 0 || taskID.Step >= len(j.steps) || taskID.Index >= len(j.steps[taskID.Step].tasks) {
		return nil
	}
	return &j.steps[taskID.Step].tasks[taskID.Index]
}

// currentRun returns the current run of a task if it has this number, or nil.
func (o *Owner) currentRun(taskID job.Task, runNumber int) *run {
	task := o.task(taskID)
	if task == nil || task.run == nil || task.run.runNumber != runNumber {
		return nil
	}
	return task.run
}

// requestedRoom returns the resources that a task requests.
func requestedRoom(step *job.Step) fleet.Room {
	return fleet.Room{MilliCPU: step.MilliCPU, MemoryMB: step.MemoryMB, GPUs: step.GPUs}
}

// committedRoom returns the resources that a task commits on a worker.
// Best-effort tasks commit no processors: they use those that are idle.
func committedRoom(step *job.Step) fleet.Room {
	room := requestedRoom(step)
	if step.Fills {
		room.MilliCPU = 0
	}
	return room
}
