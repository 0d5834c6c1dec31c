package owner

import (
	"maps"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// hostileFaults are the faults of hostile plays beside those of all plays.
var hostileFaults = slices.Concat([]fault{ownerPaused}, linkFaults, cutFaults, []fault{
	{name: "worker_flaps", description: "a third of the workers cannot be reached for 1 to 3 s, five times with 0.3 to 3 s between", begin: func(sim *simulation, _ *simOwner) {
		for _, m := range sim.randomThird() {
			sim.flap(m, 5)
		}
	}},
	{name: "worker_answers_lost", description: "a third of the workers carry all orders out, and none of their answers arrives", begin: func(sim *simulation, _ *simOwner) {
		for _, m := range sim.randomThird() {
			m.losesAnswers = true
		}
	}, end: func(sim *simulation) {
		for _, m := range sim.workers {
			m.losesAnswers = false
		}
	}},
	{name: "store_slow", description: "appends take 0.2 to 2 s", begin: func(sim *simulation, _ *simOwner) { sim.drawAppend = sim.drawSlowAppend }, end: func(sim *simulation) { sim.drawAppend = sim.drawAppendTimes }},
	{name: "store_slow_and_worker_cut", description: "appends take 0.2 to 2 s, and 0.5 s later a third of the workers cannot be reached for 3 to 8 s", begin: func(sim *simulation, _ *simOwner) {
		sim.drawAppend = sim.drawSlowAppend
		sim.at(500, func() { sim.cutThirdFor(clock.Millis(3000 + sim.rng.IntN(5000))) })
	}, end: func(sim *simulation) { sim.drawAppend = sim.drawAppendTimes }},
	{name: "store_answers_cut", description: "appends are kept, and their answers take 2 to 6 s", begin: func(sim *simulation, _ *simOwner) {
		sim.drawAppend = func() appendTimes { return appendTimes{request: 5, answer: clock.Millis(2000 + sim.rng.IntN(4000))} }
	}, end: func(sim *simulation) { sim.drawAppend = sim.drawAppendTimes }},
	{name: "owner_released", description: "the owner stops for good, and another claims at once and knows it", begin: func(sim *simulation, s *simOwner) {
		s.down = true
		sim.simOwner()
	}},
	{name: "takeover_twice", description: "another claims from a live owner, and a third one 0.05 to 2 s later", begin: func(sim *simulation, _ *simOwner) { sim.takeoversInARow(2) }},
	{name: "takeover_three_times", description: "three others claim, each 0.05 to 2 s after the one before, and all run on", begin: func(sim *simulation, _ *simOwner) { sim.takeoversInARow(3) }},
	{name: "next_owner_released", description: "another claims from an owner that the store does not answer any more; it loads its state, records its list, and releases the cell to a third one", begin: func(sim *simulation, s *simOwner) {
		s.storeUnreachable = true
		next := sim.simOwner()
		sim.releaseOnceListed(next)
	}},
	{name: "submissions_repeated", description: "the owner reaches workers and not the store, and another claims 1.8 s later; callers send accepted jobs again, to any owner that still acts", begin: func(sim *simulation, s *simOwner) {
		s.storeUnreachable = true
		sim.startOwnerAfter(1800)
		sim.repeatSubmissions(60)
	}},
})

// repeatSubmissions submits accepted jobs again, each to one of the owners that act. A
// caller that was told that its job is recorded must not be told that it is not.
func (sim *simulation) repeatSubmissions(times int) {
	const period = 100
	accepted := slices.Sorted(maps.Keys(sim.accepted))
	acting := slices.DeleteFunc(slices.Clone(sim.owners), (*simOwner).stopped)
	if len(accepted) > 0 && len(acting) > 0 {
		id, s := accepted[sim.rng.IntN(len(accepted))], acting[sim.rng.IntN(len(acting))]
		sim.deliver(s, func() {
			s.owner.Submit(sim.specs[id], func(verdict Verdict) {
				if verdict.Ruling != Recorded && verdict.Ruling != NotOwner {
					sim.violationf("job %s: %s by owner %d after it was accepted", id, verdict.Ruling, s.epoch)
				}
			})
		})
	}
	if times > 1 {
		sim.at(period, func() { sim.repeatSubmissions(times - 1) })
	}
}

// flap cuts a worker off and reconnects it, again and again.
func (sim *simulation) flap(m *simWorker, times int) {
	if times == 0 {
		return
	}
	m.reachable = false
	sim.at(clock.Millis(1000+sim.rng.IntN(2000)), func() {
		m.reachable = true
		sim.at(clock.Millis(300+sim.rng.IntN(2700)), func() { sim.flap(m, times-1) })
	})
}

// cutThirdFor cuts a third of the workers off for a time.
func (sim *simulation) cutThirdFor(length clock.Millis) {
	for _, m := range sim.randomThird() {
		m.reachable = false
		sim.at(length, func() { m.reachable = true })
	}
}

// drawSlowAppend draws the times of an append to a slow store.
func (sim *simulation) drawSlowAppend() appendTimes {
	return appendTimes{request: clock.Millis(100 + sim.rng.IntN(900)), answer: clock.Millis(100 + sim.rng.IntN(900))}
}

// takeoversInARow lets owners claim one after another, at once and then after
// drawn times.
func (sim *simulation) takeoversInARow(count int) {
	sim.simOwner()
	if count > 1 {
		sim.at(clock.Millis(50+sim.rng.IntN(1950)), func() { sim.takeoversInARow(count - 1) })
	}
}

// releaseOnceListed stops an owner after it has recorded its list of unresponsive
// workers, and another one claims.
func (sim *simulation) releaseOnceListed(s *simOwner) {
	const pollPeriod = 20
	switch {
	case s.stopped() || s != sim.currentOwner():
	case s.loaded && s.owner.unresponsiveEncodedAt != 0 && s.owner.ownershipConfirmedAt >= s.owner.unresponsiveEncodedAt:
		s.down = true
		sim.simOwner()
	default:
		sim.at(pollPeriod, func() { sim.releaseOnceListed(s) })
	}
}
