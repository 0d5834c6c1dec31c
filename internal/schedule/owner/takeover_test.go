package owner

import (
	"testing"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// inherited returns an owner that takes a job over which runs on worker w.
func inherited(t *testing.T, spec job.Spec) *bench {
	t.Helper()
	first := newBench(entryOf("w"))
	first.idle()
	first.own.Submit(spec, func(Verdict) {})
	first.settle()
	j := first.own.jobs[spec.ID]
	j.newSpec = true
	var records []journal.Stored
	for _, record := range first.own.recordsOf(j) {
		records = append(records, journal.Stored{Record: record})
	}
	next := newBench(entryOf("w"))
	next.now = first.now
	if err := next.own.Load(records); err != nil {
		t.Fatal(err)
	}
	next.runs["w"] = first.runs["w"]
	return next
}

// A former owner may have made a task stand still, and nobody tells. The next
// owner orders the pace that it wants, so that no task stands still for ever.
func TestInheritedTaskThatStoodStillGoesOn(t *testing.T) {
	b := inherited(t, fillSpec(1))
	b.pass(1000)
	if len(b.paces) != 1 || b.paces[0].Percent != fullPace {
		t.Errorf("orders on pace %v, want one for the full pace", b.paces)
	}
}

// Tasks that do not fill are never slowed, so they need no order.
func TestInheritedTaskThatDoesNotFillGetsNoPace(t *testing.T) {
	b := inherited(t, stepJob(fillJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 60000}))
	b.pass(1000)
	if len(b.paces) != 0 {
		t.Errorf("orders on pace %v, want none", b.paces)
	}
}
