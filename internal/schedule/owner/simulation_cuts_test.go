package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// noLimit is a time after the end of a play.
const noLimit = clock.Hour

// isolate cuts an owner and workers off from the store, the other workers and the
// other entries. They still reach each other.
func (sim *simulation) isolate(s *simOwner, workers ...string) {
	s.storeUnreachable = true
	sim.callsDirectly(s)
	for _, id := range sim.workerIDs() {
		sim.entryOf(s).unreachable[id] = true
	}
	for _, id := range workers {
		sim.cutOff(id, sim.entryOf(s))
	}
}

// reconnect ends all cuts between owners, entries, workers and the store.
func (sim *simulation) reconnect() {
	for _, s := range sim.owners {
		s.storeUnreachable = false
		clear(s.directUntil)
	}
	sim.forEntries(func(entry *simEntry) { clear(entry.unreachable) })
}

// cutOff makes a worker unreachable from all entries but one.
func (sim *simulation) cutOff(worker string, except *simEntry) {
	for _, entry := range sim.entries {
		entry.unreachable[worker] = entry != except
	}
}

// callsDirectly makes an owner call all workers without links.
func (sim *simulation) callsDirectly(s *simOwner) {
	for _, id := range sim.workerIDs() {
		sim.callDirectly(s, id, noLimit)
	}
}

// randomDomain draws one of the three failure domains of the workers.
func (sim *simulation) randomDomain() []string {
	var ids []string
	domain := sim.rng.IntN(3)
	for i, id := range sim.workerIDs() {
		if i%3 == domain {
			ids = append(ids, id)
		}
	}
	return ids
}

// cutFaults are failure domains that are cut off with the owner in them.
var cutFaults = []fault{
	{name: "owner_domain_cut", description: "the owner and the workers of a failure domain reach each other and nothing else; another owner claims 0.9 to 2 s later", begin: func(sim *simulation, s *simOwner) {
		sim.isolate(s, sim.randomDomain()...)
		sim.startOwnerAfter(noticeDelay + clock.Millis(sim.rng.IntN(1100)))
	}, end: (*simulation).reconnect},
	{name: "owner_domain_cut_after_claim", description: "another owner claims, and before it fences, the owner and the workers of a failure domain are cut off from all else", begin: func(sim *simulation, s *simOwner) {
		sim.simOwner()
		sim.at(clock.Millis(sim.rng.IntN(1000)), func() { sim.isolate(s, sim.randomDomain()...) })
	}, end: (*simulation).reconnect},
	{name: "owner_domain_cut_then_released", description: "the same as the first; the next owner releases the cell to a third one after 0.1 to 2 s", begin: func(sim *simulation, s *simOwner) {
		sim.isolate(s, sim.randomDomain()...)
		sim.at(noticeDelay, func() {
			next := sim.simOwner()
			sim.at(clock.Millis(100+sim.rng.IntN(1900)), func() { sim.releaseOnceListed(next) })
		})
	}, end: (*simulation).reconnect},
}
