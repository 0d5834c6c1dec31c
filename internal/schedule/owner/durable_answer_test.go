package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A next owner may have accepted the job, whose caller got no answer and repeats it.
func TestSupersededOwnerRefusesNoAcceptedJob(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.list(1, "w:1")
	first.advance(25)
	first.acknowledge()
	first.advance(first.owner.options.Times.Heartbeat)
	next := first.successor(first.owner.options.Times.OwnershipFresh)
	var verdicts []Ruling
	for _, m := range []*manualOwner{next, first} {
		m.now = next.now
		m.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000}), func(verdict Verdict) { verdicts = append(verdicts, verdict.Ruling) })
		if m == next {
			m.advance(25)
			m.acknowledge()
		}
	}
	if diff := cmp.Diff([]Ruling{Recorded}, verdicts); diff != "" {
		t.Errorf("rulings of the next owner and the first (-want +got):\n%s", diff)
	}
}
