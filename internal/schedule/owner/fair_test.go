package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// sharePlay plays submissions of customers without faults and measures what each
// gets.
type sharePlay struct {
	sim      *simulation
	number   int
	left     map[job.ID]int // tasks that are not done
	due      map[job.ID]clock.Millis
	inTime   map[string]int // jobs done within their objective, by caller
	jobs     map[string]int // jobs submitted, by caller
	refused  map[string]int
	caller   map[job.ID]string
	byCaller bool // jobs belong to their callers as customers
}

// newSharePlay returns a play with nine workers of eight processors.
func newSharePlay(t *testing.T, byCaller bool, customers ...manifest.Customer) *sharePlay {
	p := &sharePlay{
		sim: newSimulation(t, 7, 9), left: map[job.ID]int{}, due: map[job.ID]clock.Millis{}, inTime: map[string]int{},
		jobs: map[string]int{}, refused: map[string]int{}, caller: map[job.ID]string{}, byCaller: byCaller,
	}
	if byCaller {
		p.sim.setCustomers(customers...)
	}
	for _, m := range p.sim.workers {
		note := m.OnEnd
		m.OnEnd = func(task job.Task, cause fleet.EndCause) {
			note(task, cause)
			p.left[task.Job]--
			if p.left[task.Job] == 0 && p.sim.now <= p.due[task.Job] {
				p.inTime[p.caller[task.Job]]++
			}
		}
	}
	p.sim.simOwner()
	return p
}

// send submits jobs of a caller at a rate, from 0.5 s until a time.
func (p *sharePlay) send(caller string, perSecond float64, tasks int, until clock.Millis) {
	const estimate = 1000
	for at := 500 + p.sim.rng.Float64()*1000/perSecond; at < float64(until); at += (0.5 + p.sim.rng.Float64()) * 1000 / perSecond {
		p.sim.at(clock.Millis(at), func() {
			p.number++
			spec := jobSpec(fmt.Sprintf("%016x", p.number), job.Step{Count: tasks, MilliCPU: 1000, MemoryMB: 10, EstimateMS: estimate})
			if p.byCaller {
				spec.Customer = caller
			}
			p.left[spec.ID], p.caller[spec.ID] = tasks, caller
			p.due[spec.ID] = p.sim.now + 2*estimate + testQueue.ObjectiveAllowance
			p.jobs[caller]++
			p.sim.specs[spec.ID] = spec
			p.sim.deliver(p.sim.currentOwner(), func() {
				p.sim.currentOwner().owner.Submit(spec, func(verdict Verdict) {
					if verdict.Ruling == Refused {
						p.refused[caller]++
					}
				})
			})
		})
	}
}

// inTimeShare is the share of a caller's jobs that were done within their objective.
func (p *sharePlay) inTimeShare(caller string) float64 {
	return float64(p.inTime[caller]) / float64(max(p.jobs[caller], 1))
}

// running counts the tasks that workers run, by caller.
func (p *sharePlay) running() map[string]int {
	counts := map[string]int{}
	for _, id := range p.sim.workerIDs() {
		for _, task := range p.sim.workers[id].Tasks() {
			counts[p.caller[task.Job]]++
		}
	}
	return counts
}

// meanRunning plays until an end and returns the mean of running tasks by caller
// from the 8th second on.
func (p *sharePlay) meanRunning(until clock.Millis) map[string]float64 {
	sums, samples := map[string]int{}, 0
	for at := 8 * clock.Second; at < until; at += 100 {
		p.sim.at(at, func() {
			samples++
			for caller, count := range p.running() {
				sums[caller] += count
			}
		})
	}
	p.sim.run(until)
	means := map[string]float64{}
	for caller, sum := range sums {
		means[caller] = float64(sum) / float64(samples)
	}
	return means
}

