package soak

import (
	"slices"
	"syscall"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// succession is a change of the owner as it is drawn.
type succession struct {
	owner     *entry
	deposal   deposal
	cut       *cut         // of workers; nil: none
	cutAfter  clock.Millis // from the deposal to the cut; negative: the cut comes first
	slowed    map[*entry]storeFault
	slowedFor clock.Millis // after the next claim
	end       successorEnd
}

// deposalKind is how an owner loses the cell.
type deposalKind int

const (
	ownerPaused            deposalKind = iota
	ownerCutFromPeers                  // it runs on, reaches the store and the workers, and no entry reaches it
	ownerStoreBad                      // the store is slow or silent for it
	ownerStopped                       // by a signal; it starts again
	ownerPausedWithAnswers             // it sleeps while answers of the store are under way to it
)

// deposal is what makes others claim the cell of an owner.
type deposal struct {
	kind   deposalKind
	length clock.Millis
	signal syscall.Signal
	store  storeFault
}

// drawDeposal draws how an owner loses the cell.
func (c *chaos) drawDeposal() deposal {
	switch c.rng.IntN(8) {
	case 0, 1:
		return deposal{kind: ownerPaused, length: c.between(1000, 8000)}
	case 2, 3:
		return deposal{kind: ownerCutFromPeers, length: c.between(1500, 6000)}
	case 4:
		x := deposal{kind: ownerStoreBad, length: c.between(1500, 6000), store: storeFault{after: c.between(800, 3000)}}
		if c.chance(50) {
			x.store = storeFault{silent: true}
		}
		return x
	case 5:
		return deposal{kind: ownerStopped, signal: syscall.SIGKILL, length: c.between(100, 4000)}
	case 6:
		return deposal{kind: ownerStopped, signal: syscall.SIGTERM, length: c.between(100, 4000)}
	}
	return deposal{kind: ownerPausedWithAnswers, length: c.between(1000, 16000), store: storeFault{after: c.between(300, 1000)}}
}

// drawSuccession draws a change of the owner with what happens around it.
func (c *chaos) drawSuccession(owner *entry) succession {
	s := succession{owner: owner, slowedFor: 6 * clock.Second}
	if c.chance(c.plan.aimed) {
		x := c.drawAimedCut(owner)
		s.cut, s.cutAfter = &x, c.between(-4000, 1000)
	}
	s.slowed = c.drawSuccessorFaults(owner)
	s.deposal = c.drawDeposal()
	s.end = c.drawSuccessorEnd()
	return s
}

// drawDelayedSuccession draws a change in which the old owner runs on while its
// successor waits between claim and load, and loses workers meanwhile that the
// successor does not reach either.
func (c *chaos) drawDelayedSuccession(owner *entry) succession {
	x := cut{
		groups: c.someGroups(), views: c.allViews(), length: c.between(7000, 9000),
		state: linkState{holdRequests: true, holdAnswers: true, dropHeld: true},
	}
	s := succession{
		owner: owner, deposal: deposal{kind: ownerCutFromPeers, length: c.between(4500, 6000)},
		cut: &x, cutAfter: c.between(1400, 2200), slowed: map[*entry]storeFault{},
	}
	const loadTime = 100
	fault := storeFault{topic: cellTopic, writes: true, before: c.between(1800, 2600)}
	s.slowedFor = fault.before - loadTime
	for _, e := range c.entries {
		if e != owner {
			s.slowed[e] = fault
		}
	}
	return s
}

// drawSuccessorFaults draws how the store is slow for the entries that may follow an
// owner: for all of them between claim and first append, for some of them in all
// calls, or not at all.
func (c *chaos) drawSuccessorFaults(owner *entry) map[*entry]storeFault {
	faults := map[*entry]storeFault{}
	records := storeFault{topic: cellTopic, before: c.between(200, 3000)}
	if c.chance(30) {
		records = storeFault{topic: cellTopic, after: c.between(200, 3000)}
	}
	some := c.chance(25)
	all := c.chance(c.plan.delayed)
	for _, e := range c.entries {
		switch {
		case e == owner:
		case some && c.chance(50):
			faults[e] = storeFault{after: c.between(300, 3000)}
		case !some && all:
			faults[e] = records
		}
	}
	return faults
}

// successorEnd is how an entry that has just claimed the cell loses it again.
type successorEnd struct {
	signal syscall.Signal // 0: it stays
	after  clock.Millis   // its claim
	down   clock.Millis
}

func (c *chaos) drawSuccessorEnd() successorEnd {
	if !c.chance(c.plan.leaving) {
		return successorEnd{}
	}
	switch c.rng.IntN(4) {
	case 0:
		return successorEnd{signal: syscall.SIGKILL, after: 150, down: 500}
	case 1:
		return successorEnd{signal: syscall.SIGKILL, after: c.between(300, 3000), down: c.between(50, 300)}
	}
	return successorEnd{signal: syscall.SIGTERM, after: c.between(300, 2000), down: c.between(50, 1000)}
}

// drawAimedCut draws a cut around a change of the owner. At times only the old owner
// still reaches the workers.
func (c *chaos) drawAimedCut(owner *entry) cut {
	x := c.drawCut()
	if c.chance(60) {
		x.state = linkState{holdRequests: true, holdAnswers: true, dropHeld: c.chance(60)}
	}
	switch c.rng.IntN(10) {
	case 0, 1, 2, 3: // only the old owner reaches them
		view := c.plan.view(owner.number)
		x.views = slices.DeleteFunc(x.views, func(v int) bool { return v == view })
	case 4, 5: // only some view does, which may be the new owner's
		view := c.rng.IntN(c.plan.views())
		x.views = slices.DeleteFunc(x.views, func(v int) bool { return v == view })
	}
	return x
}
