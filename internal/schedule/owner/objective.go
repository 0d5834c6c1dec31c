package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// defaultTaskLength is assumed for a task whose duration is neither learned nor declared.
const defaultTaskLength clock.Millis = clock.Second

// expiryFactor is the multiple of its latency objective after which a job counts
// as expired: its caller is taken to have no use for it.
const expiryFactor = 3

// objective holds the deadlines of a job.
type objective struct {
	dueAt     clock.Millis // end of its latency objective
	expiresAt clock.Millis // expiryFactor times its latency objective after submission
}

// objective computes a job's deadlines from the terms of its queue and its
// critical path.
func (o *Owner) objective(j *jobState) objective {
	queue, _ := o.tables.Queue(j.spec.Queue)
	stretch := max(queue.ObjectiveFactor, 1)
	length := clock.Millis(stretch*float64(o.criticalPath(j))) + queue.ObjectiveAllowance
	return objective{dueAt: j.submittedAt + length, expiresAt: j.submittedAt + expiryFactor*length}
}

// completeObjectives computes the deadlines of jobs whose queue is new in the tables:
// those that were loaded at a takeover, before the tables, or whose queue was removed.
func (o *Owner) completeObjectives(before manifest.Manifest) {
	for _, j := range o.jobs {
		_, had := before.Queue(j.spec.Queue)
		if _, has := o.tables.Queue(j.spec.Queue); has && !had {
			j.deadlines = o.objective(j)
		}
	}
}

// ampleSlack is the slack from which a job is not urgent at all.
const ampleSlack clock.Millis = 2500

// urgency is 1 for a job that keeps its latency objective only if its tasks run
// without a further wait, falling to 0 with ampleSlack. It is also 0 for a job
// that is late already: little is lost by making it wait.
func (o *Owner) urgency(j *jobState) float64 {
	if o.now > j.deadlines.dueAt {
		return 0
	}
	slack := j.deadlines.dueAt - o.now - o.remainingPath(j)
	return 1 - min(max(float64(slack)/float64(ampleSlack), 0), 1)
}

// criticalPath is the expected duration of a job's longest chain of steps.
func (o *Owner) criticalPath(j *jobState) clock.Millis {
	return o.longestChain(j, func(step *stepState) int { return step.spec.Count })
}

// remainingPath is the expected duration of the longest chain of steps that are
// not done, each from its beginning.
func (o *Owner) remainingPath(j *jobState) clock.Millis {
	return o.longestChain(j, func(step *stepState) int { return step.unfinished })
}

// longestChain returns the expected duration of the longest chain of a job's steps. tasks
// is the number of tasks that count of a step; a step without any takes no time. A step
// with more tasks than the limit of the job's customer lets run at once runs in waves.
func (o *Owner) longestChain(j *jobState, tasks func(*stepState) int) clock.Millis {
	ends := make([]clock.Millis, len(j.steps))
	longest := clock.Millis(0)
	for i := range j.steps {
		step := &j.steps[i]
		for _, predecessor := range step.spec.After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		if count := tasks(step); count > 0 {
			ends[i] += o.taskLength(j, step) * waves(j, step, count)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// waves returns the number of successive groups in which a number of a step's tasks run
// within the limit of the job's customer. Long-running tasks all run at the same time.
func waves(j *jobState, step *stepState, tasks int) clock.Millis {
	if step.spec.Lasting {
		return 1
	}
	return clock.Millis(j.account.Waves(tasks, requestedRoom(step.spec)))
}