// floodOutcome plays twenty callers, of which one sends a multiple of its usual
// submissions, and returns the others' least share in time and the refusals.
func floodOutcome(t *testing.T, byCaller bool, multiple float64) (least float64, p *sharePlay) {
	const callers, length = 20, 25 * clock.Second
	var customers []manifest.Customer
	for i := range callers {
		customers = append(customers, manifest.Customer{Name: fmt.Sprintf("c%02d", i), Weight: 1})
	}
	p = newSharePlay(t, byCaller, customers...)
	for i, customer := range customers {
		rate := 1.0
		if i == 0 {
			rate = multiple
		}
		p.send(customer.Name, rate, 3, length)
	}
	p.sim.run(length + 5*clock.Second)
	least = 1
	for _, customer := range customers[1:] {
		least = min(least, p.inTimeShare(customer.Name))
	}
	return least, p
}

// TestFloodOfOneCustomer checks that nineteen customers get in time what they get
// without a twentieth that sends ten times its usual submissions, that none of them
// is refused, and that this one still gets the work of its rate done.
func TestFloodOfOneCustomer(t *testing.T) {
	usual, _ := floodOutcome(t, true, 1)
	firstCome, _ := floodOutcome(t, false, 10)
	flooded, p := floodOutcome(t, true, 10)
	t.Logf("least share in time of the others: %.2f usually, %.2f first come, %.2f with shares; of the flood %d of %d in time, %d refused",
		usual, firstCome, flooded, p.inTime["c00"], p.jobs["c00"], p.refused["c00"])
	if firstCome > usual-0.2 {
		t.Errorf("without shares the others get %.2f, usually %.2f: the play does not overload the workers", firstCome, usual)
	}
	if flooded < usual-0.05 {
		t.Errorf("the others get %.2f in time, usually %.2f", flooded, usual)
	}
	if served := p.inTime["c00"]; served < 20 {
		t.Errorf("the customer that sends too much gets %d jobs in time, want 20 of its 25 s", served)
	}
	for caller, count := range p.refused {
		if caller != "c00" {
			t.Errorf("%d submissions of %s are refused", count, caller)
		}
	}
}

// TestWeightsUnderOverload checks that full workers are divided in proportion to
// the customers' weights.
func TestWeightsUnderOverload(t *testing.T) {
	const length = 20 * clock.Second
	p := newSharePlay(t, true, manifest.Customer{Name: "a", Weight: 1}, manifest.Customer{Name: "b", Weight: 2}, manifest.Customer{Name: "c", Weight: 4})
	p.send("a", 1, 25, length)
	p.send("b", 2, 25, length)
	p.send("c", 4, 25, length)
	means := p.meanRunning(length)
	total := means["a"] + means["b"] + means["c"]
	t.Logf("running: %v", means)
	for caller, weight := range map[string]float64{"a": 1, "b": 2, "c": 4} {
		if share := means[caller] / total; share < weight/7-0.04 || share > weight/7+0.04 {
			t.Errorf("%s has a share of %.2f, want %.2f", caller, share, weight/7)
		}
	}
}

// TestOnePassDividesFreeWorkers checks that a placement pass over free workers does
// not give all of them to the first of two large jobs, and places the rest of the
// first job's later steps, too.
func TestOnePassDividesFreeWorkers(t *testing.T) {
	b := loadedHarness(5)
	b.setCustomers(manifest.Customer{Name: "a", Weight: 1}, manifest.Customer{Name: "b", Weight: 3})
	for i, customer := range []string{"a", "b"} {
		spec := jobSpec(fmt.Sprintf("%016x", i+1), job.Step{Count: 50, MilliCPU: 1000}, job.Step{Count: 100, MilliCPU: 1000})
		spec.Customer = customer
		b.owner.Submit(spec, func(Verdict) {})
	}
	b.deliverPending()
	running := map[string]int{}
	for _, runs := range b.runs {
		for task := range runs {
			running[b.owner.jobs[task.Job].spec.Customer]++
		}
	}
	if a, other := running["a"], running["b"]; a+other != 100 || a < 22 || a > 28 {
		t.Errorf("a has %d and b %d tasks of 100, want about 25 and 75", a, other)
	}
}

