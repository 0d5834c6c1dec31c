package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// maxOrders bounds the orders of one tick, so that a wave of cancellations
	// takes a bounded time of each.
	maxOrders = 50
	// orderAgain is the wait before an order without effect is sent again; it
	// doubles up to maxOrderAgain.
	orderAgain    clock.Millis = 300
	maxOrderAgain clock.Millis = 5 * clock.Second
	// cool is how long a worker that refused a start gets no other.
	cool clock.Millis = 5 * clock.Second
)

// task is how far the orders for one active attempt are.
type task struct {
	attempt   int
	own       bool // recorded by this scheduler, which alone may order its start
	confirmed bool // the worker said that it runs
	waiting   bool // an order has no answer yet
	sent      int  // start orders
	refused   bool // some start order was refused
	abandoned bool // no start order was sent, and none will be
	tries     int  // stop orders
	reason    string
	since     clock.Millis // when the attempt was first seen here
}

// track keeps the orders of a job's active attempt going.
func (sched *scheduler) track(entry *cell.Job, now clock.Millis) {
	if !entry.Active() {
		delete(sched.tasks, entry.ID)
		sched.orders.Remove(entry.ID)
		return
	}
	at := sched.tasks[entry.ID]
	if at == nil || at.attempt != entry.Attempt {
		at = &task{attempt: entry.Attempt, since: now}
		sched.tasks[entry.ID] = at
	}
	if !at.waiting && (entry.Phase == job.Evicting || !at.confirmed) {
		sched.orders.SetIfAbsent(entry.ID, now)
	}
}

// sendOrders sends the orders that are due.
func (sched *scheduler) sendOrders(now clock.Millis) {
	for range maxOrders {
		id, due := sched.orders.Pop(now)
		if !due {
			return
		}
		entry, known := sched.owner.state.Job(id)
		at := sched.tasks[id]
		if !known || at == nil || at.waiting || !entry.Active() || at.attempt != entry.Attempt {
			continue
		}
		sched.order(entry, at, now)
	}
}

func (sched *scheduler) order(entry *cell.Job, at *task, now clock.Millis) {
	switch {
	case at.own && at.sent == 0 && (at.abandoned || entry.Phase == job.Evicting || sched.hopeless(entry, now)):
		// Only this scheduler could have sent a start, and it never will.
		at.abandoned = true
		sched.owner.ended(entry, worker.Tombstone, "", "it was not started in time")
		sched.orders.Set(entry.ID, now+factAgain)
	case entry.Phase == job.Evicting || at.refused:
		sched.stop(entry, at, now)
	case at.confirmed:
	case at.own && sched.hopeless(entry, now):
		sched.owner.look(entry.VM)
		sched.orders.Set(entry.ID, now+clock.Second)
	case at.own && sched.fresh(now):
		sched.sendStart(entry, at, now)
	case at.own && at.sent == 0:
		sched.orders.Set(entry.ID, now+orderAgain)
	default:
		sched.owner.look(entry.VM)
		sched.orders.Set(entry.ID, now+clock.Second)
	}
}

// hopeless reports whether no start order for an attempt can be right any more.
func (sched *scheduler) hopeless(entry *cell.Job, now clock.Millis) bool {
	reading := sched.owner.readings[entry.VM]
	vm, known := sched.owner.plant.machines[entry.VM]
	return !known || vm.stopped || reading.Boot != entry.Boot || reading.At(now) > entry.NotAfter
}

// fresh reports whether the configuration is new enough to start anything.
func (sched *scheduler) fresh(now clock.Millis) bool {
	if sched.owner.broken.noFreshness {
		return true
	}
	if now-sched.owner.world.ConfigReadAt > planFresh {
		sched.owner.count.StartsStale++
		return false
	}
	return true
}

func (sched *scheduler) sendStart(entry *cell.Job, at *task, now clock.Millis) {
	sched.owner.count.Starts++
	at.sent++
	at.waiting = true
	id := entry.ID
	order := sched.startOrder(entry, now)
	sched.owner.options.Agent.Start(sched.owner.plant.machines[entry.VM].Agent, order, func(told worker.Task, err error) {
		sched.started(id, at, told, err)
	})
}

