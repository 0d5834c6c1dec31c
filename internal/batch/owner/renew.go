package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// othersEvery is how often a worker that another entry renews is checked
	// for having become one's own.
	othersEvery clock.Millis = clock.Second
	// silentAfter is how long a worker is out of reach before that is recorded,
	// and before the owner drops it.
	silentAfter clock.Millis = 10 * clock.Second
	// silentEvery is the time between two such records of one worker.
	silentEvery clock.Millis = 10 * clock.Second
	// answerWait is how long an answer is waited for, should the agent's client
	// never report a fault.
	answerWait clock.Millis = 10 * clock.Second
	// maxRenewals bounds one tick.
	maxRenewals = 200
)

// check is how well this entry reaches a worker.
type check struct {
	failing clock.Millis // since when no answer came; 0 when the last one did
	told    clock.Millis // when that was last recorded
	asked   clock.Millis // when the Look or Renew without an answer was sent; 0 when none is
}

// asking reports whether an answer is still to be expected.
func (at *check) asking(now clock.Millis) bool { return at.asked != 0 && now-at.asked < answerWait }

func (owner *Owner) check(vm string) *check {
	at := owner.checks[vm]
	if at == nil {
		at = &check{}
		owner.checks[vm] = at
	}
	return at
}

// renew extends the leases on this entry's share of the workers.
func (owner *Owner) renew(now clock.Millis) {
	for range maxRenewals {
		name, due := owner.renewals.Pop(now)
		if !due {
			return
		}
		if next := owner.renewOne(name, now); next > 0 {
			owner.renewals.SetIfAbsent(name, next)
		}
	}
}

// renewOne returns when to come back to the worker; 0 when an answer decides,
// or when it runs nothing.
func (owner *Owner) renewOne(name string, now clock.Millis) clock.Millis {
	vm := owner.state.VM(name)
	if vm == nil || len(vm.Jobs) == 0 {
		return 0
	}
	if !owner.renews(name, now) || owner.check(name).asking(now) {
		return now + othersEvery
	}
	terms := owner.state.Terms()
	reading := owner.readings[name]
	if vm.Dropped != 0 || !reading.Known() {
		owner.look(name)
		return now + lease.Interval(max(terms.Lease, clock.Second))
	}
	if !owner.signs.May(now, terms.Hold) {
		owner.count.RenewalsHeld++
		return now + othersEvery
	}
	order := worker.RenewOrder{Cell: owner.options.Cell, Boot: reading.Boot, LeaseUntil: reading.Until(now, terms.Lease)}
	owner.sendRenewal(name, order, lease.Interval(terms.Lease))
	return now + lease.Interval(terms.Lease)
}

func (owner *Owner) sendRenewal(name string, order worker.RenewOrder, interval clock.Millis) {
	address, known := owner.address(name)
	if !known {
		return
	}
	owner.count.Renewals++
	asked := owner.ask(name)
	owner.options.Agent.Renew(address, order, func(report worker.Report, err error) {
		if err != nil {
			owner.count.RenewalsLost++
			owner.renewals.Set(name, owner.now()+min(lease.RetryAfter, interval))
		}
		owner.answered(name, asked, report, err)
	})
}

// renews reports whether the worker is in this entry's share. An owner from
// another failure domain renews while no entry of the cell's own writes.
func (owner *Owner) renews(vm string, now clock.Millis) bool {
	if owner.options.Domain == owner.domain {
		return owner.share.Of(vm) == owner.options.Entry
	}
	seen, name := owner.peers.Seen(owner.domain)
	return owner.Owns() && (name == "" || now-seen > 2*presenceEvery)
}

// look asks a worker for its report.
func (owner *Owner) look(name string) {
	at := owner.check(name)
	address, known := owner.address(name)
	if at.asking(owner.now()) || !known {
		return
	}
	asked := owner.ask(name)
	owner.count.Looks++
	owner.options.Agent.Look(address, func(report worker.Report, err error) {
		if err == nil && !owner.readings[name].Known() {
			owner.renewals.Set(name, owner.now())
		}
		owner.answered(name, asked, report, err)
	})
}

// asked is what was known when a worker was asked for its report. The report
// is newer than that, however late it arrives.
type asked struct {
	at      clock.Millis
	applied stream.Offset
}

func (owner *Owner) ask(name string) asked {
	owner.check(name).asked = owner.now()
	return asked{at: owner.now(), applied: owner.state.Applied()}
}

func (owner *Owner) address(name string) (string, bool) {
	vm, known := owner.plant.machines[name]
	return vm.Agent, known && vm.Agent != ""
}

// answered takes in the answer to a Look or Renew.
func (owner *Owner) answered(name string, asked asked, report worker.Report, err error) {
	now := owner.now()
	at := owner.check(name)
	at.asked = 0
	if err != nil {
		owner.unreached(name, at, now)
		return
	}
	at.failing = 0
	if asked.at >= owner.readings[name].Received {
		owner.readings[name] = lease.Reading{Boot: report.Boot, Now: report.Now, Received: now}
	}
	if owner.state.Untrusted() == "" {
		owner.reported(name, asked, report)
	}
	if owner.sched != nil {
		owner.sched.reached(name, report, now)
	}
}

