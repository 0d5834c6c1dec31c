package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/interference"
)

// Limits for placing best-effort tasks beside long-running ones. A headroom is
// the latency target divided by the tail latency; a share is a part of a
// worker's processors.
const (
	idleHeadroom         = 5.0   // headroom of a long-running task without load
	minServingUse        = 0.2   // least share of its requested processors that a long-running task is assumed to use
	maxServingUse        = 0.8   // largest share of its requested processors that a long-running task is assumed to use
	servingUseMargin     = 0.02  // added to the assumed use, as the load may rise while a best-effort task runs
	ampleSpareShare      = 0.06  // share left unused on a worker with serving tasks by a job with ample slack
	minSpareShare        = -0.05 // the same for a job without slack; negative: overcommitted
	amplePredicted       = 2.3   // predicted headroom that a job with ample slack leaves, unless its loss is negligible
	minPredictedHeadroom = 1.6   // the same for a job without slack
	negligibleLoss       = 0.2   // headroom that all best-effort tasks of a worker may cost whatever the load
	minStartSpeed        = 0.4   // share of its full speed that a best-effort task must be expected to reach
)

// Weights of the terms of a worker's score for a best-effort task.
const (
	weightSpeed              = 3.0 // for the expected speed of the task, as a share of its full speed
	weightLoss               = 2.0 // penalty for the largest headroom loss that the task causes
	weightIdle               = 2.0 // for the share of processors that stays idle, up to ampleIdleShare; serving tasks suffer where none is left
	ampleIdleShare           = 0.5 // all the same from here on, and for a worker without serving tasks
	weightNoServing          = 2.0 // for a worker without serving tasks, times the task's incompatible share above typicalIncompatibleShare
	typicalIncompatibleShare = 0.3 // tasks below it are steered away from such workers, which others need more
)

// Times for placing best-effort tasks.
const (
	relaxPlacementAfter clock.Millis = 6000 // wait after which limits on headroom, spare share and speed no longer exclude workers; the best score decides
	tailWarmup          clock.Millis = 1200 // age of a long-running run from which its tail latency is meaningful
	predictionHorizon   clock.Millis = 1200 // headrooms are predicted so far ahead, about the length of a best-effort run
)

// bestEffortPlan is a worker's capacity for best-effort tasks. It is cached
// until a run is attached or detached, or the worker reports.
type bestEffortPlan struct {
	idleShare float64        // share of the worker's processors that is not used
	serving   []servingGroup // without tasks that are over their target by their own load
	shared    bool           // the worker has serving tasks, those included
}

// servingGroup sums up a worker's serving tasks of one job, which share their
// users and so their load. Serving tasks are long-running tasks with a latency
// target; those without one are treated like batch tasks here.
type servingGroup struct {
	image          string
	name           string  // id of the job
	headroom       float64 // as reported; until summarize is called, the sum of the tail ratios, which are its inverse
	headroomChange float64 // predicted change with the load of the users
	loss           float64 // headroom lost to all best-effort tasks on the worker
	unreportedLoss float64 // part of loss that the report does not cover yet
	taskCount      int
	warmedUp       bool     // all its tasks have run for tailWarmup, so the tail latency is meaningful
	inDoubt        bool     // a task was over its target by its own load, and has not been within it since; its headroom is no evidence of interference
	unknownImages  []string // best-effort images on the worker whose interference with this image is not known
}

// planBestEffort computes a worker's capacity for best-effort tasks.
func (o *Owner) planBestEffort(w *worker) bestEffortPlan {
	plan := bestEffortPlan{idleShare: 1}
	for _, r := range w.sortedRuns() {
		spec := r.task.spec()
		requested := cpuShare(spec.MilliCPU, w)
		switch {
		case spec.TargetMS > 0:
			plan.idleShare -= requested * o.servingCPUUse(r)
			plan.shared = true
			if !o.overByOwnLoad(r) {
				plan.addServing(r, o.tailRatio(r), o.now)
			}
		case spec.Fills:
			plan.idleShare -= requested * float64(r.pace) / fullPace
		default:
			plan.idleShare -= requested
		}
	}
	for i := range plan.serving {
		o.summarize(&plan.serving[i], w)
	}
	return plan
}

// addServing adds a long-running task to its group; headroom holds the sum of
// the tail ratios until the group is summarized.
func (p *bestEffortPlan) addServing(r *run, tailRatio float64, now clock.Millis) {
	name := groupOf(r)
	i := slices.IndexFunc(p.serving, func(group servingGroup) bool { return group.name == name })
	if i < 0 {
		p.serving = append(p.serving, servingGroup{image: r.task.spec().Image, name: name, warmedUp: true})
		i = len(p.serving) - 1
	}
	group := &p.serving[i]
	group.headroom += tailRatio
	group.taskCount++
	group.inDoubt = group.inDoubt || r.aloneAt != 0
	group.warmedUp = group.warmedUp && r.stage == stageConfirmed && now-r.startedAt > tailWarmup
}

// groupOf returns the group of long-running tasks that share a run's users:
// those of its job.
func groupOf(r *run) string { return string(r.task.job.spec.ID) }

