package cell

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// submit keeps a job unless its caller and key are known.
func (cell *State) submit(body Submit, event *Event) bool {
	event.ID = job.ID(cell.name, body.Spec.Caller, body.Spec.Key)
	known := cell.jobs[event.ID]
	event.Job = known
	if known != nil && !cell.rules.NoDedupe {
		return false
	}
	if known != nil { // broken on purpose by a test's rules
		event.ID = fmt.Sprintf("%s-%016x", cell.name, uint64(cell.applied))
	}
	if CheckSpec(body.Spec) != nil {
		return false
	}
	entry := &Job{ID: event.ID, Spec: body.Spec, Phase: job.Queued, Since: cell.now}
	cell.jobs[event.ID] = entry
	event.Job = entry
	return true
}

// cancel ends a queued job at once and marks any other for its owner.
func (cell *State) cancel(body Cancel, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if entry == nil || entry.over() || entry.Cancel {
		return false
	}
	entry.Cancel = true
	switch entry.Phase {
	case job.Queued:
		cell.close(entry, job.Cancelled, "cancelled by its caller")
	case job.Running:
		entry.Phase = job.Evicting
	}
	return true
}

// start commits a worker to the next attempt of a queued job, never beyond the
// worker's size.
func (cell *State) start(body Start, event *Event) bool {
	event.ID, event.VM = body.ID, body.VM
	entry := cell.jobs[body.ID]
	event.Job = entry
	if !cell.current(body.Epoch) || entry == nil || entry.Phase != job.Queued {
		return false
	}
	if body.Attempt != entry.Attempt+1 || body.VM == "" {
		return false
	}
	vm := cell.vms[body.VM]
	if vm != nil && vm.Dropped != 0 {
		return false
	}
	if !cell.fits(vm, body.Whole, entry.Spec.Size) {
		return false
	}
	entry.Phase = job.Running
	entry.Attempt = body.Attempt
	entry.VM, entry.Boot, entry.NotAfter = body.VM, body.Boot, body.NotAfter
	entry.Begun = cell.applied
	cell.occupy(entry)
	cell.count.Starts++
	return true
}

func (cell *State) fits(vm *VM, whole, size amount.Amount) bool {
	if vm != nil {
		size = size.Add(vm.Committed)
	}
	return whole.Fits(size) || cell.rules.NoRoom
}

func (cell *State) occupy(entry *Job) {
	vm := cell.vm(entry.VM)
	vm.Committed = vm.Committed.Add(entry.Spec.Size)
	vm.Jobs[entry.ID] = true
}

func (cell *State) vacate(entry *Job) {
	vm := cell.vms[entry.VM]
	vm.Committed = vm.Committed.Sub(entry.Spec.Size)
	delete(vm.Jobs, entry.ID)
	cell.tidy(entry.VM)
}

// end takes note that the newest attempt is over, and decides what the job
// does next.
func (cell *State) end(body End, event *Event) bool {
	event.ID, event.Phase = body.ID, body.Phase
	entry := cell.jobs[body.ID]
	event.Job = entry
	if entry == nil || !entry.Active() || body.Attempt != entry.Attempt {
		return false
	}
	event.VM = entry.VM
	switch body.Phase {
	case worker.Finished, worker.Failed, worker.Stopped, worker.Lapsed, worker.Tombstone:
	default:
		return false
	}
	cell.vacate(entry)
	cell.settle(entry, body)
	return true
}

func (cell *State) settle(entry *Job, body End) {
	evicting := entry.Phase == job.Evicting
	if body.Checkpoint != "" {
		entry.Resume = cut(body.Checkpoint, maxNameBytes)
	}
	entry.Phase = job.Queued
	entry.Reason = cut(body.Reason, maxReasonBytes)
	switch {
	case body.Phase == worker.Finished:
		cell.close(entry, job.Finished, "")
		return
	case body.Phase == worker.Failed:
		cell.fail(entry)
	case evicting && !entry.Cancel:
		entry.Evicted++
		cell.count.Evicted++
	}
	if entry.Cancel && !entry.over() {
		cell.close(entry, job.Cancelled, "cancelled by its caller")
	}
}

func (cell *State) fail(entry *Job) {
	cell.count.Failed++
	entry.Failures++
	entry.avoid(entry.VM)
	if entry.Failures < entry.maxAttempts() || entry.Cancel {
		return
	}
	cell.close(entry, job.Parked, fmt.Sprintf("failed %d times; last: %s", entry.Failures, entry.Reason))
}

func (cell *State) evict(body Evict, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if !cell.current(body.Epoch) || entry == nil || entry.Phase != job.Running || entry.Attempt != body.Attempt {
		return false
	}
	entry.Phase = job.Evicting
	entry.Reason = cut(body.Reason, maxReasonBytes)
	event.VM = entry.VM
	return true
}

func (cell *State) park(body Park, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if !cell.current(body.Epoch) || entry == nil || entry.Phase != job.Queued {
		return false
	}
	cell.close(entry, job.Parked, body.Reason)
	return true
}
