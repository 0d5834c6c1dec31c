package owner

import (
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// isLarge reports whether the tasks of a step are large beside what arrives.
func (o *Owner) isLarge(step *stepState) bool { return o.sizes.IsLarge(o.size(step.spec)) }

// lossOfLargeRoom is the penalty for batch tasks on a worker that could run large
// ones if they come regularly: others go to workers of less use to those first,
// and large ones to the least worker that suffices.
func (o *Owner) lossOfLargeRoom(step *stepState, w *worker) float64 {
	if step.spec.Lasting {
		return 0
	}
	return weightLargeRoom * o.sizes.Fitting(w.freeWithoutBatch().MilliCPU)
}

// size is the dominant share of a request, as milli-CPU of a worker with the
// mean proportions.
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
