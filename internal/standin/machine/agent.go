package machine

import (
	"cmp"
	"context"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Agents returns a client that calls machines directly, by their agent address.
func Agents(machines ...*Machine) worker.Agent {
	byAddress := make(map[string]*Machine, len(machines))
	for _, machine := range machines {
		byAddress[machine.options.VM.Agent] = machine
	}
	return worker.Agent{
		Start: func(ctx context.Context, address string, order worker.StartOrder) (worker.Task, error) {
			return call(ctx, byAddress[address], "start task", address, order, (*Machine).startTask)
		},
		Renew: func(ctx context.Context, address string, order worker.RenewOrder) (worker.Report, error) {
			return call(ctx, byAddress[address], "renew leases", address, order, (*Machine).renew)
		},
		Stop: func(ctx context.Context, address string, order worker.StopOrder) (worker.Task, error) {
			return call(ctx, byAddress[address], "stop task", address, order, (*Machine).stopTask)
		},
		Throttle: func(ctx context.Context, address string, order worker.ThrottleOrder) (worker.Task, error) {
			return call(ctx, byAddress[address], "throttle task", address, order, (*Machine).throttle)
		},
		Forget: func(ctx context.Context, address string, order worker.ForgetOrder) error {
			_, err := call(ctx, byAddress[address], "forget tasks", address, order, (*Machine).forget)
			return err
		},
		Look: func(ctx context.Context, address string) (worker.Report, error) {
			return call(ctx, byAddress[address], "look at tasks", address, struct{}{}, (*Machine).look)
		},
	}
}

// call carries out one order under the faults in force. The orders themselves
// are called with the lock held and all tasks settled.
func call[O, A any](ctx context.Context, machine *Machine, step, address string, order O, obey func(*Machine, O) (A, error)) (answer A, err error) {
	if machine == nil {
		return answer, fault.Newf(fault.NotSent, step, address, "no VM at this address")
	}
	if err := machine.delay(ctx, order); err != nil {
		return answer, fault.New(fault.Unknown, step, address, err)
	}
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.AgentCalls++
	if machine.halted || machine.faults.AgentDown {
		machine.stats.AgentCallsUnobeyed++
		return answer, fault.Newf(fault.Unknown, step, address, "the VM does not answer")
	}
	machine.settle()
	answer, err = obey(machine, order)
	if machine.faults.AgentLoseNext > 0 {
		machine.faults.AgentLoseNext--
		return answer, fault.Newf(fault.Unknown, step, address, "answer lost")
	}
	return answer, err
}

// delay waits for a slow agent, and for the checkpoint that a stop asks for.
func (machine *Machine) delay(ctx context.Context, order any) error {
	machine.mu.Lock()
	wait := machine.faults.AgentSlowMS
	machine.mu.Unlock()
	if stop, ok := order.(worker.StopOrder); ok && stop.Checkpoint {
		wait += machine.options.CheckpointMS
	}
	if wait <= 0 {
		return ctx.Err()
	}
	return machine.options.Clock.Sleep(ctx, wait)
}

func (machine *Machine) startTask(order worker.StartOrder) (worker.Task, error) {
	known, found := machine.tasks[name{order.Job, order.Attempt}]
	switch {
	case order.Boot != machine.boot:
		return machine.refuseStart("order is for boot %q, this is %q", order.Boot, machine.boot)
	case found && known.phase == worker.Tombstone:
		return machine.refuseStart("job %s/%d was stopped before it started", order.Job, order.Attempt)
	case found:
		return known.report(), nil // a repeated order changes nothing
	case machine.now() > order.NotAfter:
		return machine.refuseStart("order is too late: %d is past %d", machine.now(), order.NotAfter)
	case order.LeaseUntil <= machine.now():
		return machine.refuseStart("lease until %d has lapsed", order.LeaseUntil)
	}
	fresh := newTask(order, machine.now())
	if machine.faults.FailTasks {
		fresh.failing = true
		fresh.payload.RunMS = min(fresh.payload.RunMS, fresh.done()+failAfter)
	}
	machine.tasks[name{order.Job, order.Attempt}] = fresh
	machine.stats.TasksStarted++
	if order.Resume != "" {
		machine.stats.CheckpointsResumed++
	}
	machine.observe(witness.Event{
		Kind: witness.TaskStarted, At: machine.options.Clock.Now(), Job: order.Job, Key: fresh.payload.Key,
		Attempt: order.Attempt, Size: order.Size, Checkpoint: order.Resume, DoneMS: fresh.done(),
	})
	return fresh.report(), nil
}

func (machine *Machine) refuseStart(format string, values ...any) (worker.Task, error) {
	machine.stats.StartsRefused++
	return worker.Task{}, fault.Newf(fault.NotRun, "start task", machine.options.VM.Name, format, values...)
}

// renew extends the leases of a cell's tasks. An order for another boot
// extends nothing; the report tells the sender.
func (machine *Machine) renew(order worker.RenewOrder) (worker.Report, error) {
	if order.Boot != machine.boot {
		machine.stats.RenewalsOfOtherBoot++
		return machine.report(), nil
	}
	for _, task := range machine.tasks {
		if task.phase == worker.Running && task.order.Cell == order.Cell {
			task.lease = max(task.lease, order.LeaseUntil)
		}
	}
	return machine.report(), nil
}

func (machine *Machine) stopTask(order worker.StopOrder) (worker.Task, error) {
	machine.stats.StopOrders++
	known, found := machine.tasks[name{order.Job, order.Attempt}]
	if !found {
		known = &task{
			order: worker.StartOrder{Job: order.Job, Attempt: order.Attempt, Cell: order.Cell},
			phase: worker.Tombstone,
		}
		machine.tasks[name{order.Job, order.Attempt}] = known
		return known.report(), nil
	}
	if known.phase == worker.Running {
		if order.Checkpoint && known.done() > progressOf(known.saved) {
			known.saved = known.checkpoint(known.done())
		}
		machine.end(known, machine.now(), worker.Stopped, "stopped")
	}
	return known.report(), nil
}

func (machine *Machine) throttle(order worker.ThrottleOrder) (worker.Task, error) {
	machine.stats.ThrottleOrders++
	known, found := machine.tasks[name{order.Job, order.Attempt}]
	if !found {
		return worker.Task{}, fault.Newf(fault.NotRun, "throttle task", machine.options.VM.Name, "job %s/%d is not known", order.Job, order.Attempt)
	}
	if known.phase == worker.Running {
		known.throttled = order.Slow
	}
	return known.report(), nil
}

// forget drops over attempts; running ones stay.
func (machine *Machine) forget(order worker.ForgetOrder) (bool, error) {
	for _, over := range order.Jobs {
		known, found := machine.tasks[name{over.Job, over.Attempt}]
		if found && known.phase.Over() {
			delete(machine.tasks, name{over.Job, over.Attempt})
		}
	}
	return true, nil
}

func (machine *Machine) look(struct{}) (worker.Report, error) { return machine.report(), nil }

func (machine *Machine) report() worker.Report {
	report := worker.Report{Boot: machine.boot, Now: machine.now(), Tasks: make([]worker.Task, 0, len(machine.tasks))}
	for _, task := range machine.tasks {
		report.Tasks = append(report.Tasks, task.report())
	}
	slices.SortFunc(report.Tasks, func(one, other worker.Task) int {
		return cmp.Or(cmp.Compare(one.Job, other.Job), cmp.Compare(one.Attempt, other.Attempt))
	})
	return report
}

// Usage measures the VM now.
func (machine *Machine) Usage() worker.Usage {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.settle()
	usage := worker.Usage{VM: machine.options.VM.Name, Services: machine.services(), TaskUsage: []worker.TaskUsage{}}
	for _, task := range machine.tasks {
		if task.phase != worker.Running {
			continue
		}
		usage.Used = usage.Used.Add(task.used())
		usage.TaskUsage = append(usage.TaskUsage, worker.TaskUsage{
			Job: task.order.Job, Attempt: task.order.Attempt, Kind: task.order.Kind,
			Used: task.used(), Progress: task.progress(),
		})
	}
	slices.SortFunc(usage.TaskUsage, func(one, other worker.TaskUsage) int { return cmp.Compare(one.Job, other.Job) })
	usage.Used.MilliCores += int64(len(machine.slots)) * milliCoresPerRequest
	return usage
}