// TestIdleCustomerLendsItsShare checks that customers with work use all workers.
func TestIdleCustomerLendsItsShare(t *testing.T) {
	const length = 15 * clock.Second
	p := newSharePlay(t, true, manifest.Customer{Name: "a", Weight: 1}, manifest.Customer{Name: "b", Weight: 1}, manifest.Customer{Name: "idle", Weight: 100})
	p.send("a", 1, 60, length)
	p.send("b", 1, 60, length)
	means := p.meanRunning(length)
	if total := means["a"] + means["b"]; total < 0.9*72 {
		t.Errorf("%.1f tasks run on 72 processors: %v", total, means)
	}
	if means["a"] < 0.8*means["b"] || means["b"] < 0.8*means["a"] {
		t.Errorf("equal weights get %v", means)
	}
}

// TestPublicJobsKeepTheirPlace checks that customers take turns in the places of
// their jobs, and that jobs without a customer come where they came before.
func TestPublicJobsKeepTheirPlace(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Weight: 1}, manifest.Customer{Name: "b", Weight: 1})
	add := func(id, customer string, dueAt clock.Millis) {
		j := newJob(job.Spec{ID: job.ID(id), Queue: "q", Steps: []job.Step{{Count: 1, MilliCPU: 1000}}})
		j.account = b.owner.quotas.Account(customer)
		j.deadlines = objective{dueAt: b.now + dueAt, expiresAt: b.now + clock.Hour}
		b.owner.jobs[j.spec.ID] = j
	}
	add("a1", "a", 1)
	add("a2", "a", 2)
	add("public1", "", 3)
	add("a3", "a", 4)
	add("public2", "", 5)
	add("b1", "b", 6)
	var got []string
	for queued := range b.owner.inTurns(b.owner.queue(), b.owner.usablePools()) {
		got = append(got, string(queued.job.spec.ID))
		queued.job.account.Add(fleet.Room{MilliCPU: 1000}, 1)
	}
	if diff := cmp.Diff([]string{"a1", "b1", "public1", "a2", "public2", "a3"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestExcessIsRefusedOnlyWithoutRoom checks that submissions beyond a customer's
// rate are accepted while workers are free, and that the Retry-After of a refusal
// comes true.
func TestExcessIsRefusedOnlyWithoutRoom(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Weight: 0.5})
	long := job.Step{Count: 1, MilliCPU: 8000, EstimateMS: 3000}
	var rulings []Ruling
	var refusal Verdict
	for i := range 8 {
		verdict := *b.submitFor("a", i+1, long)
		rulings = append(rulings, verdict.Ruling)
		if verdict.Ruling == Refused {
			refusal = verdict
		}
	}
	if diff := cmp.Diff([]Ruling{Recorded, Recorded, Recorded}, rulings[:3]); diff != "" {
		t.Errorf("rulings while workers are free (-want +got):\n%s", diff)
	}
	if !slices.Contains(rulings, Refused) {
		t.Fatalf("nothing is refused: %v", rulings)
	}
	waiting := b.owner.Dump().Customers[0].ExcessJobs
	if want := clock.Millis(waiting+1) * 2 * clock.Second; refusal.RetryAfter != want {
		t.Errorf("retry after %d ms with %d excess jobs waiting, want %d ms", refusal.RetryAfter, waiting, want)
	}
	for range refusal.RetryAfter / clock.Second {
		b.now += clock.Second
		b.owner.Tick()
		for task, run := range b.runs["w00000"] {
			delete(b.runs["w00000"], task)
			b.reportEnd("w00000", task, run)
		}
		b.deliverPending()
	}
	if verdict := b.submitFor("a", 100, long); verdict.Ruling != Recorded {
		t.Errorf("after the Retry-After: %v", *verdict)
	}
}

