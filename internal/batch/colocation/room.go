package colocation

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

const (
	// Tasks that make way for one urgent task.
	maxVictims = 8
	// Tasks of a cell that make way in one lag, as a part of its VMs, and a
	// bound for small cells.
	roomPart = 0.25
	minRoom  = 8
)

// MakeRoom returns the evictions of batch tasks that free what an urgent task
// lacks on a VM, those that lose least work for the room they free. There are
// none if the tasks already stopping free enough, or if the cell has evicted
// too many for room within the last lag. It reports false if batch tasks cannot
// free enough, so that another VM should be tried.
func (e *Estimator) MakeRoom(now clock.Millis, vm string, lacking amount.Amount, tasks []Task) ([]Action, bool) {
	for _, task := range tasks {
		if task.Stopping {
			lacking = lacking.Sub(task.Size)
		}
	}
	victims, enough := chooseVictims(lacking, tasks)
	if !enough || !e.mayMakeRoom(now, len(victims)) {
		return nil, enough
	}
	actions := make([]Action, 0, len(victims))
	for _, task := range victims {
		e.roomMade = append(e.roomMade, now)
		actions = append(actions, Action{Do: Evict, VM: vm, Job: task.Job, Attempt: task.Attempt})
	}
	return actions, true
}

// chooseVictims takes the task with the most needed room per lost work until
// enough is free, then spares those that turned out not to be needed.
func chooseVictims(lacking amount.Amount, tasks []Task) ([]Task, bool) {
	var victims []Task
	left := slices.DeleteFunc(slices.Clone(tasks), func(task Task) bool { return task.Urgent || task.Stopping })
	for short(lacking) {
		best, top := -1, 0.0
		for at, task := range left {
			if merit := covers(task.Size, lacking) / float64(task.Lost+evictCost); merit > top {
				best, top = at, merit
			}
		}
		if best < 0 || len(victims) == maxVictims {
			return nil, false
		}
		victims = append(victims, left[best])
		lacking = lacking.Sub(left[best].Size)
		left = slices.Delete(left, best, best+1)
	}
	return spare(victims, amount.Amount{}.Sub(lacking)), true
}

// short reports whether any dimension is still lacking.
func short(lacking amount.Amount) bool {
	return lacking.MilliCores > 0 || lacking.MemoryMB > 0 || lacking.Accelerators > 0
}

// covers returns how much of what is lacking a size frees, as a sum of parts.
func covers(size, lacking amount.Amount) float64 {
	return part(size.MilliCores, lacking.MilliCores) +
		part(size.MemoryMB, lacking.MemoryMB) +
		part(size.Accelerators, lacking.Accelerators)
}

func part(size, lacking int64) float64 {
	if lacking <= 0 {
		return 0
	}
	return float64(min(size, lacking)) / float64(lacking)
}

// spare drops the victims, first chosen first, that the excess allows to keep.
func spare(victims []Task, excess amount.Amount) []Task {
	return slices.DeleteFunc(victims, func(task Task) bool {
		if !excess.Fits(task.Size) {
			return false
		}
		excess = excess.Sub(task.Size)
		return true
	})
}

// mayMakeRoom bounds the evictions for room in one lag.
func (e *Estimator) mayMakeRoom(now clock.Millis, more int) bool {
	e.roomMade = slices.DeleteFunc(e.roomMade, func(at clock.Millis) bool { return now-at >= e.options.Lag })
	return float64(len(e.roomMade)+more) <= max(roomPart*float64(len(e.vms)), minRoom)
}