// summarize turns a group's sum of tail ratios into a headroom, and adds the
// losses to the best-effort tasks on the worker.
func (o *Owner) summarize(group *servingGroup, w *worker) {
	meanRatio := group.headroom / float64(group.taskCount)
	group.headroom = min(1/max(meanRatio, 1/interference.MaxHeadroom), interference.MaxHeadroom)
	group.headroomChange = o.interference.Level(group.name, o.now+predictionHorizon) - o.interference.Level(group.name, w.lastReportAt)
	for r := range w.runs {
		spec := r.task.spec()
		if !spec.Fills {
			continue
		}
		pair := o.interference.Pair(group.image, spec.Image)
		if !pair.Known() {
			group.unknownImages = append(group.unknownImages, spec.Image)
		}
		if r.stage == stageStopping || r.stage == stageStopped {
			continue
		}
		loss := pair.Weight * cpuShare(spec.MilliCPU, w) * float64(r.pace) / fullPace
		group.loss += loss
		if r.reportedAt == 0 || r.reportedAt-r.startedAt < interference.TailWindow {
			group.unreportedLoss += loss
		}
	}
}

// headroomLoss is the headroom that a run at full pace costs long-running tasks
// of an image.
func (o *Owner) headroomLoss(serving string, r *run) float64 {
	return o.interference.Pair(serving, r.task.spec().Image).Weight * cpuShare(r.task.spec().MilliCPU, r.worker)
}

// servingCPUUse estimates the share of its requested processors that a
// long-running task uses. Its report has only the tail latency, so the load is
// derived from the headroom.
func (o *Owner) servingCPUUse(r *run) float64 {
	load := 1 - o.interference.Level(groupOf(r), o.now+predictionHorizon)/idleHeadroom
	return min(max(load, minServingUse), maxServingUse) + servingUseMargin
}

// bestEffortTask is a best-effort task with the estimates for its image.
type bestEffortTask struct {
	step              *stepState
	job               *jobState
	spareShare        float64 // share of a worker with serving tasks that must stay unused
	requiredHeadroom  float64 // predicted headroom that the serving tasks must keep
	incompatibleShare float64 // share of the images of long-running tasks that are incompatible with it
	pairs             []servingEstimate
}

// servingEstimate is the estimated interference with one image of long-running
// tasks.
type servingEstimate struct {
	serving  string
	estimate interference.Estimate
}

// pairEstimate returns the estimate for an image of long-running tasks. It is
// cached in a slice, as there are few such images; a lookup for each worker
// would take most of a placement pass.
func (o *Owner) pairEstimate(task *bestEffortTask, serving string) interference.Estimate {
	for i := range task.pairs {
		if task.pairs[i].serving == serving {
			return task.pairs[i].estimate
		}
	}
	estimate := o.interference.Pair(serving, task.step.spec.Image)
	task.pairs = append(task.pairs, servingEstimate{serving: serving, estimate: estimate})
	return estimate
}

// bestEffortTask returns the state for scoring workers for a best-effort task,
// or nil for other tasks. Its pairs are added on demand by pairEstimate.
func (o *Owner) bestEffortTask(task *taskState, step *stepState) *bestEffortTask {
	if !step.spec.Fills {
		return nil
	}
	urgency := o.urgency(task.job)
	return &bestEffortTask{
		step: step, job: task.job, incompatibleShare: o.interference.IncompatibleShare(step.spec.Image),
		spareShare:       ampleSpareShare + urgency*(minSpareShare-ampleSpareShare),
		requiredHeadroom: amplePredicted + urgency*(minPredictedHeadroom-amplePredicted),
	}
}

// scoreBestEffort rates a worker for a best-effort task. It is rejected where the
// task would interfere too much or run too slowly.
func (o *Owner) scoreBestEffort(task *bestEffortTask, w *worker) (score float64, rejected rejection) {
	plan := o.plan(w)
	step := task.step
	requested := cpuShare(step.spec.MilliCPU, w)
	relaxed := o.now-task.job.lastPlacementChangeAt > relaxPlacementAfter
	maxLoss := 0.0
	for i := range plan.serving {
		group := &plan.serving[i]
		pairEstimate := o.pairEstimate(task, group.image)
		if !pairEstimate.Known() && !relaxed && o.underTrial(group, step.spec.Image) {
			return 0, rejectedTrial
		}
		taskLoss := pairEstimate.Weight * requested
		// Below negligibleLoss the load of the users alone decides.
		significant := group.loss+taskLoss > negligibleLoss
		if significant && group.headroom+group.headroomChange-group.unreportedLoss-taskLoss < task.requiredHeadroom && !relaxed {
			if pairEstimate.Incompatible() {
				return 0, rejectedIncompatible
			}
			return 0, rejectedHeadroom
		}
		maxLoss = max(maxLoss, taskLoss)
	}
	if plan.shared && plan.idleShare-requested < task.spareShare && !relaxed {
		return 0, rejectedIdle
	}
	speed := min(max(plan.idleShare, 0)/max(requested, minRequestedShare), 1)
	if w.pace == 0 {
		return 0, rejectedPaused
	}
	if speed < minStartSpeed && !relaxed {
		return 0, rejectedIdle
	}
	score = weightSpeed*speed - weightLoss*maxLoss
	if plan.shared {
		score += weightIdle * min(plan.idleShare-requested, ampleIdleShare)
	} else {
		score += weightIdle*ampleIdleShare + weightNoServing*(task.incompatibleShare-typicalIncompatibleShare)
	}
	return score, notRejected
}

// minRequestedShare avoids a division by zero for steps that request no
// processors.
const minRequestedShare = 1e-6

// plan returns a worker's capacity for best-effort tasks, computing it if it is
// out of date.
func (o *Owner) plan(w *worker) bestEffortPlan {
	if !w.planValid {
		w.plan = o.planBestEffort(w)
		w.planValid = true
	}
	return w.plan
}

// tailRatio is the last reported tail latency of a long-running task divided by
// its target.
func (o *Owner) tailRatio(r *run) float64 {
	if r.reportedAt == 0 {
		return 1 / interference.InitialHeadroom
	}
	return float64(r.usage) / float64(max(r.task.spec().TargetMS, 1))
}
