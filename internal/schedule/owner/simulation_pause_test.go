package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// freeze lets an owner's process stand still for a time.
func (sim *simulation) freeze(s *simOwner, length clock.Millis) {
	s.frozen = true
	s.freezes++
	sim.at(length, func() {
		s.freezes--
		if s.freezes == 0 {
			sim.unfreeze(s)
		}
	})
}

// unfreeze resumes a frozen owner, which first delivers the outputs that it had
// decided on and then handles the queued inputs.
func (sim *simulation) unfreeze(s *simOwner) {
	s.frozen = false
	delayedEffects := s.delayedEffects
	s.delayedEffects = nil
	for _, effect := range delayedEffects {
		sim.emit(s, effect)
	}
	sim.deliverDelayed(s)
}

// deliverDelayed passes the queued inputs to an owner.
func (sim *simulation) deliverDelayed(s *simOwner) {
	delayedInputs := s.delayedInputs
	s.delayedInputs = nil
	for _, action := range delayedInputs {
		sim.deliver(s, action)
	}
}

// emit delivers an output of an owner, or queues it if the owner is frozen or its
// planned pause begins here.
func (sim *simulation) emit(s *simOwner, effect func()) {
	if s.effectsToPause > 0 {
		s.effectsToPause--
		if s.effectsToPause == 0 {
			sim.pause(s)
		}
	}
	switch {
	case s.down:
	case s.frozen:
		s.delayedEffects = append(s.delayedEffects, effect)
	default:
		effect()
	}
}

// noticeDelay is how long the other entries wait at the least before one of them
// claims the cell of an owner that does not answer.
const noticeDelay clock.Millis = 900

// pause freezes an owner between two of its outputs.
func (sim *simulation) pause(s *simOwner) {
	if entry := sim.entryOf(s); entry != nil {
		sim.pauseEntry(entry, s.pauseLength)
		return
	}
	sim.freezeUntilNoticed(s, s.pauseLength)
}

// freezeUntilNoticed freezes an owner. Another one claims if that lasts long enough
// to be noticed. Half of the time, a tick is the first input that the owner handles
// afterwards.
func (sim *simulation) freezeUntilNoticed(s *simOwner, length clock.Millis) {
	if sim.rng.IntN(2) == 0 {
		s.delayedInputs = append(s.delayedInputs, func() { sim.periodicInputs(s) })
	}
	sim.freeze(s, length)
	sim.at(noticeDelay+clock.Millis(sim.rng.IntN(600)), func() {
		if s.frozen && s == sim.currentOwner() {
			sim.simOwner()
		}
	})
}

// planPause plans a pause of an owner before one of its next outputs.
func (sim *simulation) planPause(s *simOwner) {
	const maxEffects, minLength = 40, 100
	s.effectsToPause = 1 + sim.rng.IntN(maxEffects)
	s.pauseLength = clock.Millis(minLength + sim.rng.IntN([]int{800, 3000, 9000}[sim.rng.IntN(3)]))
}

// ownerPaused is the fault of an owner process that stands still again and again.
var ownerPaused = fault{
	name: "owner_paused", description: "the owner stands still five times in 10 s, between any two of its outputs, for 0.1 to 9 s; another claims when that is noticed",
	begin: func(sim *simulation, _ *simOwner) {
		for range 5 {
			sim.at(clock.Millis(sim.rng.IntN(10_000)), func() { sim.planPause(sim.currentOwner()) })
		}
	},
}

// TestPausedOwnerDeliversWhatItHadDecided checks that the outputs of an input during
// which the owner is paused are delivered after the pause as they were, and before
// those of the inputs that arrived meanwhile.
func TestPausedOwnerDeliversWhatItHadDecided(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	s := sim.simOwner()
	var log []string
	send := func(name string) {
		sent := sim.now
		sim.emit(s, func() {
			log = append(log, fmt.Sprint(name, " decided ", sent-clock.Hour, " delivered ", sim.now-clock.Hour))
		})
	}
	s.effectsToPause, s.pauseLength = 2, 500
	sim.deliver(s, func() { send("a"); send("b"); send("c") })
	sim.at(20, func() { sim.deliver(s, func() { send("d") }) })
	sim.run(600)
	want := []string{
		"a decided 0 delivered 0", "b decided 0 delivered 500", "c decided 0 delivered 500", "d decided 500 delivered 500",
	}
	if diff := cmp.Diff(want, log); diff != "" {
		t.Errorf("outputs (-want +got):\n%s", diff)
	}
}
