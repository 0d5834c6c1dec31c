package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Guards against a job that is accepted after its cancellation was answered with "no such
// job": its tasks ran on.
func TestCancellationOfUndecidedJob(t *testing.T) {
	m := newOwnerWithOldAppend(t)
	m.advance(m.owner.options.Times.StoreTimeout + 25)
	submitted := m.submitTo("q")
	m.acknowledge() // of an append that is recent enough to show that there is no later owner
	cancelled := m.cancelJob()
	m.settle()
	if diff := cmp.Diff([]Ruling{NotFound}, *cancelled); diff != "" {
		t.Errorf("rulings on the cancellation (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Ruling{Refused}, *submitted); diff != "" {
		t.Errorf("rulings on the job (-want +got):\n%s", diff)
	}
}

// Guards against a job that an entry holds during a takeover, and sends to the next owner
// after its cancellation was answered there.
func TestCancellationOvertakesHeldJob(t *testing.T) {
	got := map[string]Ruling{}
	for name, received := range map[string]clock.Millis{"before": -400, "perhaps before": earlyCancelSlack, "after": earlyCancelSlack + 1} {
		m := newManualOwner(t, 1, clock.Hour)
		m.contact(1)
		cancelledAt := m.now
		m.cancelJob()
		for m.now < cancelledAt+2*clock.Second {
			m.advance(25)
			m.acknowledge()
		}
		spec := jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000})
		m.owner.SubmitHeld(spec, m.now-cancelledAt-received, func(verdict Verdict) { got[name] = verdict.Ruling })
		m.settle()
	}
	want := map[string]Ruling{"before": Refused, "perhaps before": Refused, "after": Recorded}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rulings on jobs (-want +got):\n%s", diff)
	}
}

// The oldest cancellations are forgotten first, and all of them in time.
func TestEarlyCancelsAreBounded(t *testing.T) {
	var cancels earlyCancels
	ref := func(number int) JobRef { return JobRef{ID: job.ID(fmt.Sprintf("%016x", number))} }
	for number := range maxEarlyCancels + 1 {
		cancels.note(ref(number), clock.Hour)
	}
	got := []bool{cancels.overtook(ref(0), clock.Hour), cancels.overtook(ref(1), clock.Hour), cancels.overtook(ref(maxEarlyCancels), clock.Hour)}
	if diff := cmp.Diff([]bool{false, true, true}, got); diff != "" {
		t.Errorf("the first, second and last overtook their jobs (-want +got):\n%s", diff)
	}
	cancels.note(ref(0), clock.Hour+earlyCancelRetention+1)
	if diff := cmp.Diff([]int{1, 1}, []int{len(cancels.queue), len(cancels.newest)}); diff != "" {
		t.Errorf("cancellations kept after the retention time (-want +got):\n%s", diff)
	}
}