// TestDumpNamesShare checks that a job which waits behind the shares of others says
// so, and one whose customer is below its share does not.
func TestDumpNamesShare(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a", Weight: 1}, manifest.Customer{Name: "b", Weight: 1})
	b.submitFor("a", 1, job.Step{Count: 30, MilliCPU: 1000})
	b.submitFor("b", 2, job.Step{Count: 1, MilliCPU: 1000})
	customers := b.owner.Dump().Customers
	got := []int{customers[0].WaitingShare, customers[1].Waiting, customers[1].WaitingShare}
	if diff := cmp.Diff([]int{10, 1, 0}, got); diff != "" {
		t.Errorf("waiting for a share of a, waiting of b, for its share (-want +got):\n%s", diff)
	}
}

// TestCustomerLabelsAreBounded checks that a manifest of many customers, replaced
// many times, does not make the metrics grow without end.
func TestCustomerLabelsAreBounded(t *testing.T) {
	b := loadedHarness(1)
	for round := range 10 {
		var customers []manifest.Customer
		for i := range 50 {
			customers = append(customers, manifest.Customer{Name: fmt.Sprintf("c%d-%d", round, i), Weight: float64(1 + i)})
		}
		b.setCustomers(customers...)
	}
	labels := map[string]int{}
	for name, c := range b.owner.customers {
		if c.label == name {
			labels[name[:2]]++
		}
	}
	want := map[string]int{"c0": 20, "c1": 20, "c2": 20}
	if diff := cmp.Diff(want, labels); diff != "" {
		t.Errorf("labels by round (-want +got):\n%s", diff)
	}
}

// TestPriorityOrdersWorkOfOneCustomer checks that a customer's urgent queue comes
// first in its own work, and does not take the turn of a customer that has less
// running.
func TestPriorityOrdersWorkOfOneCustomer(t *testing.T) {
	b := loadedHarness(1)
	queues := []manifest.Queue{{Name: "urgent", Pools: []string{"pool"}}, {Name: "batch", Pools: []string{"pool"}, Priority: 2}}
	tables := manifest.New(2, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{})
	b.owner.SetManifest(tables.WithCustomers([]manifest.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}))
	add := func(id, customer, queue string) {
		j := newJob(job.Spec{ID: job.ID(id), Queue: queue, Steps: []job.Step{{Count: 1, MilliCPU: 1000}}})
		j.account = b.owner.quotas.Account(customer)
		j.deadlines = objective{dueAt: b.now + 1, expiresAt: b.now + clock.Hour}
		b.owner.jobs[j.spec.ID] = j
	}
	add("a-batch", "a", "batch")
	add("a-urgent1", "a", "urgent")
	add("a-urgent2", "a", "urgent")
	add("b-batch", "b", "batch")
	var got []string
	for queued := range b.owner.inTurns(b.owner.queue(), b.owner.usablePools()) {
		got = append(got, string(queued.job.spec.ID))
		queued.job.account.Add(fleet.Room{MilliCPU: 1000}, 1)
	}
	if diff := cmp.Diff([]string{"a-urgent1", "b-batch", "a-urgent2", "a-batch"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestExcessAcrossTakeover checks that a job accepted in excess of its customer's
// rate is still in excess for the next owner, whose buckets are full again.
func TestExcessAcrossTakeover(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.drawWork = sim.drawLongWork
	sim.setCustomers(manifest.Customer{Name: "a", Weight: 1})
	first := sim.simOwner()
	for i := range 6 {
		sim.at(500, func() { sim.submit(first, jobSpec(fmt.Sprintf("%016x", i+1), job.Step{Count: 9, MilliCPU: 1000})) })
	}
	var excess []bool
	sim.at(700, func() {
		first.down = true
		next := sim.simOwner().owner
		for i := range 6 {
			excess = append(excess, next.jobs[job.ID(fmt.Sprintf("%016x", i+1))].excess)
		}
		sim.submit(sim.currentOwner(), jobSpec(fmt.Sprintf("%016x", 7), job.Step{Count: 1, MilliCPU: 1000}))
		excess = append(excess, next.jobs[job.ID(fmt.Sprintf("%016x", 7))].excess)
	})
	sim.run(800)
	if diff := cmp.Diff([]bool{false, false, false, false, true, true, false}, excess); diff != "" {
		t.Errorf("in excess (-want +got):\n%s", diff)
	}
}