// startOrder carries times by the worker's clock: the lease, and an end that
// keeps the order from being obeyed after the configuration it rests on is old.
func (sched *scheduler) startOrder(entry *cell.Job, now clock.Millis) worker.StartOrder {
	owner := sched.owner
	reading := owner.readings[entry.VM]
	left := owner.world.ConfigReadAt + startFresh - now
	if owner.broken.noFreshness {
		left = startFresh
	}
	return worker.StartOrder{
		Job: entry.ID, Attempt: entry.Attempt, Cell: owner.options.Cell, Epoch: owner.ownEpoch,
		Boot: entry.Boot, NotAfter: min(entry.NotAfter, reading.Until(now, left)),
		LeaseUntil: reading.Until(now, owner.state.Terms().Lease),
		Size:       entry.Spec.Size, Kind: entry.Spec.Kind, Payload: entry.Spec.Payload, Resume: entry.Resume,
	}
}

func (sched *scheduler) started(id string, at *task, told worker.Task, err error) {
	now := sched.owner.now()
	entry, current := sched.answer(id, at)
	if !current {
		return
	}
	switch {
	case err == nil && told.Phase.Over():
		sched.owner.ended(entry, told.Phase, told.Checkpoint, told.Reason)
	case err == nil:
		sched.confirm(told)
	case fault.OutcomeOf(err) == fault.NotRun:
		at.refused, at.reason = true, err.Error()
		sched.orders.Set(id, now)
	default:
		sched.orders.Set(id, now+min(maxOrderAgain, orderAgain<<min(at.sent, 8)))
	}
}

// answer takes an order's answer for what is still the active attempt.
func (sched *scheduler) answer(id string, at *task) (*cell.Job, bool) {
	at.waiting = false
	entry, known := sched.owner.state.Job(id)
	current := known && sched.owner.sched == sched && sched.tasks[id] == at && entry.Active()
	return entry, current
}

// confirm takes note that a worker runs an attempt.
func (sched *scheduler) confirm(told worker.Task) {
	at := sched.tasks[told.Job]
	if at == nil || at.attempt != told.Attempt || told.Phase.Over() {
		return
	}
	at.confirmed = true
	at.refused = false
	if entry, known := sched.owner.state.Job(told.Job); known && entry.Phase != job.Evicting {
		sched.orders.Remove(told.Job)
	}
}

// stop ends an attempt: to cancel or move it, or to make sure that a start that
// was refused once is never obeyed.
func (sched *scheduler) stop(entry *cell.Job, at *task, now clock.Millis) {
	vm, known := sched.owner.plant.machines[entry.VM]
	wait := min(maxOrderAgain, orderAgain<<min(at.tries, 8))
	if !known {
		sched.orders.Set(entry.ID, now+wait)
		return
	}
	sched.owner.count.Stops++
	at.tries++
	at.waiting = true
	id := entry.ID
	order := worker.StopOrder{
		Job: id, Attempt: entry.Attempt, Cell: sched.owner.options.Cell,
		Checkpoint: entry.Phase == job.Evicting && !entry.Cancel,
	}
	sched.owner.options.Agent.Stop(vm.Agent, order, func(told worker.Task, err error) {
		sched.stopped(id, at, told, err, wait)
	})
}

func (sched *scheduler) stopped(id string, at *task, told worker.Task, err error, wait clock.Millis) {
	entry, current := sched.answer(id, at)
	if !current {
		return
	}
	if err == nil && told.Phase.Over() {
		reason := told.Reason
		if at.refused {
			reason = at.reason
		}
		sched.owner.ended(entry, told.Phase, told.Checkpoint, reason)
		return
	}
	sched.orders.Set(id, sched.owner.now()+wait)
}

// waitAfter returns how long a job waits after the end of an attempt.
func (sched *scheduler) waitAfter(event cell.Event) clock.Millis {
	if event.Job.Phase != job.Queued {
		return 0
	}
	if event.Phase == worker.Failed {
		return backoff(event.Job.Failures)
	}
	if event.Phase == worker.Tombstone {
		return firstBackoff
	}
	return 0
}

// orderUnread sends a start before its record was read back. Only tests that
// show why this is wrong switch it on.
func (sched *scheduler) orderUnread(entry *cell.Job, next plan, now clock.Millis) {
	early := *entry
	early.Attempt, early.VM = next.attempt, next.vm
	reading := sched.owner.readings[next.vm]
	early.Boot, early.NotAfter = reading.Boot, reading.Until(now, startFresh)
	vm := sched.owner.plant.machines[next.vm]
	sched.owner.options.Agent.Start(vm.Agent, sched.startOrder(&early, now), func(worker.Task, error) {})
}
