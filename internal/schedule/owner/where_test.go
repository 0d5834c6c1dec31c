package owner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// stateText describes all that asking could change by mistake.
func (b *ownerHarness) stateText() string {
	o := b.owner
	dump, _ := json.Marshal(o.Dump())
	text := fmt.Sprintf("%s %v %v %v %d %d %d %d %v\n", dump, o.batchDemands, o.reservations, o.turn, o.passes, o.passCost, len(o.jobs), len(o.quotas.Accounts()), o.placementDue)
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		j := o.jobs[id]
		text += fmt.Sprintf("%s %v %d", id, j.deadlines, j.sweep)
		for i := range j.steps {
			step := &j.steps[i]
			text += fmt.Sprintf(" %v %v %v %d", step.length, step.rejections, step.blocked, step.waiting)
		}
	}
	for _, w := range o.sortedWorkers {
		text += fmt.Sprintf(" %s %v", w.id, w.planValid)
	}
	return text
}

// ask asks about a job, and fails the test if that changes anything.
func (b *ownerHarness) ask(t *testing.T, query WhereQuery) WhereAnswer {
	t.Helper()
	var log bytes.Buffer
	logger := b.owner.options.Log
	b.logTo(&log)
	before := b.stateText()
	answer := b.owner.Where(query)
	if diff := cmp.Diff(before, b.stateText()); diff != "" || log.Len() > 0 {
		t.Errorf("asking has logged %q and changed (-want +got):\n%s", log.String(), diff)
	}
	b.owner.options.Log = logger
	return answer
}

// Guards against answers that change the owner's state or differ from what the next
// placement pass does: asked about a submission, the same job once it is submitted, and
// compared with the pass after that.
func TestWhereIsWhatThePassDoes(t *testing.T) {
	const asked = "00000000000000ab"
	cases := []struct {
		name   string
		step   job.Step
		reason string // "": it is placed
	}{
		{"a batch task", job.Step{Count: 1, MilliCPU: 1000, EstimateMS: 500}, ""},
		{"a best-effort task", job.Step{Count: 1, MilliCPU: 1000, Fills: true, Image: "f"}, ""},
		{"a long-running task", job.Step{Count: 1, MilliCPU: 1000, Lasting: true, Image: "s"}, ""},
		{"held by its customer's limit", job.Step{Count: 1, MilliCPU: 3000}, "quota"},
		{"a label of no worker", job.Step{Count: 1, MilliCPU: 1000, Label: "l"}, "limits"},
		{"a large task without room", job.Step{Count: 1, MilliCPU: 18000, EstimateMS: 500}, "room"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(testEntry("v"), testEntry("w"))
			b.reportAndDeliver()
			b.setCustomers(manifest.Customer{Name: "a", Limit: fleet.Room{MilliCPU: 4000}})
			b.owner.sizes.Add(b.now, 1000, 1000)
			b.submitFor("", 1, job.Step{Count: 1, MilliCPU: 6000, EstimateMS: 3000})
			b.submitFor("", 2, job.Step{Count: 1, MilliCPU: 15000, EstimateMS: 3000})
			b.submitFor("a", 3, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 3000})
			b.reportAll()
			b.owner.runPlacementPass()
			spec := jobSpec(asked, c.step)
			if c.reason == "quota" {
				spec.Customer = "a"
			}
			before := b.ask(t, WhereQuery{Submission: &spec})
			b.owner.Submit(spec, func(Verdict) {})
			after := b.ask(t, WhereQuery{Job: asked})
			if diff := cmp.Diff(before.Steps, after.Steps); diff != "" || before.Refusal != "" || after.JobsAhead != 0 {
				t.Errorf("refusal %q, %d jobs ahead; as a submission and as a job (-want +got):\n%s", before.Refusal, after.JobsAhead, diff)
			}
			b.owner.runPlacementPass()
			j := b.owner.jobs[asked]
			got := WhereStep{Waiting: 1, Suitable: after.Steps[0].Suitable, Rejected: after.Steps[0].Rejected}
			if r := j.steps[0].tasks[0].run; r != nil {
				got.Worker, got.Pool = r.worker.id, r.worker.entry.Service
			} else {
				reason, _ := j.steps[0].rejections.leading()
				got.Reason = reason.String()
				if reason != rejectedQuota {
					got.Rejected = j.steps[0].rejections.list()
				}
			}
			if diff := cmp.Diff(got, after.Steps[0]); diff != "" || got.Reason != c.reason {
				t.Errorf("reason %q, want %q; what the pass did and the answer (-want +got):\n%s", got.Reason, c.reason, diff)
			}
			if c.reason == "room" {
				held := b.ask(t, WhereQuery{Job: asked}).Steps[0].Reserved
				if len(held) != 1 || b.owner.workers[held[0].Worker].reserved.step != &j.steps[0] || held[0].SureStart <= 0 {
					t.Errorf("reservations %+v of a large task", held)
				}
			}
		})
	}
}

