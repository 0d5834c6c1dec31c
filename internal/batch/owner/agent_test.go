package owner

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// agent is a worker that obeys orders by its own clock and tells the witness.
// It does not protect itself from being overcommitted or doubled.
type agent struct {
	bench   *bench
	vm      inventory.VM
	boots   int
	ahead   clock.Millis // its clock is ahead of the bench's by this
	dead    bool
	diedAt  clock.Millis
	failing bool // every task fails
	tasks   map[string]map[int]*running
}

// running is one attempt on a worker.
type running struct {
	worker.Task
	until worker.Time // end of the lease
	left  clock.Millis
	begun clock.Millis
}

func newAgent(b *bench, vm inventory.VM) *agent {
	return &agent{bench: b, vm: vm, boots: 1, ahead: clock.Millis(b.random.Int64N(100_000)), tasks: map[string]map[int]*running{}}
}

func (a *agent) bootName() string { return fmt.Sprintf("%s#%d", a.vm.Name, a.boots) }

// clock runs half a percent fast.
func (a *agent) clock() worker.Time {
	return worker.Time(a.bench.now + a.ahead + (a.bench.now-clock.Hour)/200)
}

// die ends all tasks without a word.
func (a *agent) die() {
	a.dead, a.diedAt = true, a.bench.now
	for _, id := range sortedKeys(a.tasks) {
		for _, attempt := range sortedKeys(a.tasks[id]) {
			a.end(a.tasks[id][attempt], worker.Lapsed)
		}
	}
	a.tasks = map[string]map[int]*running{}
}

func (a *agent) reboot() {
	a.dead = false
	a.boots++
}

func (a *agent) report() worker.Report {
	report := worker.Report{Boot: a.bootName(), Now: a.clock()}
	for _, id := range sortedKeys(a.tasks) {
		for _, attempt := range sortedKeys(a.tasks[id]) {
			report.Tasks = append(report.Tasks, a.tasks[id][attempt].Task)
		}
	}
	return report
}

func (a *agent) find(id string, attempt int) *running { return a.tasks[id][attempt] }

func (a *agent) put(one *running) {
	if a.tasks[one.Job] == nil {
		a.tasks[one.Job] = map[int]*running{}
	}
	a.tasks[one.Job][one.Attempt] = one
}

func (a *agent) start(order worker.StartOrder) (worker.Task, error) {
	if known := a.find(order.Job, order.Attempt); known != nil {
		return known.Task, nil
	}
	if !a.bench.late && (order.Boot != a.bootName() || a.clock() > order.NotAfter) {
		return worker.Task{}, fault.Newf(fault.NotRun, "start", a.vm.Name, "late")
	}
	one := &running{until: order.LeaseUntil, begun: a.bench.now}
	one.Task = worker.Task{Job: order.Job, Attempt: order.Attempt, Cell: order.Cell, Phase: worker.Running, Size: order.Size}
	one.left = a.bench.watch.started(a, order)
	a.put(one)
	life := a.boots
	a.bench.after(one.left, func() {
		if one.Phase != worker.Running || a.boots != life || a.dead {
			return
		}
		if a.failing {
			a.end(one, worker.Failed)
			return
		}
		a.bench.step("finish", a.vm.Name)
		a.end(one, worker.Finished)
	})
	a.watchLease(one)
	return one.Task, nil
}

func (a *agent) watchLease(one *running) {
	left := max(clock.Millis(one.until-a.clock()), 0) + 1
	a.bench.after(left, func() {
		if one.Phase != worker.Running {
			return
		}
		if a.clock() > one.until {
			one.Checkpoint = a.checkpoint(one)
			a.end(one, worker.Lapsed)
			return
		}
		a.watchLease(one)
	})
}

// checkpoint names the work that is left.
func (a *agent) checkpoint(one *running) string {
	left := max(one.left-(a.bench.now-one.begun), 0)
	return fmt.Sprintf("%s/%d/%d", one.Job, one.Attempt, left)
}

func (a *agent) end(one *running, phase worker.Phase) {
	if one.Phase != worker.Running {
		return
	}
	one.Phase = phase
	a.bench.watch.ended(a, one)
}

