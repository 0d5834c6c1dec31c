package cell

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/batch/job"
)

// A job moves between cells in four records, of which the two that cross to
// the other stream may be appended any number of times:
//
//	home:  hand ───────────────> handed ────────────> result ──> queued or over
//	          └─ receipt ─┐                              ▲
//	other:                └─> queued … over ── result ───┘ then delivered

// hand lets another cell run a queued job.
func (cell *State) hand(body Hand, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if !cell.current(body.Epoch) || entry == nil || entry.Phase != job.Queued || entry.From != "" {
		return false
	}
	if body.Hand != entry.Hand+1 || body.To == "" || body.To == cell.name {
		return false
	}
	entry.Phase = job.Handed
	entry.Hand, entry.To = body.Hand, body.To
	return true
}

// ReceiptOf returns the record that brings a handed job to the other cell.
func ReceiptOf(home string, entry *Job) Receipt {
	return Receipt{
		From: home, ID: entry.ID, Hand: entry.Hand, Spec: entry.Spec, Attempt: entry.Attempt,
		Failures: entry.Failures, Evicted: entry.Evicted, Resume: entry.Resume, Avoid: entry.Avoid,
	}
}

// receipt takes a job in as a guest, once for each hand-over.
func (cell *State) receipt(body Receipt, event *Event) bool {
	event.ID = body.ID
	known := cell.jobs[body.ID]
	event.Job = known
	if known != nil && (known.Hand >= body.Hand || !known.over() || known.Result) {
		return false
	}
	if body.From == "" || body.From == cell.name || body.Hand <= 0 || CheckSpec(body.Spec) != nil {
		return false
	}
	if known != nil {
		cell.endCount-- // its place in the order of ends is stale now
	}
	entry := &Job{
		ID: body.ID, Spec: body.Spec, Phase: job.Queued, Since: cell.now,
		Attempt: body.Attempt, Failures: body.Failures, Evicted: body.Evicted,
		Resume: body.Resume, Avoid: slices.Clone(body.Avoid), Hand: body.Hand, From: body.From,
	}
	cell.jobs[body.ID] = entry
	event.Job = entry
	return true
}

func (cell *State) giveBack(body GiveBack, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if !cell.current(body.Epoch) || entry == nil || entry.From == "" {
		return false
	}
	if entry.Phase != job.Queued || entry.Hand != body.Hand {
		return false
	}
	cell.close(entry, job.Returned, body.Reason)
	return true
}

// ResultOf returns the record that tells a guest's home cell of its end.
func ResultOf(entry *Job) Result {
	return Result{
		ID: entry.ID, Hand: entry.Hand, Phase: entry.Phase, Attempt: entry.Attempt, Failures: entry.Failures,
		Evicted: entry.Evicted, Resume: entry.Resume, VM: entry.VM, Reason: entry.Reason, Avoid: entry.Avoid,
	}
}

// result takes back a handed job, ended or to be tried again.
func (cell *State) result(body Result, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if entry == nil || entry.Phase != job.Handed || entry.Hand != body.Hand {
		return false
	}
	if !body.Phase.Over() && body.Phase != job.Returned {
		return false
	}
	entry.Attempt, entry.Failures, entry.Evicted = body.Attempt, body.Failures, body.Evicted
	entry.Resume, entry.VM, entry.Avoid = body.Resume, body.VM, slices.Clone(body.Avoid)
	switch {
	case body.Phase != job.Returned:
		cell.close(entry, body.Phase, body.Reason)
	case entry.Cancel:
		cell.close(entry, job.Cancelled, "cancelled by its caller")
	default:
		entry.Phase = job.Queued
		entry.Reason = cut(body.Reason, maxReasonBytes)
	}
	return true
}

// delivered ends the cell's duty to a guest; it is remembered from now on.
func (cell *State) delivered(body Delivered, event *Event) bool {
	event.ID = body.ID
	entry := cell.jobs[body.ID]
	event.Job = entry
	if entry == nil || !entry.Result || entry.Hand != body.Hand {
		return false
	}
	entry.Result = false
	cell.remember(entry)
	return true
}
