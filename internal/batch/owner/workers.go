package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// A worker is set aside when this many jobs in a row failed on it, of
	// several teams, or of any when failuresOfOne did.
	failuresOfMany = 3
	teamsOfMany    = 2
	failuresOfOne  = 6
	// firstAside is how long it is set aside before one task may try it; the
	// time doubles with each failed trial.
	firstAside clock.Millis = clock.Minute
	maxAside   clock.Millis = 30 * clock.Minute
	// dropShare is the part of the workers in use whose silence is taken for a
	// fault of this entry while others reach them.
	dropShare = 0.5
)

// trial is how a worker does with the tasks that it starts.
type trial struct {
	failed map[string]string // job: team, since the last success
	until  clock.Millis      // set aside up to here
	wait   clock.Millis
	probe  bool // one task tries it
}

func (sched *scheduler) trial(vm string) *trial {
	at := sched.trials[vm]
	if at == nil {
		at = &trial{failed: map[string]string{}}
		sched.trials[vm] = at
	}
	return at
}

// judge learns from the end of an attempt whether its worker is any good.
func (sched *scheduler) judge(event cell.Event, now clock.Millis) {
	switch event.Phase {
	case worker.Finished:
		delete(sched.trials, event.VM)
	case worker.Failed:
		sched.failed(event, now)
	case worker.Tombstone:
		at := sched.trial(event.VM)
		at.until = max(at.until, now+cool)
		at.probe = false
	}
	sched.put(event.VM)
}

func (sched *scheduler) failed(event cell.Event, now clock.Millis) {
	at := sched.trial(event.VM)
	at.failed[event.ID] = event.Job.Spec.Team
	teams := map[string]bool{}
	for _, team := range at.failed {
		teams[team] = true
	}
	many := len(at.failed) >= failuresOfMany && len(teams) >= teamsOfMany
	if !many && len(at.failed) < failuresOfOne {
		return
	}
	at.wait = min(maxAside, max(firstAside, 2*at.wait))
	at.until = now + at.wait
	at.probe = false
	sched.owner.options.Log.Warn().Str("vm", event.VM).Int("failed_jobs", len(at.failed)).Msg("set aside")
}

// setAside reports whether a worker is kept from new tasks for its failures.
func (sched *scheduler) setAside(vm string) bool {
	at := sched.trials[vm]
	if at == nil {
		return false
	}
	return at.probe || sched.owner.now() < at.until
}

// probed keeps a worker on trial to one task.
func (sched *scheduler) probed(vm string) {
	at := sched.trials[vm]
	if at == nil || at.wait == 0 {
		return
	}
	at.probe = true
	sched.put(vm)
}

// retryAside lets workers whose time is over try again.
func (sched *scheduler) retryAside(now clock.Millis) {
	for _, vm := range sortedKeys(sched.trials) {
		if at := sched.trials[vm]; now >= at.until {
			sched.put(vm)
		}
	}
}

// suspect takes note that some entry can't reach a worker.
func (sched *scheduler) suspect(vm string, now clock.Millis) {
	if kept := sched.owner.state.VM(vm); kept != nil && kept.Dropped != 0 {
		return
	}
	if _, known := sched.suspects[vm]; !known {
		sched.suspects[vm] = now
		sched.put(vm)
	}
	sched.owner.look(vm)
}

// checkWorkers looks at the workers that may be lost, drops those that are, and
// ends the attempts on dropped ones once no lease can be alive.
func (sched *scheduler) checkWorkers(now clock.Millis) {
	owner := sched.owner
	lost := 0
	for _, vm := range sortedKeys(sched.suspects) {
		owner.look(vm)
		if sched.isLost(vm, now) {
			lost++
		}
	}
	if sched.blind(lost, now) {
		owner.giveUp(owner.heir())
		return
	}
	for _, vm := range sortedKeys(sched.suspects) {
		if sched.isLost(vm, now) {
			sched.drop(vm)
		}
	}
	owner.state.VMs(func(name string, vm *cell.VM) {
		if vm.Dropped == 0 && owner.check(name).failing != 0 {
			sched.suspects[name] = min(now, owner.check(name).failing)
		}
	})
	for _, name := range owner.droppedVMs() {
		sched.bury(name, now)
	}
}

// isLost reports whether nobody is known to reach a worker.
func (sched *scheduler) isLost(vm string, now clock.Millis) bool {
	at := sched.owner.check(vm)
	if _, reachable := sched.owner.address(vm); !reachable {
		return now-sched.suspects[vm] >= silentAfter
	}
	return at.failing != 0 && now-at.failing >= silentAfter
}

// blind reports whether it is rather this entry that is cut off: it lost most
// workers, while other entries of their failure domain write to the stream.
func (sched *scheduler) blind(lost int, now clock.Millis) bool {
	used := 0
	sched.owner.state.VMs(func(string, *cell.VM) { used++ })
	if sched.owner.options.Domain != sched.owner.domain || lost < 2 || float64(lost) < dropShare*float64(used) {
		return false
	}
	return sched.owner.peers.Others(sched.owner.domain, sched.owner.options.Entry, now-2*presenceEvery)
}

func (sched *scheduler) drop(vm string) {
	if kept := sched.owner.state.VM(vm); kept == nil || kept.Dropped != 0 {
		return
	}
	sched.owner.count.Drops++
	delete(sched.suspects, vm)
	sched.owner.add(cell.Encode(cell.Drop{Epoch: sched.owner.ownEpoch, VM: vm}), nil)
	sched.owner.options.Log.Warn().Str("vm", vm).Msg("out of reach, dropped")
}

// bury ends the attempts on a dropped worker when no lease of them can be
// alive, and until then goes on trying to reach it.
func (sched *scheduler) bury(name string, now clock.Millis) {
	owner := sched.owner
	owner.look(name)
	vm := owner.state.VM(name)
	over, known := owner.peers.OverAt(name, owner.state.LongestTerms())
	if !known || now < over && !owner.broken.noWorkerEnd {
		return
	}
	for _, id := range sortedKeys(vm.Jobs) {
		entry, _ := owner.state.Job(id)
		owner.ended(entry, worker.Lapsed, owner.saved[id], "its worker was lost")
	}
	if _, listed := owner.plant.machines[name]; !listed && len(vm.Jobs) == 0 {
		owner.readmit(name)
	}
}

// recover follows an answer of a dropped worker: what runs is checkpointed and
// moved, and an empty worker is put back in use.
func (sched *scheduler) recover(name string, vm *cell.VM, now clock.Millis) {
	if len(vm.Jobs) == 0 {
		sched.owner.readmit(name)
		return
	}
	for _, id := range sortedKeys(vm.Jobs) {
		entry, _ := sched.owner.state.Job(id)
		if entry.Phase == job.Running {
			sched.evict(entry, "its worker was out of reach")
		}
	}
}

func (owner *Owner) readmit(name string) {
	owner.add(cell.Encode(cell.Readmit{Epoch: owner.ownEpoch, VM: name}), nil)
}

func (owner *Owner) droppedVMs() []string {
	names := map[string]bool{}
	owner.state.VMs(func(name string, vm *cell.VM) {
		if vm.Dropped != 0 {
			names[name] = true
		}
	})
	return sortedKeys(names)
}
