package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// newOwnerWithRun returns an owner that has recorded its list of unresponsive workers and
// started run 1 of manualTask on worker w.
func newOwnerWithRun(t *testing.T) *manualOwner {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.owner.Fenced(1)
	if err := m.owner.Load(nil); err != nil {
		t.Fatal(err)
	}
	m.startRun()
	return m
}

// Guards against long-running tasks that wait 11.4 s for the leases of an owner that was
// killed just after their worker was lost. They have 10 s, and a takeover takes up to 2 s of it.
func TestNextOwnerOfLostWorkerWaitsForRenewWindow(t *testing.T) {
	const longest = 7 * clock.Second
	first := newOwnerWithRun(t)
	next := newManualOwner(t, 2, first.now)
	next.owner.options.PreviousRenewWindow = first.owner.options.Times.RenewWindow
	next.load(first)
	if took := next.timeToEnd(first.now); took > longest {
		t.Errorf("run ended %d ms after the fence, want at most %d", took, longest)
	}
}

// An owner renews leases without asking an entry that it does not know. If it has recorded
// no list, those of the owners before it count, too.
func TestNextOwnerWaitsForRenewLimit(t *testing.T) {
	first := newOwnerWithRun(t)
	want := first.owner.renewedLeaseSpan(first.owner.options.Times.RenewLimit)
	for name, change := range map[string]func(next *manualOwner){
		"unknown to the previous owner": func(next *manualOwner) { next.owner.options.PreviousRenewWindow = 0 },
		"list of an owner before it":    func(next *manualOwner) { next.owner.options.Epoch = 3 },
	} {
		next := newManualOwner(t, 2, first.now)
		next.owner.options.PreviousRenewWindow = first.owner.options.Times.RenewWindow
		change(next)
		next.load(first)
		if took := next.timeToEnd(first.now); took < want {
			t.Errorf("%s: run ended %d ms after the fence, want at least %d", name, took, want)
		}
	}
}

// An owner of a later version may renew leases for longer.
func TestNextOwnerWaitsForRecordedWindow(t *testing.T) {
	first := newOwnerWithRun(t)
	window := first.owner.options.Times.RenewLimit + clock.Second
	next := newManualOwner(t, 2, first.now)
	next.owner.options.PreviousRenewWindow = window
	next.load(first)
	if took, want := next.timeToEnd(first.now), first.owner.renewedLeaseSpan(window); took < want {
		t.Errorf("run ended %d ms after the fence, want at least %d", took, want)
	}
}

// While the store is silent, leases are renewed for as long as all other entries answer
// that they know no later owner, up to a limit.
func TestLeasesAreRenewedOnProofOfOtherEntries(t *testing.T) {
	renewedFor := func(provenFor clock.Millis) clock.Millis {
		m := newOwnerWithRun(t)
		confirmedAt := m.owner.ownershipConfirmedAt
		for m.owner.inRenewWindow() {
			if m.now-confirmedAt <= provenFor {
				m.owner.NoLaterOwner(m.now)
			}
			m.advance(1)
		}
		return m.now - confirmedAt
	}
	times := DefaultTimes(6000, clock.Minute)
	got := []clock.Millis{renewedFor(0), renewedFor(3000), renewedFor(clock.Minute)}
	want := []clock.Millis{times.RenewWindow, 3000 + times.RenewWindow, times.RenewLimit}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("renewed without proof, with proof for 3 s, and for long (-want +got):\n%s", diff)
	}
}
