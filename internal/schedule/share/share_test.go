package share_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/share"
)

type usage struct{ used fleet.Room }

func (u *usage) Used() fleet.Room { return u.used }

// work is a number of equal tasks.
type work struct {
	of    *usage
	tasks int
	room  fleet.Room
}

// serve places tasks of all customers until the workers are full, and returns how many.
func serve(queue *share.FairQueue[*usage, work], total fleet.Room) map[*usage]int {
	placed := map[*usage]int{}
	free := total
	for !queue.Empty() {
		next, until := queue.Next()
		for next.tasks > 0 && next.room.FitsIn(free) && share.Dominant(next.of.used, total) <= until {
			next.tasks--
			placed[next.of]++
			next.of.used = next.of.used.Plus(next.room, 1)
			free = free.Plus(next.room, -1)
		}
		if next.tasks > 0 && next.room.FitsIn(free) {
			queue.Keep(next)
			continue
		}
		queue.Done()
	}
	return placed
}

// TestWeights checks that full workers are divided by weights, whoever came first,
// and that shares without work go to the others.
func TestWeights(t *testing.T) {
	total := fleet.Room{MilliCPU: 700_000, MemoryMB: 700_000}
	one := fleet.Room{MilliCPU: 1000, MemoryMB: 500}
	a, b, c, idle := &usage{}, &usage{}, &usage{}, &usage{}
	queue := share.New[*usage, work](total)
	queue.Add(a, 1, work{a, 400, one})
	queue.Add(a, 1, work{a, 400, one})
	queue.Add(b, 2, work{b, 800, one})
	queue.Add(c, 4, work{c, 800, one})
	queue.Add(idle, 100, work{idle, 10, one})
	placed := serve(queue, total)
	got := []bool{within(placed[a], 690/7, 20), within(placed[b], 2*690/7, 20), within(placed[c], 4*690/7, 20), placed[idle] == 10}
	if diff := cmp.Diff([]bool{true, true, true, true}, got); diff != "" {
		t.Errorf("placed %d, %d, %d, %d; near their shares (-want +got):\n%s", placed[a], placed[b], placed[c], placed[idle], diff)
	}
}

func within(got, want, margin int) bool { return got >= want-margin && got <= want+margin }

// TestDominantResource checks that a customer of large memory and one of many
// processors get equal shares of what each needs most.
func TestDominantResource(t *testing.T) {
	total := fleet.Room{MilliCPU: 90_000, MemoryMB: 180_000}
	memory, processors := &usage{}, &usage{}
	queue := share.New[*usage, work](total)
	queue.Add(memory, 1, work{memory, 1000, fleet.Room{MilliCPU: 1000, MemoryMB: 4000}})
	queue.Add(processors, 1, work{processors, 1000, fleet.Room{MilliCPU: 3000, MemoryMB: 1000}})
	serve(queue, total)
	got := []float64{share.Dominant(memory.used, total), share.Dominant(processors.used, total)}
	if got[0] < 0.6 || got[1] < 0.6 {
		t.Errorf("dominant shares %v, want about two thirds each", got)
	}
}

// TestWorkOfOneCustomerKeepsItsOrder checks that turns do not reorder a customer's
// own work.
func TestWorkOfOneCustomerKeepsItsOrder(t *testing.T) {
	a, b := &usage{}, &usage{}
	queue := share.New[*usage, string](fleet.Room{MilliCPU: 10})
	for _, name := range []string{"a1", "a2", "a3"} {
		queue.Add(a, 1, name)
	}
	queue.Add(b, 1, "b1")
	var got []string
	for !queue.Empty() {
		name, _ := queue.Next()
		got = append(got, name)
		if name[0] == 'a' {
			a.used.MilliCPU++
		}
		queue.Done()
	}
	if diff := cmp.Diff([]string{"a1", "b1", "a2", "a3"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestBucket checks that a bucket starts full, admits its rate and a burst of four
// seconds of it, and admits a submission at once at a low rate.
func TestBucket(t *testing.T) {
	count := func(bucket *share.Bucket, rate float64, from, to clock.Millis) int {
		taken := 0
		for now := from; now < to; now += 10 {
			if bucket.Take(now, rate) {
				taken++
			}
		}
		return taken
	}
	fast, slow := &share.Bucket{}, &share.Bucket{}
	got := []int{
		count(fast, 5, clock.Hour, clock.Hour+10*clock.Second),                    // 20 at once, and 5 a second
		count(fast, 5, clock.Hour+20*clock.Second, clock.Hour+20*clock.Second+10), // one of a full bucket
		count(slow, 0.1, clock.Hour, clock.Hour+5*clock.Second),
	}
	if diff := cmp.Diff([]int{69, 1, 1}, got); diff != "" {
		t.Errorf("submissions in time (-want +got):\n%s", diff)
	}
	if fast.TakeOverflow(clock.Hour+20*clock.Second+10, 5) || !fast.TakeOverflow(clock.Hour+21*clock.Second, 5) {
		t.Error("a token is taken from a bucket that is not full, or not from a full one")
	}
	if diff := cmp.Diff(clock.Millis(4000), share.TimeToServe(2, 0.5)); diff != "" {
		t.Errorf("time to serve (-want +got):\n%s", diff)
	}
}
