package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// defaultTaskLength is assumed for a task without an estimate.
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

// criticalPath is the expected duration of a job's longest chain of steps.
func (o *Owner) criticalPath(j *jobState) clock.Millis {
	ends := make([]clock.Millis, len(j.spec.Steps))
	longest := clock.Millis(0)
	for i, step := range j.spec.Steps {
		start := clock.Millis(0)
		for _, predecessor := range step.After {
			start = max(start, ends[predecessor])
		}
		length := clock.Millis(step.EstimateMS)
		if length == 0 {
			length = defaultTaskLength
		}
		ends[i] = start + length
		longest = max(longest, ends[i])
	}
	return longest
}
