package owner

import (
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// newLeaseSimulation returns a simulation of three workers whose tasks run until they
// are stopped, with an owner that has loaded its state, and starts fifteen of them.
func newLeaseSimulation(t *testing.T) (*simulation, *simOwner) {
	t.Helper()
	sim := newSimulation(t, 1, 3)
	sim.addEntries()
	sim.audit.enabled = true
	sim.drawWork = func(job.Task) standin.Work { return standin.Work{Room: fleet.Room{MilliCPU: 1000, MemoryMB: 1000}} }
	owner := sim.simOwner()
	sim.callsDirectly(owner)
	sim.drawTakeover = func() takeoverSteps { return takeoverSteps{fence: 10, load: 10, firstTick: 10} }
	for i := range 5 {
		sim.at(clock.Millis(200+100*i), func() { sim.submit(owner, sim.leaseJob(i+1)) })
	}
	return sim, owner
}

// leaseJob returns a job of three long-running tasks.
func (sim *simulation) leaseJob(number int) job.Spec {
	spec := sim.lastingJob(number)
	spec.Steps[0].Count = 3
	return spec
}

// spreadJob returns a long-running job with one task on each worker.
func (sim *simulation) spreadJob(number int) job.Spec {
	spec := sim.leaseJob(number)
	spec.Steps[0].PerWorker = 1
	return spec
}

// playLeases runs a play of leases and fails its test if a rule is broken.
func (sim *simulation) playLeases(length clock.Millis) {
	sim.t.Helper()
	for at := clock.Millis(0); at < length; at += 50 {
		sim.at(at, sim.checkDuplicateRuns)
	}
	sim.run(length)
	sim.report(1)
}

// The list that the previous owner records after the claim counts from its record.
func TestRecordedRestOutlivesFenceDelay(t *testing.T) {
	sim, _ := newLeaseSimulation(t)
	sim.drawTakeover = func() takeoverSteps { return takeoverSteps{fence: 3000, load: 10, firstTick: 10} }
	sim.at(3000, func() { sim.simOwner() })
	sim.at(3400, func() { sim.workers["w01-b"].reachable = false })
	sim.playLeases(20 * clock.Second)
}

// The previous owner renews leases for the renew window from its last append before the fence.
func TestRenewWindowOutlivesFenceDelay(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	sim.drawTakeover = func() takeoverSteps { return takeoverSteps{fence: 3000, load: 10, firstTick: 10} }
	sim.at(3000, func() { sim.simOwner() })
	sim.at(5900, func() { sim.isolate(first, "w01-b") })
	sim.playLeases(25 * clock.Second)
}

// That the directly preceding owner has stopped says nothing of the one before it.
func TestLeaseOfOwnerBeforeTheReleasedOne(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	sim.at(3000, func() { sim.isolate(first, "w01-b") })
	sim.at(4000, func() { sim.simOwner() })
	sim.at(5200, func() { sim.releaseOnceListed(sim.currentOwner()) })
	sim.playLeases(25 * clock.Second)
}

// A start between a worker's report and the record of its delisting grants a lease.
func TestStartBeforeDelistingIsRecorded(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	m := sim.workers["w01-b"]
	started := job.Task{Job: "0000000000000009", Index: 1}
	sim.drawAppend = func() appendTimes {
		if w := first.owner.workers[m.Entry.ID]; w != nil && !w.unresponsive && !first.owner.isDelistingRecorded(w) {
			return appendTimes{request: 300, answer: 300}
		}
		return defaultAppendTimes
	}
	sim.at(3000, func() { m.reachable = false })
	sim.at(5900, func() {
		sim.submit(first, sim.spreadJob(9))
		m.reachable = true
	})
	sim.whenTrue(func() bool { return m.Running(started) != 0 }, func() {
		first.down = true
		sim.cutOff(m.Entry.ID, nil)
		sim.simOwner()
	})
	sim.playLeases(25 * clock.Second)
}

// whenTrue carries out an action at the first millisecond at which a condition holds.
func (sim *simulation) whenTrue(holds func() bool, action func()) {
	if holds() {
		action()
		return
	}
	sim.at(1, func() { sim.whenTrue(holds, action) })
}

// A start that is repeated after its worker is listed extends the lease there.
func TestRepeatedStartOnListedWorker(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	m := sim.workers["w01-b"]
	const untilMiss = 1150 // from a hold whose answer is lost until shortly before it counts as missed
	sim.at(3000, func() {
		m.losesAnswers = true
		holdSentAt := first.owner.workers[m.Entry.ID].holdSentAt
		sim.at(holdSentAt+untilMiss-sim.now, func() { sim.submit(first, sim.spreadJob(9)) })
	})
	listed := func() bool { return sim.audit.rest[m.Entry.ID] != 0 && sim.now > clock.Hour+3000 }
	sim.whenTrue(listed, func() {
		sim.freeze(first, 3*clock.Second)
		sim.at(900, func() {
			sim.cutOff(m.Entry.ID, sim.entryOf(first))
			sim.simOwner()
		})
	})
	sim.playLeases(25 * clock.Second)
}

// A start after a late acknowledgement grants a lease beyond the renew window.
func TestStartAfterThawOutlivesRenewWindow(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	sim.at(2980, func() {
		sim.drawAppend = func() appendTimes { return appendTimes{request: 4, answer: 100} }
		sim.submit(first, sim.spreadJob(9))
	})
	sim.at(3000, func() {
		sim.freeze(first, 9*clock.Second)
		sim.isolate(first, "w01-b")
		sim.simOwner()
	})
	sim.playLeases(25 * clock.Second)
}

// A start that reaches a newer incarnation than the owner knows begins a run there.
func TestStartReachesUnknownIncarnation(t *testing.T) {
	sim, first := newLeaseSimulation(t)
	m := sim.workers["w01-b"]
	sim.at(1500, func() { sim.cancel(first, "0000000000000001") })
	sim.at(3000, func() { m.down = true })
	sim.at(3300, func() {
		m.restart(sim.now)
		batch := sim.leaseJob(9)
		batch.Steps[0].Count, batch.Steps[0].PerWorker, batch.Steps[0].Lasting = 5, 2, false
		sim.submit(first, batch)
	})
	sim.playLeases(20 * clock.Second)
}
