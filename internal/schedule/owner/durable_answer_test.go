package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
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

// The Unix clock may jump; a late repeat of the submission would run its tasks again.
func TestFinalStateOutlivesJumpOfUnixClock(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	run := m.startRun()
	end := fleet.End{Number: 1, Task: run.Task, Run: run.Run, Cause: fleet.EndDone}
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{end}})
	m.owner.options.WallClock = func() int64 { return int64(m.now + clock.Hour) }
	ended := m.now
	for m.now-ended < expiryPeriod+clock.Second {
		m.advance(500)
		m.acknowledge()
	}
	if diff := cmp.Diff(LookupResult{State: job.Completed}, m.owner.Lookup(JobRef{ID: manualTask.Job})); diff != "" {
		t.Errorf("state %d ms after the end (-want +got):\n%s", m.now-ended, diff)
	}
}

// Lists that a newer one replaces would grow an append by the length of an outage.
func TestAppendAfterOutageHasOneListOfUnresponsiveWorkers(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.startRun()
	for range missedHoldsToUnresponsive {
		m.missHold()
	}
	m.advance(25)
	m.acknowledge()
	for range 40 {
		m.advance(500)
	}
	m.acknowledge()
	lists := 0
	for _, record := range m.pending {
		if record.Key == keyUnresponsive {
			lists++
		}
	}
	if diff := cmp.Diff(1, lists); diff != "" {
		t.Errorf("lists in the append after an outage of 20 s (-want +got):\n%s", diff)
	}
}
