package queue_test

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// naive sorts all waiting tasks for every call.
type naive struct {
	items []queue.Item
	share map[string]float64
}

// rounded drops all but the three leading bits, by another way than the queue.
func rounded(v int64) int64 {
	step := int64(1)
	for bits.Len64(uint64(v/step)) > 3 {
		step *= 2
	}
	return v / step * step
}

func floor(a amount.Amount) amount.Amount {
	return amount.Amount{MilliCores: rounded(a.MilliCores), MemoryMB: rounded(a.MemoryMB), Accelerators: a.Accelerators}
}

func (n *naive) pick(try func(queue.Item) bool) (string, []string) {
	order := slices.Clone(n.items)
	slices.SortStableFunc(order, func(a, b queue.Item) int {
		return cmp.Or(
			cmp.Compare(b.Class, a.Class), // urgent sorts after batch
			cmp.Compare(n.share[a.Team], n.share[b.Team]),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Since, b.Since),
		)
	})
	var tried []string
	var refused []queue.Item
	for _, item := range order {
		passed := slices.ContainsFunc(refused, func(r queue.Item) bool {
			return r.Class == item.Class && r.Lane == item.Lane && floor(item.Size).Fits(floor(r.Size))
		})
		if passed {
			continue
		}
		tried = append(tried, item.ID)
		if try(item) {
			return item.ID, tried
		}
		refused = append(refused, item)
	}
	return "", tried
}

// TestAgainstFullSort compares each offer of a call, in order, with a sort of
// all waiting tasks. With sizes that rounding keeps, refusals are remembered
// between calls, and what is picked must still be the same.
func TestAgainstFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		twin := &naive{share: map[string]float64{}}
		waiting := queue.New(queue.Options{
			Share:    func(team string) float64 { return twin.share[team] },
			Patience: clock.Hour, MaxTries: 10_000,
		})
		remember := rapid.Bool().Draw(t, "remember")
		size := rapid.SampledFrom([]int64{0, 8, 9, 30, 40})
		if remember {
			size = rapid.SampledFrom([]int64{0, 8, 10, 28, 40})
		}
		free := map[string]amount.Amount{} // by lane, one worker each
		serial := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					serial++
					item := queue.Item{
						ID:    fmt.Sprint(serial),
						Team:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
						Class: rapid.SampledFrom([]route.Class{route.Urgent, route.Batch}).Draw(t, "class"),
						Lane:  rapid.SampledFrom([]string{"p", "q"}).Draw(t, "lane"),
						Size:  amount.Amount{MilliCores: size.Draw(t, "cores"), MemoryMB: size.Draw(t, "memory")},
						Since: clock.Millis(rapid.IntRange(0, 20).Draw(t, "since")),
					}
					if err := waiting.Push(item); err != nil {
						t.Fatal(err)
					}
					twin.items = append(twin.items, item)
				}
			},
			"remove": func(t *rapid.T) {
				first := rapid.IntRange(0, serial+1).Draw(t, "first")
				for id := first; id <= first+rapid.IntRange(0, 90).Draw(t, "count"); id++ {
					at := slices.IndexFunc(twin.items, func(item queue.Item) bool { return item.ID == fmt.Sprint(id) })
					if waiting.Remove(fmt.Sprint(id)) != (at >= 0) {
						t.Fatalf("remove %d: twin has it at %d", id, at)
					}
					if at >= 0 {
						twin.items = slices.Delete(twin.items, at, at+1)
					}
				}
			},
			"share": func(t *rapid.T) {
				twin.share[rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team")] = rapid.Float64Range(0, 2).Draw(t, "share")
			},
			"room": func(t *rapid.T) {
				lane := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "lane")
				free[lane] = amount.Amount{MilliCores: rapid.Int64Range(-1, 40).Draw(t, "cores"), MemoryMB: rapid.Int64Range(-1, 40).Draw(t, "memory")}
				waiting.FreedRoom(free[lane], free[lane])
			},
			"pick": func(t *rapid.T) {
				fits := func(item queue.Item) bool { return free[item.Lane].Fits(item.Size) }
				want, wantTried := twin.pick(fits)
				if !remember {
					waiting.Freed()
				}
				var tried []string
				got, _ := waiting.Pick(0, func(item queue.Item) bool {
					tried = append(tried, item.ID)
					return fits(item)
				})
				if got.ID != want {
					t.Fatalf("picked %q, want %q", got.ID, want)
				}
				if diff := gocmp.Diff(wantTried, tried); diff != "" && !remember {
					t.Fatalf("offers differ (-twin +queue):\n%s", diff)
				}
				if len(tried) > len(wantTried) {
					t.Fatalf("offered %v, a queue without memory %v", tried, wantTried)
				}
				twin.items = slices.DeleteFunc(twin.items, func(item queue.Item) bool { return item.ID == want })
			},
			"": func(t *rapid.T) {
				if waiting.Len() != len(twin.items) {
					t.Fatalf("holds %d, want %d", waiting.Len(), len(twin.items))
				}
			},
		})
	})
}
