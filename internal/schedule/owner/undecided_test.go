package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// newUnconfirmedOwner returns an owner whose ownership the store has not confirmed for
// longer than that proves it.
func newUnconfirmedOwner(t *testing.T) *manualOwner {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	m.advance(m.owner.options.Times.Heartbeat)
	m.advance(m.owner.options.Times.OwnershipFresh)
	return m
}

// sendOldAppend lets an owner send its next append with a confirmation that is old already.
func (m *manualOwner) sendOldAppend() {
	m.now += 600
	m.owner.Tick()
}

// newOwnerWithOldAppend returns an owner without a recent confirmation that waits for the
// answer to such an append.
func newOwnerWithOldAppend(t *testing.T) *manualOwner {
	t.Helper()
	m := newUnconfirmedOwner(t)
	m.acknowledge()
	m.sendOldAppend()
	return m
}

// submitTo submits a job of a queue, and returns its verdicts, which are filled in once
// they are given.
func (m *manualOwner) submitTo(queue string) *[]Ruling {
	verdicts := &[]Ruling{}
	spec := jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000})
	spec.Queue = queue
	m.owner.Submit(spec, func(verdict Verdict) { *verdicts = append(*verdicts, verdict.Ruling) })
	return verdicts
}

// cancelJob cancels the job of submitTo, and returns its rulings, which are filled in once
// they are given.
func (m *manualOwner) cancelJob() *[]Ruling {
	rulings := &[]Ruling{}
	m.owner.Cancel(JobRef{ID: bestEffortJob}, func(verdict Verdict) { *rulings = append(*rulings, verdict.Ruling) })
	return rulings
}

// A caller may have sent the job to a later owner before; whether none had it is known
// only by answers to queries that were sent after the submission arrived.
func TestUnconfirmedOwnerRefusesOnlyWithProof(t *testing.T) {
	m := newUnconfirmedOwner(t)
	m.owner.NoLaterOwner(m.now - 1)
	submitted := m.now
	verdicts := m.submitTo("q")
	m.advance(200)
	before := len(*verdicts)
	m.owner.NoLaterOwner(submitted)
	if diff := cmp.Diff([]Ruling{Refused}, *verdicts); diff != "" || before > 0 {
		t.Errorf("%d rulings without proof; rulings (-want +got):\n%s", before, diff)
	}
}

// The entry that sent the submission may know a later owner by the time it tries again.
func TestUndecidedSubmissionIsLeftToAnotherTry(t *testing.T) {
	m := newUnconfirmedOwner(t)
	verdicts := m.submitTo("q")
	m.advance(undecidedWait)
	before := len(*verdicts)
	m.advance(25)
	if diff := cmp.Diff([]Ruling{NotOwner}, *verdicts); diff != "" || before > 0 {
		t.Errorf("%d rulings within the wait; rulings (-want +got):\n%s", before, diff)
	}
	m.acknowledge()
	m.advance(25)
	if m.owner.jobs[bestEffortJob] != nil {
		t.Error("the submission is accepted after its caller was told to try again")
	}
}

// A later owner may have tables with the route, and have recorded the job.
func TestUnconfirmedOwnerRefusesNoUnknownRoute(t *testing.T) {
	m := newUnconfirmedOwner(t)
	verdicts := m.submitTo("newer")
	m.acknowledge()
	m.advance(25)
	before := len(*verdicts)
	m.advance(m.owner.options.Times.Heartbeat)
	m.acknowledge() // of an append that was sent after the submission
	m.advance(25)
	if diff := cmp.Diff([]Ruling{Refused}, *verdicts); diff != "" || before > 0 {
		t.Errorf("%d rulings without proof; rulings (-want +got):\n%s", before, diff)
	}
}

// Submissions that wait for an append when the ownership stops being fresh are not
// refused, and are accepted when the store is back.
func TestUnsentSubmissionIsDecidedOnceOwnershipIsConfirmed(t *testing.T) {
	m := newOwnerWithOldAppend(t)
	verdicts := m.submitTo("q")
	m.advance(m.owner.options.Times.StoreTimeout + 25)
	before := len(*verdicts)
	m.settle()
	if diff := cmp.Diff([]Ruling{Recorded}, *verdicts); diff != "" || before > 0 {
		t.Errorf("%d rulings before the store was back; rulings (-want +got):\n%s", before, diff)
	}
}

// A submission that is taken back while the store does not answer counts once against its
// customer's rate: the second time it would be in excess.
func TestUnsentSubmissionCountsOnceAgainstRate(t *testing.T) {
	m := newUnconfirmedOwner(t)
	const rate = 0.1 // a burst of one submission
	tables := m.owner.tables.WithCustomers([]manifest.Customer{{Name: "a", Weight: rate}})
	tables.Version++
	m.owner.SetManifest(tables)
	m.settle()
	m.sendOldAppend()
	spec := jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000})
	spec.Customer = "a"
	m.owner.Submit(spec, func(Verdict) {})
	m.advance(m.owner.options.Times.StoreTimeout + 25)
	if m.owner.jobs[bestEffortJob] != nil {
		t.Fatal("the submission was not taken back")
	}
	m.settle()
	j := m.owner.jobs[bestEffortJob]
	if j == nil || j.excess {
		t.Errorf("job %+v, want one that is not in excess", j)
	}
}

// Guards against a cancellation that is answered as recorded, and lost with the job that was
// taken back and accepted again: its tasks ran on.
func TestCancellationOutlivesOutageOfTheStore(t *testing.T) {
	m := newOwnerWithOldAppend(t)
	submitted, cancelled := m.submitTo("q"), m.cancelJob()
	m.advance(m.owner.options.Times.StoreTimeout + 25)
	early := len(*submitted) + len(*cancelled)
	m.settle()
	if diff := cmp.Diff([]Ruling{Recorded}, *cancelled); diff != "" || early > 0 {
		t.Errorf("%d rulings before the store was back; rulings on the cancellation (-want +got):\n%s", early, diff)
	}
	if diff := cmp.Diff([]Ruling{Recorded}, *submitted); diff != "" {
		t.Errorf("rulings on the job (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(LookupResult{State: job.Cancelled}, m.owner.Lookup(JobRef{ID: bestEffortJob})); diff != "" {
		t.Errorf("state of the job (-want +got):\n%s", diff)
	}
}
