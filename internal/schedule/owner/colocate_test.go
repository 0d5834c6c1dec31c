package owner

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/interference"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// ownerHarness drives an owner by hand: appends are acknowledged and starts
// accepted at once, and reports have the values that the test sets.
type ownerHarness struct {
	owner          *Owner
	now            clock.Millis
	paces          []fleet.Pace
	stops          []fleet.Stop
	runs           map[string]map[job.Task]int // by worker id
	deliverPending func()                      // answers the pending appends and orders
}

func newHarness(entries ...fleet.Entry) *ownerHarness {
	b := &ownerHarness{now: clock.Hour, runs: map[string]map[job.Task]int{}}
	var due []func()
	b.owner = New(Options{
		Epoch: 1, Now: func() clock.Millis { return b.now }, WallClock: func() int64 { return int64(b.now) },
		Times: DefaultTimes(6000, 1000), Log: zerolog.Nop(), Metrics: NewMetrics(metrics.NewSet()),
		Effects: Effects{
			Append: func([]journal.Record) { due = append(due, func() { b.owner.Appended(journal.Done) }) },
			Start: func(order fleet.Start) {
				b.runs[order.To.ID][order.Task] = order.Run
				due = append(due, func() { b.owner.Started(order, fleet.Answer{ClockMS: int64(b.now)}) })
			},
			Stop: func(order fleet.Stop) {
				b.stops = append(b.stops, order)
				delete(b.runs[order.To.ID], order.Task)
				due = append(due, func() { b.owner.Stopped(order, fleet.Answer{ClockMS: int64(b.now)}) })
			},
			Pace:   func(order fleet.Pace) { b.paces = append(b.paces, order) },
			Hold:   func(fleet.Hold) {},
			Resign: func(string) {},
		},
	})
	queues := []manifest.Queue{{Name: "q", Pools: []string{"pool"}, MaxFailures: 4}}
	b.owner.SetManifest(manifest.New(1, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
	for _, entry := range entries {
		b.runs[entry.ID] = map[job.Task]int{}
	}
	b.owner.SetWorkers(entries)
	flush := b.owner.Flush
	b.deliverPending = func() {
		for range 20 {
			flush()
			acts := due
			due = nil
			for _, act := range acts {
				act()
			}
			b.now += b.owner.options.Times.AppendGap
		}
	}
	return b
}

// report sends a worker's report with the usage that the test gives its runs. Before it, the
// other entries answer that they know no later owner: tests let time pass without an append,
// after which no lease would be granted.
func (b *ownerHarness) report(id string, usage func(task job.Task) int64) {
	b.owner.NoLaterOwner(b.now)
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
	for task, run := range b.runs[id] {
		report.Running = append(report.Running, fleet.Run{Task: task, Run: run, Usage: usage(task), Percent: int(b.now/10) % 100})
	}
	b.owner.workers[id].holdSentAt = b.now - 1
	b.owner.Report(id, report)
}

// trainEstimate makes the owner learn the interference of the best-effort image
// with the serving image.
func (b *ownerHarness) trainEstimate(weight float64) {
	const reports = 200
	for range reports {
		b.owner.interference.Observe(interference.Sample{
			Serving: "s", Group: "g", Headroom: interference.InitialHeadroom - weight*0.1, Loads: []interference.Load{{Image: "f", Share: 0.1}},
		})
	}
}

// bestEffortWorker returns the id of the worker that runs the best-effort task.
func (b *ownerHarness) bestEffortWorker() string {
	for id, runs := range b.runs {
		if runs[job.Task{Job: bestEffortJob}] > 0 {
			return id
		}
	}
	return "none"
}

const (
	servingJob    = "0000000000000001"
	bestEffortJob = "0000000000000002"
	targetMS      = 100
)

func servingSpec(count int) job.Spec {
	return jobSpec(servingJob, job.Step{Count: count, MilliCPU: 2000, Lasting: true, Image: "s", TargetMS: targetMS})
}

func bestEffortSpec(count int) job.Spec {
	return jobSpec(bestEffortJob, job.Step{Count: count, MilliCPU: 2000, Fills: true, Image: "f", EstimateMS: 60000})
}

func testEntry(id string) fleet.Entry {
	return fleet.Entry{ID: id, Incarnation: 1, Service: "pool", Address: id + ":1", Domain: "d", Room: fleet.Room{MilliCPU: 20000, MemoryMB: 1000}}
}

// A single long-running task that stays over its target, while another task of
// its job has a low tail latency, must lead to a pause or a move well before
// the violation counts.
func TestBestEffortTaskIsPausedWhenOneTaskExceedsItsTarget(t *testing.T) {
	b := newHarness(testEntry("w"))
	noUsage := func(job.Task) int64 { return 0 }
	b.report("w", noUsage)
	b.owner.Submit(servingSpec(2), func(Verdict) {})
	b.deliverPending()
	b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
	b.deliverPending()
	if diff := cmp.Diff(3, len(b.runs["w"])); diff != "" {
		t.Fatalf("runs on the worker (-want +got):\n%s", diff)
	}
	start := b.now
	const violationAfter = 4 * clock.Second
	for len(b.paces) == 0 && len(b.stops) == 0 && b.now-start < violationAfter {
		b.report("w", func(task job.Task) int64 {
			switch {
			case task.Job == bestEffortJob:
				return 2000
			case task.Index == 0:
				return targetMS * 6 / 5
			}
			return targetMS * 3 / 10
		})
		b.now += 300
	}
	const maxDelay = violationAfter * 3 / 4 // leaves time for the order to take effect
	if elapsed := b.now - start; elapsed > maxDelay {
		t.Errorf("no pause and no move for %d ms, want one within %d ms", elapsed, maxDelay)
	}
}

// Images known to be incompatible are placed on different workers; a
// best-effort task that does not interfere shares the worker.
func TestIncompatibleImagesGetDifferentWorkers(t *testing.T) {
	for _, test := range []struct {
		name   string
		weight float64
		want   string // worker of the best-effort task
	}{{"incompatible", 15, "empty"}, {"compatible", 0, "serving"}} {
		b := newHarness(testEntry("serving"), testEntry("empty"))
		lowTail := func(task job.Task) int64 { return targetMS / 2 }
		b.report("serving", lowTail)
		b.owner.Submit(servingSpec(2), func(Verdict) {})
		b.deliverPending()
		b.report("empty", lowTail)
		b.trainEstimate(test.weight)
		if test.weight == 0 {
			delete(b.runs, "empty")
			b.owner.workers["empty"].backoffUntil = clock.Hour * 2
		}
		b.now += 2000
		b.report("serving", lowTail)
		if test.weight != 0 {
			b.report("empty", lowTail)
		}
		b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
		b.deliverPending()
		if diff := cmp.Diff(test.want, b.bestEffortWorker()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// An image that is incompatible with most images of long-running tasks is
// placed on a worker without such tasks; an image that is compatible with all
// shares a worker.
func TestWorkersWithoutLongRunningTasksGoToIncompatibleImages(t *testing.T) {
	for _, test := range []struct {
		name   string
		weight float64
		want   string
	}{{"incompatible with all", 15, "empty"}, {"compatible with all", 0, "serving"}} {
		b := newHarness(testEntry("serving"), testEntry("empty"))
		lowTail := func(task job.Task) int64 { return targetMS / 2 }
		b.report("serving", lowTail)
		b.owner.Submit(servingSpec(2), func(Verdict) {})
		b.deliverPending()
		b.trainEstimate(test.weight)
		b.now += 2000
		b.report("serving", lowTail)
		b.report("empty", lowTail)
		b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
		b.deliverPending()
		if diff := cmp.Diff(test.want, b.bestEffortWorker()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Of workers that suit a best-effort task equally, it goes where most processors
// stay idle.
func TestBestEffortTaskGoesWhereMostProcessorsAreIdle(t *testing.T) {
	b := newHarness(testEntry("busy"), testEntry("idle"))
	lowTail := func(job.Task) int64 { return targetMS / 4 }
	b.report("busy", lowTail)
	b.owner.Submit(servingSpec(1), func(Verdict) {})
	b.owner.Submit(jobSpec("0000000000000003", job.Step{Count: 1, MilliCPU: 10000, EstimateMS: 60000}), func(Verdict) {})
	b.deliverPending()
	b.report("idle", lowTail)
	second := servingSpec(1)
	second.ID = "0000000000000004"
	b.owner.workers["busy"].backoffUntil = b.now + 10
	b.owner.Submit(second, func(Verdict) {})
	b.deliverPending()
	b.trainEstimate(0)
	b.now += 2000
	b.report("busy", lowTail)
	b.report("idle", lowTail)
	b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
	b.deliverPending()
	if diff := cmp.Diff("idle", b.bestEffortWorker()); diff != "" {
		t.Errorf("worker of the best-effort task (-want +got):\n%s", diff)
	}
}
