package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// setCustomers applies tables with other customers.
func (b *ownerHarness) setCustomers(customers ...manifest.Customer) {
	tables := b.owner.tables.WithCustomers(customers)
	tables.Version++
	b.owner.SetManifest(tables)
}

// submitFor submits a job for a customer and returns the verdict.
func (b *ownerHarness) submitFor(customer string, number int, steps ...job.Step) *Verdict {
	spec := jobSpec(fmt.Sprintf("%016x", number), steps...)
	spec.Customer = customer
	verdict := &Verdict{Reason: "no answer"}
	b.owner.Submit(spec, func(given Verdict) { *verdict = given })
	b.deliverPending()
	return verdict
}

// running counts the runs on all workers.
func (b *ownerHarness) running() int {
	count := 0
	for _, runs := range b.runs {
		count += len(runs)
	}
	return count
}

// TestQuotaVerdicts checks which submissions a limit refuses: a task that could
// never run, and long-running tasks that do not fit beside those accepted before.
func TestQuotaVerdicts(t *testing.T) {
	b := loadedHarness(4)
	b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 4000}})
	serving := func(count int) job.Step { return job.Step{Count: count, MilliCPU: 1000, Lasting: true} }
	verdicts := []*Verdict{
		b.submitFor("a", 1, job.Step{Count: 1, MilliCPU: 4001}),
		b.submitFor("", 2, job.Step{Count: 1, MilliCPU: 4001}),
		b.submitFor("a", 3, serving(3)),
		b.submitFor("a", 4, serving(2)),
		b.submitFor("", 5, serving(5)),
		b.submitFor("a", 6, serving(1)),
	}
	b.owner.Cancel(JobRef{ID: "0000000000000003", Customer: "a"}, func(Verdict) {})
	b.deliverPending()
	verdicts = append(verdicts, b.submitFor("a", 7, serving(3)))
	var got []Ruling
	for _, verdict := range verdicts {
		got = append(got, verdict.Ruling)
	}
	want := []Ruling{Invalid, Recorded, Recorded, Refused, Recorded, Recorded, Recorded}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
	if verdicts[0].Reason == "" || verdicts[3].RetryAfter == 0 {
		t.Errorf("no reason, or no RetryAfter: %v, %v", *verdicts[0], *verdicts[3])
	}
}

// TestQuotaKeepsOthersGoing checks that tasks held back by a limit neither reserve
// workers nor keep jobs of others behind them waiting, and what the dump and the
// log say about them.
func TestQuotaKeepsOthersGoing(t *testing.T) {
	b := loadedHarness(2)
	var log bytes.Buffer
	b.owner.options.Log = zerolog.New(&log)
	b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 2000}}, manifest.Customer{Name: "b"})
	const held = 400 // more than a pass rated in vain before its bound was one of cost
	for i := range held {
		b.submitFor("a", i+1, job.Step{Count: 1, MilliCPU: 1000, Fills: i%2 == 0})
	}
	b.submitFor("b", 5000, job.Step{Count: 3, MilliCPU: 1000})
	for range 20 {
		b.now += 300
		b.owner.Tick()
		b.reportAll()
		b.deliverPending()
	}
	if diff := cmp.Diff(5, b.running()); diff != "" {
		t.Errorf("running tasks (-want +got):\n%s", diff)
	}
	dump := b.owner.Dump()
	got := []any{dump.Customers[0].WaitingQuota, dump.Customers[0].Running, dump.Blocked["quota"], dump.WaitingCPU, b.owner.reservations.reserved}
	if diff := cmp.Diff([]any{398, int64(2), 398, int64(0), 0}, got); diff != "" {
		t.Errorf("waiting for quota, running, blocked, waiting milli-CPU, reservations (-want +got):\n%s", diff)
	}
	if lines := strings.Count(log.String(), "customer_limit_reached"); lines != 1 {
		t.Errorf("%d lines on the limit, want 1", lines)
	}
}

// TestLoweredLimitAndCustomerThatLeaves checks that a lowered limit starts nothing
// until enough has ended, that the work of a customer that leaves runs on without a
// limit, and that a key that moves gives the new customer an account of its own.
func TestLoweredLimitAndCustomerThatLeaves(t *testing.T) {
	b := loadedHarness(4)
	limited := func(name string, cpu int64) manifest.Customer {
		return manifest.Customer{Name: name, Keys: []manifest.Key{manifest.NewKey("k")}, Limit: fleet.Room{MilliCPU: cpu}}
	}
	b.setCustomers(limited("a", 4000))
	b.submitFor("a", 1, job.Step{Count: 9, MilliCPU: 1000})
	var got []int
	note := func() {
		b.deliverPending()
		got = append(got, b.running())
	}
	note()
	b.setCustomers(limited("a", 2000))
	for task, run := range b.runs["w00000"] { // two tasks less than before keep the limit, a third lets one start
		if len(b.runs["w00000"]) > 2 {
			delete(b.runs["w00000"], task)
			b.reportEnd("w00000", task, run)
		}
	}
	note()
	b.setCustomers(limited("b", 2000)) // a has left, and its key is that of b
	note()
	b.submitFor("b", 2, job.Step{Count: 9, MilliCPU: 1000})
	note()
	if diff := cmp.Diff([]int{4, 2, 7, 9}, got); diff != "" {
		t.Errorf("running tasks (-want +got):\n%s", diff)
	}
}

