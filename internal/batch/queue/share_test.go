package queue_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/batch/quota"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// TestTeamsShare fills a cell from two busy teams and a third without quota:
// teams within quota get their parts, idle quota is used by others, and a team
// without quota comes last.
func TestTeamsShare(t *testing.T) {
	whole := amount.Amount{MilliCores: 100_000, MemoryMB: 100_000}
	teams := []route.Team{
		{Name: "cores", Quota: amount.Amount{MilliCores: 30_000, MemoryMB: 30_000}},
		{Name: "memory", Quota: amount.Amount{MilliCores: 10_000, MemoryMB: 10_000}},
	}
	shares := quota.New(teams, whole)
	waiting := queue.New(queue.Options{Share: shares.Share})
	sizes := map[string]amount.Amount{
		"cores":  {MilliCores: 1000, MemoryMB: 200},
		"memory": {MilliCores: 200, MemoryMB: 1000}, // dominant in the other dimension
		"none":   {MilliCores: 500, MemoryMB: 500},
	}
	push := func(team string, count int) {
		for i := range count {
			item := queue.Item{ID: fmt.Sprint(team, i), Team: team, Class: route.Batch, Size: sizes[team]}
			if err := waiting.Push(item); err != nil {
				t.Fatal(err)
			}
		}
	}
	free := whole
	started := map[string]int{}
	fill := func() {
		for {
			item, ok := waiting.Pick(0, func(item queue.Item) bool { return free.Fits(item.Size) })
			if !ok {
				return
			}
			free = free.Sub(item.Size)
			shares.Charge(item.Team, item.Size)
			started[item.Team]++
		}
	}
	push("cores", 30)
	push("memory", 200)
	push("none", 200)
	fill()
	// "cores" ends within quota, "memory" takes idle memory above its own until
	// its share, 1.7, passes that of the team without quota, 1.665, and the
	// processors are used up: 30*1000 + 17*200 + 133*500 = 99,900.
	want := map[string]int{"cores": 30, "memory": 17, "none": 133}
	got := map[string]int{"cores": started["cores"], "memory": started["memory"], "none": started["none"]}
	if diff := gocmp.Diff(want, got); diff != "" {
		t.Errorf("starts differ (-want +got):\n%s", diff)
	}
}

// TestLimit shows that a full queue refuses new tasks with a promise, loses
// none and takes back accepted ones.
func TestLimit(t *testing.T) {
	waiting := queue.New(queue.Options{Limit: 2})
	item := func(id string) queue.Item { return queue.Item{ID: id, Class: route.Batch} }
	for _, id := range []string{"a", "b"} {
		if err := waiting.Push(item(id)); err != nil {
			t.Fatal(err)
		}
	}
	err := waiting.Push(item("c"))
	if !errors.Is(err, queue.ErrFull) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("at the limit: %v", err)
	}
	if err := waiting.Restore(item("c")); err != nil {
		t.Errorf("an accepted task was refused: %v", err)
	}
	if err := waiting.Restore(item("a")); !errors.Is(err, queue.ErrTwice) {
		t.Errorf("a second of the same id: %v", err)
	}
	if waiting.Len() != 3 {
		t.Errorf("%d wait, want 3", waiting.Len())
	}
}

// TestTriesAreBounded shows that one call offers no more than its bound and
// that the next ones go on behind it, so that nothing is cut off for ever.
func TestTriesAreBounded(t *testing.T) {
	const count, bound = 40, 8
	waiting := queue.New(queue.Options{MaxTries: bound, Patience: clock.Hour})
	for i := range count {
		// No size contains another, so that each must be offered.
		size := amount.Amount{MilliCores: 1 << i, MemoryMB: 1 << (count - i)}
		if err := waiting.Push(queue.Item{ID: fmt.Sprint(i), Class: route.Batch, Size: size, Since: clock.Millis(i)}); err != nil {
			t.Fatal(err)
		}
	}
	offered := map[string]bool{}
	for call := range count / bound {
		tries := 0
		waiting.Pick(0, func(item queue.Item) bool {
			tries++
			offered[item.ID] = true
			return false
		})
		if tries != bound {
			t.Errorf("call %d made %d tries, want %d", call, tries, bound)
		}
	}
	_ = waiting.Push(queue.Item{ID: "late", Class: route.Batch, Size: amount.Amount{MilliCores: 1 << count, MemoryMB: 1 << count}})
	waiting.Pick(0, func(item queue.Item) bool {
		t.Errorf("%s was offered, though smaller ones were refused", item.ID)
		return false
	})
	if len(offered) != count {
		t.Errorf("%d of %d were offered", len(offered), count)
	}
}

// TestCancelledWave removes most tasks of a line and takes the rest by age.
func TestCancelledWave(t *testing.T) {
	const count = 2000
	random := rand.New(rand.NewPCG(3, 3))
	waiting := queue.New(queue.Options{})
	for i, since := range random.Perm(count) {
		if err := waiting.Push(queue.Item{ID: fmt.Sprint(i), Class: route.Batch, Since: clock.Millis(since)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range random.Perm(count)[:count-100] {
		if !waiting.Remove(fmt.Sprint(i)) || waiting.Remove(fmt.Sprint(i)) {
			t.Fatalf("task %d is not removed once", i)
		}
	}
	last, picked := clock.Millis(-1), 0
	for {
		item, ok := waiting.Pick(0, func(queue.Item) bool { return true })
		if !ok {
			break
		}
		if item.Since < last {
			t.Errorf("a task of %d came after one of %d", item.Since, last)
		}
		last = item.Since
		picked++
	}
	if picked != 100 || waiting.Len() != 0 {
		t.Errorf("%d tasks came, %d are left", picked, waiting.Len())
	}
}
