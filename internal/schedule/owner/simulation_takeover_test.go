package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// takeoverSteps are the times of a takeover. From the claim until the fence the
// previous owner's appends are accepted.
type takeoverSteps struct {
	fence     clock.Millis // from the claim until the store accepts the fence
	load      clock.Millis // from the fence until the records are read
	firstTick clock.Millis // from then until the first tick, which sends the first holds
}

const (
	takeoverTime    clock.Millis = 40  // from the load to the first tick by default
	storeRetryDelay clock.Millis = 100 // between attempts to fence while the store does not answer
)

// takeOver carries out the steps of a new owner's takeover.
func (sim *simulation) takeOver(s *simOwner) {
	if sim.drawTakeover == nil {
		sim.epoch, s.fencedAt = s.epoch, sim.now
		s.owner.Fenced(1)
		sim.load(s)
		sim.at(takeoverTime, func() { sim.tick(s) })
		return
	}
	steps := sim.drawTakeover()
	sim.at(steps.fence, func() { sim.whenRunning(s, func() { sim.fence(s, steps) }) })
}

// whenRunning carries out a step of a process, after its pause if it is frozen.
func (sim *simulation) whenRunning(s *simOwner, step func()) {
	switch {
	case s.down:
	case s.frozen:
		sim.at(1, func() { sim.whenRunning(s, step) })
	default:
		step()
	}
}

// fence makes the store refuse appends of earlier owners. An owner that is refused
// itself ends.
func (sim *simulation) fence(s *simOwner, steps takeoverSteps) {
	if sim.storeDown || s.storeUnreachable {
		sim.at(storeRetryDelay, func() { sim.whenRunning(s, func() { sim.fence(s, steps) }) })
		return
	}
	if s.epoch < sim.epoch {
		s.down = true
		return
	}
	sim.epoch, s.fencedAt = s.epoch, sim.now
	s.owner.Fenced(1)
	sim.at(steps.load, func() {
		sim.whenRunning(s, func() {
			sim.load(s)
			sim.deliverDelayed(s)
			sim.at(steps.firstTick, func() { sim.tick(s) })
		})
	})
}

// load passes the recorded state to an owner, and that the directly preceding
// owner has stopped if it has.
func (sim *simulation) load(s *simOwner) {
	if err := s.owner.Load(sim.records()); err != nil {
		sim.t.Fatal(err)
	}
	s.loaded = true
	sim.auditLoad(s)
	s.owner.SetManifest(sim.tables)
	if sim.previousOwnerStopped(s) {
		s.owner.PreviousOwnerStopped(StopReleased)
	}
}

// previousOwnerStopped reports whether the owner that claimed before this one has
// stopped. An owner that resigned is known to have stopped only in plays with
// takeovers in steps.
func (sim *simulation) previousOwnerStopped(s *simOwner) bool {
	if s.epoch < 2 {
		return false
	}
	previous := sim.owners[s.epoch-2]
	return previous.down || sim.drawTakeover != nil && previous.resigned
}

// previousRenewWindow returns the renew window that the previous owner recorded, or 0 if
// there is none or it does not ask the entry of the present one.
func (sim *simulation) previousRenewWindow(s *simOwner) clock.Millis {
	switch {
	case s.epoch < 2 || s.newEntry:
		return 0
	case sim.falseWindow != 0:
		return sim.falseWindow
	default:
		return sim.times.RenewWindow
	}
}

// entriesKnowLaterOwner reports whether an entry that an owner asks knows a later one.
func (sim *simulation) entriesKnowLaterOwner(s *simOwner) bool {
	return slices.ContainsFunc(sim.owners[s.epoch:], func(later *simOwner) bool { return !later.newEntry })
}

// drawSteps draws the steps of a takeover, most of them short.
func (sim *simulation) drawSteps() takeoverSteps {
	return takeoverSteps{fence: sim.drawStep(), load: sim.drawStep(), firstTick: sim.drawStep()}
}

// drawStep draws a time up to 3 s.
func (sim *simulation) drawStep() clock.Millis {
	limit := 60
	switch p := sim.rng.Float64(); {
	case p < 0.15:
		limit = 3000
	case p < 0.4:
		limit = 600
	}
	return clock.Millis(1 + sim.rng.IntN(limit))
}

// drawAppendTimes draws the times of an append, of which one answer in ten is
// late.
func (sim *simulation) drawAppendTimes() appendTimes {
	times := appendTimes{request: clock.Millis(1 + sim.rng.IntN(12)), answer: clock.Millis(1 + sim.rng.IntN(12))}
	if sim.rng.IntN(10) == 0 {
		times.answer = sim.drawStep()
	}
	return times
}

// TestStoreRefusesPreviousOwnerFromTheFence checks that the previous owner's
// appends are accepted after the next owner's claim and refused after its fence.
func TestStoreRefusesPreviousOwnerFromTheFence(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	first := sim.simOwner()
	sim.drawTakeover = func() takeoverSteps { return takeoverSteps{fence: 2000, load: 500, firstTick: 10} }
	var log []string
	note := func(event string) {
		next := sim.currentOwner()
		log = append(log, fmt.Sprint(event, ": accepted ", sim.accepted["0000000000000001"], sim.accepted["0000000000000002"],
			" resigned ", first.resigned, " fenced ", next.fencedAt != 0, " loaded ", next.loaded))
	}
	sim.at(1000, func() { sim.simOwner() })
	sim.at(2000, func() { sim.submit(first, sim.randomJob(1)) })
	sim.at(2900, func() { note("before the fence") })
	sim.at(3010, func() { sim.submit(first, sim.randomJob(2)) })
	sim.at(3400, func() { note("after the fence") })
	sim.at(3600, func() { note("after the load") })
	sim.run(30 * clock.Second)
	want := []string{
		"before the fence: accepted true false resigned false fenced false loaded false",
		"after the fence: accepted true false resigned true fenced true loaded false",
		"after the load: accepted true false resigned true fenced true loaded true",
	}
	if diff := cmp.Diff(want, log); diff != "" {
		t.Errorf("steps of the takeover (-want +got):\n%s", diff)
	}
	sim.checkFinalStates(sim.currentOwner())
	if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
		t.Errorf("invariants violated (-want +got):\n%s", diff)
	}
}
