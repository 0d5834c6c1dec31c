package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// cell is a queue and workers in virtual time, kept full with small tasks.
type cell struct {
	random  *rand.Rand
	index   *placement.Index
	waiting *queue.Queue
	runs    []running
	serial  int
	holds   bool
}

type running struct {
	id   string
	vm   string
	size amount.Amount
	ends clock.Millis
}

const (
	hosts     = 64
	hostCores = 16_000
	longest   = 300 * clock.Second // run of a small task
)

func newCell(holds bool) *cell {
	c := &cell{
		random: rand.New(rand.NewPCG(5, 5)), index: placement.New(5),
		waiting: queue.New(queue.Options{}), holds: holds,
	}
	for i := range hosts {
		c.index.Put(placement.Worker{Name: fmt.Sprint(i), Pool: "p", Size: amount.Amount{MilliCores: hostCores}})
	}
	return c
}

func (c *cell) step(now clock.Millis) {
	c.runs = slices.DeleteFunc(c.runs, func(run running) bool {
		if run.ends > now {
			return false
		}
		c.index.Release(run.vm, run.size)
		c.waiting.Freed()
		return true
	})
	for c.waiting.Len() < 50 {
		c.serial++
		size := amount.Amount{MilliCores: 1000 << c.random.IntN(3)}
		_ = c.waiting.Push(queue.Item{ID: fmt.Sprint(c.serial), Class: route.Batch, Size: size, Since: now})
	}
	for c.start(now) {
	}
}

func (c *cell) start(now clock.Millis) bool {
	var vm string
	item, ok := c.waiting.Pick(now, func(item queue.Item) bool {
		vm, _ = c.index.Place(placement.Need{
			Size: item.Size, Pools: []string{"p"}, Class: route.Batch,
			Job: item.ID, Overdue: c.holds && item.Overdue,
		})
		return vm != ""
	})
	if !ok {
		return false
	}
	c.index.Commit(vm, item.Size)
	ends := now + longest/5 + clock.Millis(c.random.Int64N(int64(longest*4/5)))
	c.runs = append(c.runs, running{item.ID, vm, item.Size, ends})
	return true
}

// idle returns the part of all processors that no task has.
func (c *cell) idle() float64 {
	used := int64(0)
	for _, run := range c.runs {
		used += run.size.MilliCores
	}
	return 1 - float64(used)/(hosts*hostCores)
}

// waitOfLarge returns how long a task as large as a worker waits in a full
// cell, an hour at most, and the processors that are idle meanwhile.
func waitOfLarge(holds bool) (wait clock.Millis, idle float64) {
	c := newCell(holds)
	for now := clock.Millis(0); now < clock.Minute; now += clock.Second {
		c.step(now)
	}
	large := queue.Item{ID: "large", Class: route.Batch, Size: amount.Amount{MilliCores: hostCores}, Since: clock.Minute}
	_ = c.waiting.Push(large)
	for ; wait < clock.Hour; wait += clock.Second {
		c.step(large.Since + wait)
		if slices.ContainsFunc(c.runs, func(run running) bool { return run.id == large.ID }) {
			break
		}
		idle += c.idle()
	}
	return wait, idle / float64(wait/clock.Second)
}

// TestLargeTaskStarts shows that a task as large as a worker starts soon after
// the longest small task has ended, and not within the hour without holds.
func TestLargeTaskStarts(t *testing.T) {
	wait, idle := waitOfLarge(true)
	t.Logf("large task started after %d s, %.2f%% of processors idle", wait/clock.Second, 100*idle)
	if patience := 30 * clock.Second; wait > patience+longest {
		t.Errorf("large task waited %d ms", wait)
	}
	if idle > 0.05 {
		t.Errorf("%.3f of processors were idle for it", idle)
	}
	if wait, _ := waitOfLarge(false); wait < 50*clock.Minute {
		t.Errorf("started after %d ms without holds: the test shows nothing", wait)
	}
}

// TestHold follows a hold from its start to the placement it was for.
func TestHold(t *testing.T) {
	index := placement.New(1)
	size := amount.Amount{MilliCores: 8000}
	index.Put(placement.Worker{Name: "a", Pool: "p", Size: size})
	small := amount.Amount{MilliCores: 2000}
	index.Commit("a", small)
	need := func(job string, size amount.Amount, class route.Class, overdue bool) placement.Need {
		return placement.Need{Size: size, Pools: []string{"p"}, Class: class, Job: job, Overdue: overdue}
	}
	var got []string
	place := func(need placement.Need) {
		vm, refusal := index.Place(need)
		got = append(got, fmt.Sprintf("%s %q %s", need.Job, vm, refusal.Kind))
	}
	place(need("large", size, route.Batch, true))    // held from here
	place(need("small", small, route.Batch, false))  // kept off
	place(need("urgent", small, route.Urgent, true)) // not kept off
	index.Unhold("large")
	place(need("small", small, route.Batch, false))
	place(need("large", size, route.Batch, true))
	index.Release("a", small)
	place(need("small", small, route.Batch, false))
	index.Put(placement.Worker{Name: "b", Pool: "p", Size: size, Committed: small})
	index.Commit("a", size)
	place(need("large", size, route.Batch, true)) // b is closer now, the hold moves
	index.Release("a", size)
	place(need("small", small, route.Batch, false))
	index.Put(placement.Worker{Name: "b", Pool: "p", Size: size, SetAside: true})
	index.Commit("a", small)
	place(need("large", size, route.Batch, true)) // back to a, as b is set aside
	index.Release("a", small)
	place(need("small", small, route.Batch, false))
	place(need("large", size, route.Batch, true)) // ends the hold
	place(need("small", small, route.Batch, false))
	index.Commit("a", size)
	vm, lacking := index.Preempt(need("urgent", small, route.Urgent, false))
	got = append(got, fmt.Sprintf("preempt %q %d", vm, lacking.MilliCores))
	index.Release("a", size)
	place(need("second", small, route.Urgent, false)) // kept off by the urgent hold
	place(need("urgent", small, route.Urgent, false))
	place(need("second", small, route.Urgent, false))
	want := []string{
		`large "" no_room`, `small "" no_room`, `urgent "a" `,
		`small "a" `, `large "" no_room`, `small "" no_room`,
		`large "" no_room`, `small "a" `, `large "" no_room`, `small "" no_room`, `large "a" `, `small "a" `,
		`preempt "a" 2000`, `second "" no_room`, `urgent "a" `, `second "a" `,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions differ (-want +got):\n%s", diff)
	}
}

// TestCharge holds what is committed between the declared size and the free
// room of the worker.
func TestCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared, observed := drawAmount(t, "declared", 8, 8, 2), drawAmount(t, "observed", 16, 16, 4)
		free := drawAmount(t, "free", 8, 8, 2).Sub(drawAmount(t, "over", 4, 4, 1))
		got := placement.Charge(declared, observed, free)
		room := declared.Add(free.Max(amount.Amount{}))
		if !got.Fits(declared) || !room.Fits(got) || !declared.Max(observed).Fits(got) {
			t.Fatalf("charged %v for declared %v, observed %v, free %v", got, declared, observed, free)
		}
		if room.Fits(observed) && got != declared.Max(observed) {
			t.Fatalf("charged %v, want the larger of %v and %v", got, declared, observed)
		}
	})
}