// TestLateStartCountsAgainstQuota checks that a start without an answer counts after
// its run was ended for another incarnation, until it can no longer begin.
func TestLateStartCountsAgainstQuota(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 1000}})
	accept := b.owner.options.Effects.Start
	var lost []fleet.Start
	b.owner.options.Effects.Start = func(order fleet.Start) { lost = append(lost, order) }
	b.submitFor("a", 1, job.Step{Count: 1, MilliCPU: 1000})
	b.owner.Started(lost[0], fleet.Answer{Outcome: fleet.Unanswered})
	b.owner.workers["w00000"].holdAddress = b.owner.workers["w00000"].currentAddress()
	b.owner.Report("w00000", fleet.Report{Outcome: fleet.OtherIncarnation})
	b.owner.Cancel(JobRef{ID: "0000000000000001", Customer: "a"}, func(Verdict) {})
	b.owner.options.Effects.Start = accept
	b.submitFor("a", 2, job.Step{Count: 1, MilliCPU: 1000})
	var got []int
	for range 2 {
		for range 10 {
			b.now += clock.Second
			b.owner.Tick()
			b.reportAll()
			b.deliverPending()
		}
		got = append(got, b.running())
	}
	if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
		t.Errorf("running tasks 10 and 20 s after the lost start (-want +got):\n%s", diff)
	}
}

// TestNextOwnerCountsInheritedRuns checks that a new owner counts the recorded runs
// before their workers have reported.
func TestNextOwnerCountsInheritedRuns(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.drawWork = sim.drawLongWork
	sim.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 5000}})
	first := sim.simOwner()
	sim.at(500, func() {
		sim.submit(first, jobSpec("0000000000000001", job.Step{Count: 9, MilliCPU: 1000, MemoryMB: 10}))
	})
	var used []fleet.Room
	sim.at(590, func() {
		first.down = true
		next := sim.simOwner()
		used = append(used, first.owner.quotas.Account("a").Used(), next.owner.quotas.Account("a").Used())
	})
	sim.run(700)
	want := fleet.Room{MilliCPU: 5000, MemoryMB: 50}
	if diff := cmp.Diff([]fleet.Room{want, want}, used); diff != "" {
		t.Errorf("counted by the first and the next owner (-want +got):\n%s", diff)
	}
}

// TestObjectiveCountsWaves checks that a step wider than its customer's limit is
// expected to take as many task lengths as it runs in waves.
func TestObjectiveCountsWaves(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 2000}})
	step := job.Step{Count: 5, MilliCPU: 1000, EstimateMS: 400}
	length := func(customer string, number int) clock.Millis {
		b.submitFor(customer, number, step)
		j := b.owner.jobs[job.ID(fmt.Sprintf("%016x", number))]
		return j.deadlines.dueAt - j.submittedAt
	}
	if diff := cmp.Diff([]clock.Millis{400, 1200}, []clock.Millis{length("", 1), length("a", 2)}); diff != "" {
		t.Errorf("objective without a customer and with the limit of two tasks (-want +got):\n%s", diff)
	}
}

// TestRunsThatTheOwnerEndedCount checks that a run which a worker lists although the
// owner has ended it counts until the worker lists it no more, and that an
// unanswered start counts again when its worker restarts, as the new incarnation
// does not know that its run has ended.
func TestRunsThatTheOwnerEndedCount(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 4000}})
	b.submitFor("a", 1, job.Step{Count: 1, MilliCPU: 1000})
	w, account := b.owner.workers["w00000"], b.owner.quotas.Account("a")
	id := job.Task{Job: "0000000000000001"}
	var got []int64
	note := func() {
		b.deliverPending()
		got = append(got, account.Tasks())
	}
	note()
	delete(b.runs[w.id], id)
	b.reportEnd(w.id, id, 1)
	note()
	b.runs[w.id][id] = 1 // still listed
	b.now += clock.Second
	b.reportAll()
	note()
	b.now += clock.Second
	b.reportAll() // without it, after the stop was confirmed
	note()
	w.uncertainStarts = append(w.uncertainStarts, uncertainStart{task: id, run: 1, incarnation: 1, at: b.now})
	entry := w.entry
	entry.Incarnation = 2
	b.owner.SetWorkers([]fleet.Entry{entry})
	note()
	b.now += uncertainStartTTL + b.owner.slowClockSpan(b.owner.options.Times.LongestLease)
	b.owner.Tick()
	note()
	if diff := cmp.Diff([]int64{1, 0, 1, 0, 1, 0}, got); diff != "" {
		t.Errorf("tasks counted: running, ended, listed again, stopped, worker restarted, too late to begin (-want +got):\n%s", diff)
	}
}

// TestLimitLoweredBeforeStart checks that runs which were recorded under a higher
// limit are not started above the lowered one, and that an unanswered start is
// stopped instead of repeated.
func TestLimitLoweredBeforeStart(t *testing.T) {
	b := loadedHarness(1)
	limited := func(cpu int64) manifest.Customer {
		return manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: cpu}}
	}
	b.setCustomers(limited(4000))
	spec := jobSpec("0000000000000001", job.Step{Count: 4, MilliCPU: 1000})
	spec.Customer = "a"
	b.owner.Submit(spec, func(Verdict) {})
	b.owner.Flush()
	b.setCustomers(limited(2000))
	accept := b.owner.options.Effects.Start
	var lost []fleet.Start
	b.owner.options.Effects.Start = func(order fleet.Start) { lost = append(lost, order) }
	b.deliverPending()
	b.setCustomers(limited(1000))
	for _, order := range lost {
		b.owner.Started(order, fleet.Answer{Outcome: fleet.Unanswered})
	}
	b.owner.options.Effects.Start = accept
	b.now += b.owner.options.Times.OrderRetry
	b.owner.Tick()
	got := []int{len(lost), len(b.stops), b.running()}
	if diff := cmp.Diff([]int{2, 2, 0}, got); diff != "" {
		t.Errorf("started under the limit of two, stopped and repeated under that of one (-want +got):\n%s", diff)
	}
}