func (a *agent) stop(order worker.StopOrder) worker.Task {
	one := a.find(order.Job, order.Attempt)
	if one == nil {
		one = &running{Task: worker.Task{Job: order.Job, Attempt: order.Attempt, Cell: order.Cell, Phase: worker.Tombstone}}
		a.put(one)
		return one.Task
	}
	if order.Checkpoint && one.Phase == worker.Running {
		a.bench.step("checkpoint", a.vm.Name)
		one.Checkpoint = a.checkpoint(one)
	}
	a.end(one, worker.Stopped)
	return one.Task
}

func (a *agent) renew(order worker.RenewOrder) worker.Report {
	if order.Boot == a.bootName() {
		for _, attempts := range a.tasks {
			for _, one := range attempts {
				if one.Cell == order.Cell {
					one.until = max(one.until, order.LeaseUntil)
				}
			}
		}
	}
	return a.report()
}

func (a *agent) used() amount.Amount {
	sum := amount.Amount{}
	for _, attempts := range a.tasks {
		for _, one := range attempts {
			if one.Phase == worker.Running {
				sum = sum.Add(one.Size)
			}
		}
	}
	return sum
}

// transit is how long a message takes; late delivery overtakes.
func (b *bench) transit() clock.Millis {
	if b.twice && b.random.IntN(4) == 0 {
		return clock.Millis(b.random.Int64N(6000))
	}
	return clock.Millis(1 + b.random.Int64N(5))
}

// call carries an order to a worker and its answer back.
func call[T any](p *proc, name, step string, obey func(*agent) (T, error), done func(T, error)) {
	b := p.bench
	var none T
	b.step(step, p.name)
	lost := func() {
		b.after(clock.Second, func() {
			p.do(func() { done(none, fault.Newf(fault.Unknown, step, name, "no answer")) })
		})
	}
	reach := func() (*agent, bool) {
		a := b.agents[name]
		cut := a.vm.FailureDomain != p.domain && (b.peerCut[a.vm.FailureDomain] || b.peerCut[p.domain])
		return a, !a.dead && !cut
	}
	b.after(b.transit(), func() {
		a, ok := reach()
		if !ok {
			lost()
			return
		}
		answer, err := obey(a)
		if b.twice {
			b.after(clock.Millis(b.random.Int64N(40_000)), func() {
				if again, ok := reach(); ok {
					_, _ = obey(again)
				}
			})
		}
		b.step(step+" answered", p.name)
		if _, ok := reach(); !ok || b.loseAll && b.random.IntN(2) == 0 {
			lost()
			return
		}
		b.after(b.transit(), func() { p.do(func() { done(answer, err) }) })
	})
}

func (p *proc) agent() Agent {
	return Agent{
		Start: func(at string, order worker.StartOrder, done func(worker.Task, error)) {
			if order.Resume != "" {
				p.bench.step("resume", p.name)
			}
			call(p, at, "start", func(a *agent) (worker.Task, error) { return a.start(order) }, done)
		},
		Renew: func(at string, order worker.RenewOrder, done func(worker.Report, error)) {
			call(p, at, "renew", func(a *agent) (worker.Report, error) { return a.renew(order), nil }, done)
		},
		Stop: func(at string, order worker.StopOrder, done func(worker.Task, error)) {
			call(p, at, "stop", func(a *agent) (worker.Task, error) { return a.stop(order), nil }, done)
		},
		Throttle: func(at string, order worker.ThrottleOrder, done func(worker.Task, error)) {
			call(p, at, "throttle", func(a *agent) (worker.Task, error) {
				one := a.find(order.Job, order.Attempt)
				if one == nil {
					return worker.Task{}, fault.Newf(fault.NotRun, "throttle", at, "unknown task")
				}
				one.Throttled = order.Slow
				return one.Task, nil
			}, done)
		},
		Forget: func(at string, order worker.ForgetOrder, done func(error)) {
			call(p, at, "forget", func(a *agent) (int, error) {
				for _, old := range order.Jobs {
					if one := a.find(old.Job, old.Attempt); one != nil && one.Phase.Over() {
						delete(a.tasks[old.Job], old.Attempt)
					}
				}
				return 0, nil
			}, func(_ int, err error) { done(err) })
		},
		Look: func(at string, done func(worker.Report, error)) {
			call(p, at, "look", func(a *agent) (worker.Report, error) { return a.report(), nil }, done)
		},
	}
}
