package owner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/share"
)

// Operators may ask where a job would be placed now, and why. The answer comes from
// the code of the placement pass, and leaves the state as it is.

// WhereQuery names a job, or has a submission that is not sent.
type WhereQuery struct {
	Job        job.ID
	Submission *job.Spec // nil: Job is asked for
}

// WhereAnswer says where the tasks of a job would be placed now.
type WhereAnswer struct {
	Verdict   Verdict       `json:"-"`             // Recorded: the other fields are valid
	Job       string        `json:"job,omitempty"` // empty: a submission
	State     string        `json:"state,omitempty"`
	Refusal   string        `json:"refusal,omitempty"` // why the submission would not be accepted
	Queue     string        `json:"queue"`
	Priority  int           `json:"priority"` // of the queue; 0 is served first
	Customer  string        `json:"customer,omitempty"`
	Excess    bool          `json:"excess,omitempty"` // in excess of its customer's rate
	Pools     []string      `json:"pools"`
	JobsAhead int           `json:"jobs_ahead"`         // in the order of placement, of all queues; negative: it has no task to place
	Workers   int           `json:"workers"`            // of its pools
	Unusable  []WorkerCount `json:"unusable,omitempty"` // of these, workers that get no new runs
	Steps     []WhereStep   `json:"steps"`
}

// WhereStep says where the next task of a step would be placed now.
type WhereStep struct {
	Step     int                `json:"step"`
	Waiting  int                `json:"tasks_waiting"`          // tasks to place
	After    []int              `json:"after,omitempty"`        // steps that must be done before; the worker is the one if they were
	RetryIn  clock.Millis       `json:"retry_in_ms,omitempty"`  // until a refused start is repeated
	Worker   string             `json:"worker,omitempty"`       // empty: it would not be placed now
	Pool     string             `json:"pool,omitempty"`         // of the worker
	Moves    bool               `json:"moves,omitempty"`        // the worker was cleared for the task
	Suitable int                `json:"suitable_workers"`       // of the worker's pool
	Reason   string             `json:"reason,omitempty"`       // the leading one, if it would not be placed
	Rejected []WorkerCount      `json:"rejected,omitempty"`     // workers by the reason why they cannot run the task
	Reserved []WhereReservation `json:"reservations,omitempty"` // of the step, as of the last placement pass
}

// WorkerCount counts workers by a reason.
type WorkerCount struct {
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}

// WhereReservation is a worker reserved for a step.
type WhereReservation struct {
	Worker      string       `json:"worker"`
	LikelyStart clock.Millis `json:"likely_start_ms"` // from now
	SureStart   clock.Millis `json:"sure_start_ms"`   // from now
	Strict      bool         `json:"strict"`
}

// Where answers a query. Its cost is the preparation of a placement pass, and at most one
// rating of all workers for each of at most job.MaxSteps steps.
func (o *Owner) Where(query WhereQuery) WhereAnswer {
	if !o.beginInput() {
		return WhereAnswer{Verdict: Verdict{Ruling: NotOwner, Reason: "ownership lost"}}
	}
	if query.Submission == nil {
		j := o.jobs[query.Job]
		if j == nil {
			return WhereAnswer{Verdict: o.notFoundVerdict()}
		}
		answer := o.explainPlacement(j)
		answer.Job, answer.State = string(j.spec.ID), j.state.String()
		return answer
	}
	spec := *query.Submission
	account, known := o.knownAccount(spec.Customer)
	if !known {
		return WhereAnswer{Verdict: Verdict{Ruling: Invalid, Reason: "no such customer"}}
	}
	j := newJob(spec)
	j.account = account
	j.submittedAt, j.lastPlacementChangeAt = o.now, o.now
	j.setWaitingSince(o.now)
	j.deadlines = o.objective(j)
	answer := o.explainPlacement(j)
	if verdict := o.objection(spec, account); verdict.Ruling != Recorded {
		answer.Refusal = verdict.Reason
	}
	return answer
}

// placementView is what the next placement pass would see.
type placementView struct {
	queue manifest.Queue
	pools map[string]*poolCapacity
	turn  turn
}

// explainPlacement says where the tasks of a job would be placed. The job may be one
// that is not among the owner's.
func (o *Owner) explainPlacement(j *jobState) WhereAnswer {
	answer := WhereAnswer{Queue: j.spec.Queue, Customer: j.spec.Customer, Excess: j.excess, JobsAhead: -1}
	queue, known := o.tables.Queue(j.spec.Queue)
	if !known {
		answer.Refusal = "the queue is not in the tables"
		return answer
	}
	answer.Priority, answer.Pools = queue.Priority, queue.Pools
	answer.Workers, answer.Unusable = o.countUnusable(queue.Pools)
	if j.state.Final() {
		return answer
	}
	defer o.saveDerived(j)()
	o.countTrials()
	view := placementView{queue: queue, pools: o.usablePools()}
	jobs := o.queue()
	if o.jobs[j.spec.ID] != j {
		jobs = append(jobs, newQueuedJob(j, queue, o.now))
		slices.SortFunc(jobs, compareQueued)
	}
	o.updateBatchShares(view.pools, jobs)
	answer.JobsAhead = slices.IndexFunc(jobs, func(queued queuedJob) bool { return queued.job == j })
	if j.account != nil && answer.JobsAhead >= 0 {
		view.turn = turn{account: j.account, total: totalRoom(view.pools), fair: share.WeightOf(j.account.Weight()) / sumWeights(jobs)}
	}
	for i := range j.steps {
		if j.steps[i].waiting > 0 {
			answer.Steps = append(answer.Steps, o.explainStep(j, i, view))
		}
	}
	return answer
}

