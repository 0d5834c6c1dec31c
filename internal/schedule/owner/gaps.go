package owner

import (
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// isLarge reports whether the tasks of a step are large compared with the batch tasks that
// were submitted recently.
func (o *Owner) isLarge(step *stepState) bool { return o.sizes.IsLarge(o.size(step.spec)) }

// lossOfLargeRoom is the penalty for placing a batch task on a worker that could run large
// tasks, if large tasks are submitted regularly. Small tasks then go first to workers that
// large ones cannot use, and large tasks to the smallest worker that can run them.
func (o *Owner) lossOfLargeRoom(step *stepState, w *worker) float64 {
	if step.spec.Lasting {
		return 0
	}
	return weightLargeRoom * o.sizes.Fitting(w.freeWithoutBatch().MilliCPU)
}

// size returns the dominant share of a request as milli-CPU: memory and GPUs are converted
// by their proportion to the processors of all listed workers.
func (o *Owner) size(spec *job.Step) int64 {
	size := spec.MilliCPU
	if o.totalRoom.MemoryMB > 0 {
		size = max(size, spec.MemoryMB*o.totalRoom.MilliCPU/o.totalRoom.MemoryMB)
	}
	if o.totalRoom.GPUs > 0 {
		size = max(size, spec.GPUs*o.totalRoom.MilliCPU/o.totalRoom.GPUs)
	}
	return size
}

// countSizes adds the tasks of a submitted job to the mix of sizes.
func (o *Owner) countSizes(j *jobState) {
	for i := range j.spec.Steps {
		if spec := &j.spec.Steps[i]; !spec.Fills && !spec.Lasting {
			o.sizes.Add(o.now, o.size(spec), spec.Count)
		}
	}
}
