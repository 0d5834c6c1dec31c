package queue_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/batch/quota"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

var benchSizes = []int{1_000, 100_000, 500_000}

func items(count int) []queue.Item {
	random := rand.New(rand.NewPCG(1, 1))
	all := make([]queue.Item, count)
	for i := range all {
		all[i] = queue.Item{
			ID: fmt.Sprintf("cell.0-%016x", i), Team: fmt.Sprint("team-", random.IntN(200)), Class: route.Batch, Lane: "p",
			Size:  amount.Amount{MilliCores: 250 + random.Int64N(8000), MemoryMB: 500 + random.Int64N(30_000)},
			Since: clock.Millis(i),
		}
	}
	return all
}

func loaded(all []queue.Item) (*queue.Queue, *quota.Shares) {
	var teams []route.Team
	for i := range 200 {
		teams = append(teams, route.Team{Name: fmt.Sprint("team-", i), Quota: amount.Amount{MilliCores: 1000, MemoryMB: 4000}})
	}
	shares := quota.New(teams, amount.Amount{MilliCores: 200_000, MemoryMB: 800_000})
	waiting := queue.New(queue.Options{Share: shares.Share})
	for _, item := range all {
		_ = waiting.Push(item)
	}
	return waiting, shares
}

// BenchmarkPick takes a task and puts it back: from a cell with room, and in a
// full one, where each call comes after room was freed for the smallest only.
func BenchmarkPick(b *testing.B) {
	for _, count := range benchSizes {
		for _, room := range []string{"free", "full"} {
			b.Run(fmt.Sprint(room, "/", count), func(b *testing.B) {
				waiting, shares := loaded(items(count))
				small := amount.Amount{MilliCores: 1000, MemoryMB: 2000}
				now := clock.Millis(0)
				for b.Loop() {
					now += 10
					waiting.FreedRoom(small, small)
					item, ok := waiting.Pick(now, func(item queue.Item) bool { return room == "free" || small.Fits(item.Size) })
					if ok {
						shares.Charge(item.Team, item.Size)
						_ = waiting.Push(item)
					}
				}
			})
		}
	}
}

// BenchmarkPush and BenchmarkRemove are waves: time and bytes for each task.
func BenchmarkPush(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			all := items(count)
			for b.Loop() {
				var before, after runtime.MemStats
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&before)
				b.StartTimer()
				waiting, _ := loaded(all)
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(waiting)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/task")
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/task")
		})
	}
}

func BenchmarkRemove(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			all := items(count)
			waiting, _ := loaded(all)
			random := rand.New(rand.NewPCG(2, 2))
			for b.Loop() {
				for _, at := range random.Perm(count) {
					waiting.Remove(all[at].ID)
				}
				b.StopTimer()
				waiting, _ = loaded(all)
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/task")
		})
	}
}