// Guards the parts of the answer about the job and its pools: jobs ahead, steps that
// wait for others, workers that get no runs, and queries that cannot be answered.
func TestWhereDescribesJobAndPools(t *testing.T) {
	draining := testEntry("v")
	draining.Draining = true
	out := testEntry("w")
	out.Domain = "e"
	b := newHarness(draining, out, testEntry("x"))
	b.reportAndDeliver()
	b.owner.SetDomainsOut(map[string]bool{"e": true})
	b.submitNumbered(3, func(int) job.Step { return job.Step{Count: 1, MilliCPU: 20000} })
	b.owner.runPlacementPass()
	spec := jobSpec("00000000000000ab", job.Step{Count: 2, MilliCPU: 1000}, job.Step{Count: 1, MilliCPU: 30000, After: []int{0}})
	got := b.ask(t, WhereQuery{Submission: &spec})
	want := WhereAnswer{
		Queue: "q", Pools: []string{"pool"}, JobsAhead: 2, Workers: 3, Refusal: "a task is larger than any worker of its pool",
		Unusable: []WorkerCount{{"draining", 1}, {"out_of_service", 1}},
		Steps: []WhereStep{
			{Step: 0, Waiting: 2, Reason: "room", Rejected: []WorkerCount{{"room", 1}}},
			{Step: 1, Waiting: 1, After: []int{0}, Reason: "room", Rejected: []WorkerCount{{"room", 1}}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	spec.Customer = "unknown"
	rulings := []Ruling{b.ask(t, WhereQuery{Job: "00000000000000ff"}).Verdict.Ruling, b.ask(t, WhereQuery{Submission: &spec}).Verdict.Ruling}
	if diff := cmp.Diff([]Ruling{NotFound, Invalid}, rulings); diff != "" {
		t.Errorf("rulings on an unknown job and an unknown customer (-want +got):\n%s", diff)
	}
}

// Guards against another reason than that of the pass for a customer that has its share
// of full workers.
func TestWhereNamesTheShare(t *testing.T) {
	b := loadedHarness(1)
	b.setCustomers(manifest.Customer{Name: "a"}, manifest.Customer{Name: "b"})
	b.submitFor("a", 1, job.Step{Count: 20, MilliCPU: 1000})
	b.submitFor("b", 2, job.Step{Count: 1, MilliCPU: 1000})
	b.submitFor("a", 3, job.Step{Count: 1, MilliCPU: 1000})
	b.owner.runPlacementPass()
	var got, want []string
	for _, number := range []int{2, 3} {
		id := job.ID(fmt.Sprintf("%016x", number))
		got = append(got, b.ask(t, WhereQuery{Job: id}).Steps[0].Reason)
		reason, _ := b.owner.jobs[id].steps[0].rejections.leading()
		want = append(want, reason.String())
	}
	if diff := cmp.Diff([][]string{{"room", "share"}, {"room", "share"}}, [][]string{want, got}); diff != "" {
		t.Errorf("reasons of the pass and of the answer (-want +got):\n%s", diff)
	}
}
