package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// defaultTask is taken as a task's length where nothing is known of it.
const defaultTask clock.Millis = clock.Second

// lateFactor: a job that takes longer than this many times its objective is of
// no use to its caller any more.
const lateFactor = 3

// objective is when a job should be completed.
type objective struct {
	onTime clock.Millis // its latency objective ends then
	late   clock.Millis // it is of no use any more then
}

// objective computes a job's times from its queue's terms and its longest chain
// of tasks.
func (o *Owner) objective(j *jobState) objective {
	queue, _ := o.tables.Queue(j.spec.Queue)
	stretch := max(queue.Stretch, 1)
	length := clock.Millis(stretch*float64(o.chain(j))) + queue.Allowance
	return objective{onTime: j.takenAt + length, late: j.takenAt + lateFactor*length}
}

// chain is the expected length of a job's longest chain of steps.
func (o *Owner) chain(j *jobState) clock.Millis {
	ends := make([]clock.Millis, len(j.spec.Steps))
	longest := clock.Millis(0)
	for i, step := range j.spec.Steps {
		begin := clock.Millis(0)
		for _, before := range step.After {
			begin = max(begin, ends[before])
		}
		length := clock.Millis(step.EstimateMS)
		if length == 0 {
			length = defaultTask
		}
		ends[i] = begin + length
		longest = max(longest, ends[i])
	}
	return longest
}