// saveDerived returns a function that restores the values which rating workers for a job
// computes anew, so that placement passes refresh them when they would have without it.
func (o *Owner) saveDerived(j *jobState) (restore func()) {
	demands := maps.Clone(o.batchDemands)
	lengths := make([]knownLengths, len(j.steps))
	for i := range j.steps {
		lengths[i] = j.steps[i].length
	}
	var unplanned []*worker
	for _, w := range o.sortedWorkers {
		if !w.planValid {
			unplanned = append(unplanned, w)
		}
	}
	return func() {
		o.batchDemands = demands
		for i := range j.steps {
			j.steps[i].length = lengths[i]
		}
		for _, w := range unplanned {
			w.planValid = false
		}
	}
}

// explainStep says where the next task of a step would be placed.
func (o *Owner) explainStep(j *jobState, number int, view placementView) WhereStep {
	step := &j.steps[number]
	result := WhereStep{Step: number, Waiting: step.waiting}
	for _, before := range step.spec.After {
		if j.steps[before].unfinished > 0 {
			result.After = append(result.After, before)
		}
	}
	for _, w := range step.reservedOn {
		result.Reserved = append(result.Reserved, WhereReservation{
			Worker: w.id, LikelyStart: w.reserved.start.Likely - o.now, SureStart: w.reserved.start.Sure - o.now, Strict: w.reserved.strict,
		})
	}
	task := o.nextTask(step, &result)
	switch {
	case task == nil:
		result.Reason = "start_refused"
	case !j.account.Admits(requestedRoom(step.spec)):
		result.Reason = rejectedQuota.String()
	default:
		o.explainTask(task, step, view, &result)
	}
	return result
}

// nextTask returns the task of a step that a placement pass would consider first, or nil
// if the starts of all were refused a short time ago.
func (o *Owner) nextTask(step *stepState, result *WhereStep) *taskState {
	for k := range step.tasks {
		task := &step.tasks[k]
		if task.phase != job.Waiting {
			continue
		}
		if task.notBefore <= o.now {
			result.RetryIn = 0
			return task
		}
		if wait := task.notBefore - o.now; result.RetryIn == 0 || wait < result.RetryIn {
			result.RetryIn = wait
		}
	}
	return nil
}

// explainTask rates the workers for a task, pool by pool, until one suits.
func (o *Owner) explainTask(task *taskState, step *stepState, view placementView, result *WhereStep) {
	if w := o.clearedWorker(task, step, view.queue.Pools); w != nil {
		result.Worker, result.Pool, result.Moves, result.Suitable = w.id, w.entry.Service, true, 1
		return
	}
	var rejected rejections
	for _, name := range view.queue.Pools {
		pool := view.pools[name]
		if pool == nil || !pool.admits(task, o.now) {
			rejected[rejectedPool]++
			continue
		}
		rated := rating{}
		w := o.chooseWorker(&rated, task, step, pool.workers)
		counts := rated.countRejections()
		rejected = rejected.plus(counts)
		if w != nil {
			result.Worker, result.Pool, result.Suitable = w.id, name, counts[notRejected]
			break
		}
	}
	if result.Worker == "" {
		if view.turn.hasShare(task.job.excess) {
			rejected = rejected.attributedToShare()
		}
		reason, _ := rejected.leading()
		result.Reason = reason.String()
	}
	result.Rejected = rejected.list()
}

// clearedWorker returns the worker that a relocation has cleared for a task, or nil.
func (o *Owner) clearedWorker(task *taskState, step *stepState, pools []string) *worker {
	relocated, ok := o.relocations[task]
	if !ok {
		return nil
	}
	required := committedRoom(step.spec)
	w := relocated.to
	if !o.isUsable(w) || !slices.Contains(pools, w.entry.Service) || !constraintsAllow(step, w) || !required.FitsIn(w.freeRoom().Plus(required, 1)) {
		return nil
	}
	return w
}

// list lists the counts of workers that cannot run the task, most first.
func (c rejections) list() []WorkerCount {
	var counts []WorkerCount
	for kind, workers := range c {
		if rejection(kind) != notRejected && workers > 0 {
			counts = append(counts, WorkerCount{Reason: rejection(kind).String(), Workers: workers})
		}
	}
	sortCounts(counts)
	return counts
}

func sortCounts(counts []WorkerCount) {
	slices.SortFunc(counts, func(a, b WorkerCount) int {
		return cmp.Or(-cmp.Compare(a.Workers, b.Workers), cmp.Compare(a.Reason, b.Reason))
	})
}

// countUnusable counts the known workers of some pools, and those that get no new runs by
// the reason.
func (o *Owner) countUnusable(pools []string) (workers int, unusable []WorkerCount) {
	byReason := map[string]int{}
	for _, w := range o.sortedWorkers {
		if !slices.Contains(pools, w.entry.Service) {
			continue
		}
		workers++
		if reason := o.unusableReason(w); reason != "" {
			byReason[reason]++
		}
	}
	for reason, count := range byReason {
		unusable = append(unusable, WorkerCount{Reason: reason, Workers: count})
	}
	sortCounts(unusable)
	return workers, unusable
}