func (owner *Owner) unreached(name string, at *check, now clock.Millis) {
	if at.failing == 0 {
		at.failing = now
	}
	if now-at.failing < silentAfter || now-at.told < silentEvery {
		return
	}
	at.told = now
	owner.add(cell.Encode(cell.Silent{VM: name, Entry: owner.options.Entry}), nil)
}

// reported turns what a worker says into records of what is over. Whoever
// learned a fact writes it; the second record of one is void.
func (owner *Owner) reported(name string, asked asked, report worker.Report) {
	listed := make(map[string]worker.Task, len(report.Tasks))
	for _, task := range report.Tasks {
		if task.Cell != owner.options.Cell {
			continue
		}
		if last, twice := listed[task.Job]; !twice || task.Attempt > last.Attempt {
			listed[task.Job] = task
		}
		owner.settleOld(name, report, task)
	}
	vm := owner.state.VM(name)
	if vm == nil {
		return
	}
	for _, id := range sortedKeys(vm.Jobs) {
		entry, _ := owner.state.Job(id)
		task, found := listed[id]
		if entry.Begun > asked.applied {
			continue // the report may be older than the start
		}
		owner.compare(entry, report, task, found && task.Attempt == entry.Attempt)
	}
}

// compare settles one attempt that the state holds for active.
func (owner *Owner) compare(entry *cell.Job, report worker.Report, task worker.Task, found bool) {
	switch {
	case found && task.Phase.Over():
		owner.ended(entry, task.Phase, task.Checkpoint, task.Reason)
	case found:
		if task.Checkpoint != "" {
			owner.saved[entry.ID] = task.Checkpoint
		}
	case report.Boot != entry.Boot:
		owner.ended(entry, worker.Lapsed, owner.saved[entry.ID], "its worker restarted")
	case report.Now > entry.NotAfter:
		owner.ended(entry, worker.Tombstone, "", "it was not started in time")
	}
}

// ended records that the newest attempt of a job is over, once.
func (owner *Owner) ended(entry *cell.Job, phase worker.Phase, checkpoint, reason string) {
	record := cell.End{ID: entry.ID, Attempt: entry.Attempt, Phase: phase, Checkpoint: checkpoint, Reason: reason}
	owner.once(entry, cell.Encode(record))
}

// overdue is an over attempt that its worker still keeps.
type overdue struct {
	attempt int
	seen    worker.Time
}

// settleOld stops what should not run any more and lets the worker forget what
// is in the stream. A tombstone must outlive every order that it answers.
func (owner *Owner) settleOld(name string, report worker.Report, task worker.Task) {
	entry, known := owner.state.Job(task.Job)
	if !known || entry.Attempt < task.Attempt || entry.Attempt == task.Attempt && entry.Active() {
		return // this entry may not have read the newest records
	}
	if !task.Phase.Over() {
		owner.stopOld(name, task)
		return
	}
	owner.forget(name, report.Now, task)
}

// stopOld ends an attempt that the stream holds for over.
func (owner *Owner) stopOld(name string, task worker.Task) {
	address, reachable := owner.address(name)
	if !reachable {
		return
	}
	owner.count.Stops++
	order := worker.StopOrder{Job: task.Job, Attempt: task.Attempt, Cell: owner.options.Cell}
	owner.options.Agent.Stop(address, order, func(worker.Task, error) {})
}

func (owner *Owner) forget(name string, now worker.Time, task worker.Task) {
	kept := owner.forgets[name]
	if kept == nil {
		kept = map[string]overdue{}
		owner.forgets[name] = kept
	}
	first, known := kept[task.Job]
	if !known || first.attempt != task.Attempt || now < first.seen {
		kept[task.Job] = overdue{attempt: task.Attempt, seen: now}
		return
	}
	if now-first.seen <= worker.Time(lease.Slack(lease.StartAllowance)) {
		return
	}
	delete(kept, task.Job)
	if len(kept) == 0 {
		delete(owner.forgets, name)
	}
	address, reachable := owner.address(name)
	if !reachable {
		return
	}
	order := worker.ForgetOrder{Cell: owner.options.Cell, Jobs: []worker.Task{{Job: task.Job, Attempt: task.Attempt}}}
	owner.options.Agent.Forget(address, order, func(error) {})
}

// dropped follows the record that ends a worker's renewals, and shows at once
// that this entry has read it.
func (owner *Owner) dropped(event cell.Event, now clock.Millis) {
	if !event.Valid {
		return
	}
	owner.peers.Drop(event.VM, event.Offset, now)
	owner.nextSign = now
}

func (owner *Owner) readmitted(event cell.Event) {
	if event.Valid {
		owner.peers.Readmit(event.VM)
	}
}
