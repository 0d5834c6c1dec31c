package owner

import (
	"time"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// defaultMoves is the pace of evacuation where no pool gives one.
	defaultMoves = 20.0
	// surveyEvery is how often the tasks that have to move are looked up anew.
	surveyEvery clock.Millis = 5 * clock.Second
)

// evict records that a running attempt is to be checkpointed and moved. The
// stop order follows when the record is read back.
func (sched *scheduler) evict(entry *cell.Job, reason string) {
	owner := sched.owner
	owner.count.Evictions++
	record := cell.Evict{Epoch: owner.ownEpoch, ID: entry.ID, Attempt: entry.Attempt, Reason: reason}
	owner.once(entry, cell.Encode(record))
}

// evacuate moves tasks off workers that are out or leaving, urgent ones first,
// at the pace that the pools allow.
func (sched *scheduler) evacuate(now clock.Millis) {
	if now-sched.surveyed >= surveyEvery || sched.surveyed == 0 {
		sched.surveyed = now
		sched.leavers = sched.findLeavers()
	}
	for len(sched.leavers) > 0 && sched.pace.AllowN(time.UnixMilli(int64(now)), 1) {
		id := sched.leavers[0]
		sched.leavers = sched.leavers[1:]
		entry, known := sched.owner.state.Job(id)
		if known && entry.Phase == job.Running {
			sched.evict(entry, "its worker leaves service")
		}
	}
}

func (sched *scheduler) findLeavers() []string {
	var urgent, batch []string
	for _, name := range sched.owner.plant.names {
		vm := sched.owner.state.VM(name)
		if vm == nil || !sched.owner.plant.machines[name].stopped || vm.Dropped != 0 {
			continue
		}
		for _, id := range sortedKeys(vm.Jobs) {
			entry, _ := sched.owner.state.Job(id)
			switch {
			case entry.Phase != job.Running:
			case entry.Spec.Class == route.Urgent:
				urgent = append(urgent, id)
			default:
				batch = append(batch, id)
			}
		}
	}
	return append(urgent, batch...)
}

// observe takes in lagging measurements.
func (sched *scheduler) observe(now clock.Millis, reports []worker.Usage) {
	var known []worker.Usage
	for _, usage := range reports {
		if _, placed := sched.placed[usage.VM]; placed {
			known = append(known, usage)
			sched.charge(usage)
		}
	}
	sched.estimator.Observe(now, known)
	sched.informed = sched.informed || len(known) > 0
}

// charge commits the larger of declared and observed use, as far as the worker
// has it.
func (sched *scheduler) charge(usage worker.Usage) {
	for _, used := range usage.TaskUsage {
		entry, known := sched.owner.state.Job(used.Job)
		if !known || !entry.Active() || entry.Attempt != used.Attempt || entry.VM != usage.VM {
			continue
		}
		old := sched.commits[entry.ID]
		free := sched.placed[usage.VM].Size.Sub(sched.taken[usage.VM]).Add(old.size.Sub(entry.Spec.Size))
		next := old
		next.size = placement.Charge(entry.Spec.Size, used.Used, free.Max(amount.Amount{}))
		sched.commit(entry.ID, next)
	}
}

// relieve acts on breaches of services' targets by the tasks beside them.
func (sched *scheduler) relieve(now clock.Millis) {
	if !sched.informed {
		return
	}
	sched.informed = false
	for _, name := range sched.owner.plant.names {
		vm := sched.owner.plant.machines[name]
		kept := sched.owner.state.VM(name)
		if kept == nil || vm.stopped || !vm.pool.AllowThrottle && !vm.pool.AllowEvict {
			continue
		}
		permits := colocation.Permits{Throttle: vm.pool.AllowThrottle, Evict: vm.pool.AllowEvict}
		for _, action := range sched.estimator.Decide(now, name, permits, sched.neighbours(kept, now)) {
			sched.act(action, "it slows the services beside it")
		}
	}
}

// neighbours returns the tasks of a worker as the policy sees them.
func (sched *scheduler) neighbours(vm *cell.VM, now clock.Millis) []colocation.Task {
	var tasks []colocation.Task
	for _, id := range sortedKeys(vm.Jobs) {
		entry, _ := sched.owner.state.Job(id)
		known := sched.tasks[id]
		if known == nil || entry.Phase != job.Running && entry.Phase != job.Evicting {
			continue
		}
		tasks = append(tasks, colocation.Task{
			Job: id, Attempt: entry.Attempt, Kind: entry.Spec.Kind, Size: sched.commits[id].size,
			Urgent: entry.Spec.Class == route.Urgent, Throttled: sched.throttle[id],
			Stopping: entry.Phase == job.Evicting || sched.owner.underWay(entry, cell.KindEvict),
			Since:    known.since, Lost: now - known.since,
		})
	}
	return tasks
}

func (sched *scheduler) act(action colocation.Action, reason string) {
	entry, known := sched.owner.state.Job(action.Job)
	if !known || entry.Phase != job.Running {
		return
	}
	if action.Do == colocation.Evict {
		sched.evict(entry, reason)
		return
	}
	slow := action.Do == colocation.Throttle
	id := action.Job
	sched.owner.count.Throttles++
	order := worker.ThrottleOrder{Job: id, Attempt: action.Attempt, Slow: slow}
	address := sched.owner.plant.machines[action.VM].Agent
	sched.owner.options.Agent.Throttle(address, order, func(told worker.Task, err error) {
		if err == nil && !told.Phase.Over() {
			sched.throttle[id] = slow
		}
	})
}
