package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// TestTakeoverDoesNotWaitForTheLongestLease plays a worker that restarts behind
// a cut while its owner is killed: the next owner cannot reach it, and must
// still start its tasks again within a few seconds.
func TestTakeoverDoesNotWaitForTheLongestLease(t *testing.T) {
	w := newWorld(t, 1, 3)
	first := w.seat()
	for i := range 6 {
		w.submit(first, w.testJob(i+1))
	}
	w.at(600, func() {
		for _, m := range w.workers {
			m.reach = m.Entry.ID == "w00-a"
		}
	})
	w.at(3600, func() { first.dead = true })
	var took clock.Millis
	w.at(4200, func() {
		next := w.seat()
		claimed := w.now
		var watch func()
		watch = func() {
			for _, unreachable := range next.own.ordered {
				if unreachable.contactAt == 0 && len(unreachable.runs) > 0 {
					w.at(50, watch)
					return
				}
			}
			took = w.now - claimed
		}
		w.at(50, watch)
	})
	w.run(30 * clock.Second)
	if diff := cmp.Diff([]string(nil), w.faults); diff != "" {
		t.Errorf("promises broken (-want +got):\n%s", diff)
	}
	const most = 4 * clock.Second // well below the seven for which a lasting task may be away
	if took == 0 || took > most {
		t.Errorf("runs of workers out of reach were over %d ms after the takeover, want at most %d", took, most)
	}
}

// TestWorkerThatWasSilentAndUnlisted plays a worker that is cut off until its
// entry has expired and its leases have lapsed, and comes back. The next owner
// must not take it for silent still.
func TestWorkerThatWasSilentAndUnlisted(t *testing.T) {
	w := newWorld(t, 3, 3)
	first := w.seat()
	for i := range 60 {
		w.at(clock.Millis(i)*200, func() { w.submit(w.current(), w.testJob(i+1)) })
	}
	m := w.workers["w01-b"]
	w.at(1000, func() { m.reach = false })
	w.at(9000, func() { m.unlisted = true })
	w.at(9500, func() { m.reach = true })
	w.at(10000, func() { m.unlisted = false })
	other := w.workers["w02-c"] // makes the owner write its list once the leases have lapsed
	w.at(7300, func() { other.reach = false })
	w.at(14000, func() { other.reach = true })
	w.at(11000, func() { first.dead = true })
	w.at(11500, func() { w.seat() })
	for i := range 200 {
		w.at(clock.Millis(i)*100, w.judge)
	}
	w.run(40 * clock.Second)
	w.checkEnd(w.current())
	if diff := cmp.Diff([]string(nil), w.faults); diff != "" {
		t.Errorf("promises broken (-want +got):\n%s", diff)
	}
}
