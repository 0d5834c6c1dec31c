package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// maxPicks bounds the starts and hand-overs of one tick.
	maxPicks = 50
	// maxPlans bounds records about queued jobs without an outcome, so that a
	// slow log does not tie up workers for long.
	maxPlans = 2000
	// planFresh is how old the configuration may be when a start is planned.
	planFresh clock.Millis = 2500
	// startFresh is how old the configuration may be when a worker obeys a
	// start order. It bounds starts in a failure domain that was taken out.
	startFresh clock.Millis = 3 * clock.Second
	// maxRoomTries bounds the workers that one urgent task tries to clear in a tick.
	maxRoomTries = 3
	// lookAgain is the age of a reading at which a planned start asks for a
	// newer one.
	lookAgain clock.Millis = 5 * clock.Second

	firstBackoff clock.Millis = clock.Second
	maxBackoff   clock.Millis = 2 * clock.Minute
)

// place starts or hands over what can be.
func (sched *scheduler) place(now clock.Millis) {
	if !sched.mayPlan(now) {
		return
	}
	try := func(item queue.Item) bool { return sched.start(item, now) }
	if sched.owner.plant.out {
		try = func(item queue.Item) bool { return sched.sendAway(item, now) }
	}
	for range maxPicks {
		if len(sched.plans) >= maxPlans {
			return
		}
		item, picked := sched.waiting.Pick(now, try)
		rejected := sched.settleRejected(now)
		if picked {
			delete(sched.queued, item.ID)
			continue
		}
		if !rejected {
			return
		}
	}
}

// mayPlan reports whether decisions about queued jobs rest on fresh knowledge.
func (sched *scheduler) mayPlan(now clock.Millis) bool {
	if sched.owner.state.Terms().Lease == 0 || len(sched.owner.world.VMs) == 0 {
		return false
	}
	if sched.owner.view.broken || now-sched.owner.view.atEnd > viewGap {
		return false
	}
	return sched.owner.broken.noFreshness || now-sched.owner.world.ConfigReadAt <= planFresh
}

// start plans the next attempt of a job on a worker with room.
func (sched *scheduler) start(item queue.Item, now clock.Millis) bool {
	entry, known := sched.owner.state.Job(item.ID)
	if !known {
		return false
	}
	need := placement.Need{
		Size: entry.Spec.Size, Pools: entry.Spec.Pools, Class: entry.Spec.Class, Kind: entry.Spec.Kind,
		Avoid: entry.Avoid, Job: entry.ID, Overdue: item.Overdue,
	}
	vm, refusal := sched.index.Place(need)
	if vm == "" {
		sched.refused(entry, refusal, now)
		if need.Class == route.Urgent && refusal.Kind == placement.NoRoom {
			sched.makeRoom(need, now)
		}
		return false
	}
	reading := sched.owner.readings[vm]
	if !reading.Known() {
		return false
	}
	next := plan{kind: cell.KindStart, attempt: entry.Attempt + 1, vm: vm}
	sched.record(entry, next, cell.Encode(cell.Start{
		Epoch: sched.owner.ownEpoch, ID: entry.ID, Attempt: next.attempt, VM: vm, Boot: reading.Boot,
		NotAfter: reading.Until(now, lease.StartAllowance), Whole: sched.placed[vm].Size,
	}))
	sched.commit(entry.ID, sched.wanted(entry, next))
	sched.estimator.Started(now, vm, entry.Spec.Kind, entry.Spec.Size)
	sched.probed(vm)
	if now-reading.Received > lookAgain {
		sched.owner.look(vm)
	}
	if sched.owner.broken.noReadBack {
		sched.orderUnread(entry, next, now)
	}
	return true
}

// makeRoom evicts batch tasks for an urgent one that found no room. The worker is
// held for it meanwhile; its next tries find the room when the tasks have ended.
func (sched *scheduler) makeRoom(need placement.Need, now clock.Millis) {
	for range maxRoomTries {
		name, lacking := sched.index.Preempt(need)
		vm := sched.owner.plant.machines[name]
		if name == "" {
			return
		}
		kept := sched.owner.state.VM(name)
		if kept != nil && vm.pool.AllowEvict {
			actions, enough := sched.estimator.MakeRoom(now, name, lacking, sched.neighbours(kept, now))
			for _, action := range actions {
				sched.act(action, "an urgent task needs its room")
			}
			if enough {
				return
			}
		}
		sched.index.Unhold(need.Job)
	}
}

// record adds a record about a queued job and keeps it as a plan until it is
// read back.
func (sched *scheduler) record(entry *cell.Job, next plan, record []byte) {
	id := entry.ID
	sched.serial++
	next.serial = sched.serial
	sched.plans[id] = next
	owner := sched.owner
	owner.add(record, func(_ stream.Offset, err error) {
		if err == nil || owner.sched != sched || sched.plans[id] != next {
			return
		}
		delete(sched.plans, id)
		sched.sync(id, owner.now())
	})
}

// refused decides about a job that no worker here can take now.
func (sched *scheduler) refused(entry *cell.Job, refusal placement.Refusal, now clock.Millis) {
	never := refusal.Kind == placement.NeverFits || !sched.serves(entry.Spec.Pools)
	if never || now-sched.queued[entry.ID] >= patience(entry) {
		sched.reject = append(sched.reject, rejected{id: entry.ID, reason: refusal.Reason, never: never})
	}
}

// patience returns how long a job waits for room before another cell may try.
func patience(entry *cell.Job) clock.Millis {
	first := patienceBatch
	if entry.Spec.Class == route.Urgent {
		first = patienceUrgent
	}
	return first << min(entry.Hand, maxPatienceSteps)
}

// backoff returns the wait before the attempt that follows a number of failures.
func backoff(failures int) clock.Millis {
	return min(maxBackoff, firstBackoff<<min(max(failures-1, 0), 16))
}

// attemptEnded follows the end of an attempt.
func (sched *scheduler) attemptEnded(event cell.Event, now clock.Millis) {
	delete(sched.tasks, event.ID)
	delete(sched.throttle, event.ID)
	sched.orders.Remove(event.ID)
	sched.judge(event, now)
	if wait := sched.waitAfter(event); wait > 0 {
		sched.delayed.Set(event.ID, now+wait)
	}
}
