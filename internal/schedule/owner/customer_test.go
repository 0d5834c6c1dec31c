package owner

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// access holds the rulings on the calls of a customer about a job.
type access struct {
	Lookup, Cancel, Submit Ruling
}

// settle acknowledges appends until nothing waits for one, and drops deleted records.
func (m *manualOwner) settle() {
	for range 4 {
		m.advance(25)
		m.acknowledge()
	}
	for key, record := range m.recorded {
		if len(record.Value) == 0 {
			delete(m.recorded, key)
		}
	}
}

// accessOf returns the rulings on the calls of customers about the job of manualTask;
// of the one that may cancel it, only those that change nothing.
func (m *manualOwner) accessOf(allowed string, customers ...string) map[string]access {
	rulings := map[string]access{}
	for _, customer := range customers {
		ref := JobRef{ID: manualTask.Job, Customer: customer}
		got := access{Lookup: m.owner.Lookup(ref).Verdict.Ruling, Cancel: NotOwner, Submit: NotOwner}
		if customer == allowed {
			got.Cancel = Recorded
		} else {
			m.owner.Cancel(ref, func(verdict Verdict) { got.Cancel = verdict.Ruling })
		}
		spec := jobSpec(string(manualTask.Job), job.Step{Count: 1, MilliCPU: 1})
		spec.Customer = customer
		m.owner.Submit(spec, func(verdict Verdict) { got.Submit = verdict.Ruling })
		rulings[customer] = got
	}
	return rulings
}

// A job exists for its customer alone: while it waits, runs, after its end, when only its
// state is kept, and for the next owner in each of these. Calls of others change nothing.
func TestJobOfCustomerExistsForItAlone(t *testing.T) {
	own, none := access{}, access{Lookup: NotFound, Cancel: NotFound, Submit: Invalid}
	want := map[string]access{"a": own, "b": none, "": none}
	check := func(when string, m *manualOwner, state job.State) {
		t.Helper()
		if diff := cmp.Diff(want, m.accessOf("a", "a", "b", "")); diff != "" {
			t.Errorf("%s: rulings by customer (-want +got):\n%s", when, diff)
		}
		if got := m.owner.Lookup(JobRef{ID: manualTask.Job, Customer: "a"}).State; got != state {
			t.Errorf("%s: state %v, want %v", when, got, state)
		}
	}
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.settle()
	m.report(1)
	spec := jobSpec(string(manualTask.Job), job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 60000})
	spec.Customer = "a"
	m.owner.Submit(spec, func(Verdict) {})
	var early Ruling
	spec.Customer = "b"
	m.owner.Submit(spec, func(verdict Verdict) { early = verdict.Ruling })
	if early != Invalid {
		t.Errorf("before the record: ruling %v on a submission of the same id by another customer", early)
	}
	m.settle()
	check("with an unanswered start", m, job.Running)
	m.owner.Started(m.starts[0], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
	m.settle()
	check("running", m, job.Running)
	check("running, after a takeover", m.successor(100), job.Running)
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{{Number: 1, Task: manualTask, Run: 1, Cause: fleet.EndDone}}})
	m.settle()
	check("completed", m, job.Completed)
	if decoded, err := job.DecodeSpec(m.recorded[keySpec+string(manualTask.Job)].Value); err != nil || len(decoded.Steps) > 0 || decoded.Customer != "a" {
		t.Errorf("recorded specification of a final job %+v, error %v; want its customer without steps", decoded, err)
	}
	next := m.successor(100)
	check("completed, after a takeover", next, job.Completed)
	check("completed, after two takeovers", next.successor(100), job.Completed)
	expireJobs(t, next)
}

// expireJobs checks that no records of jobs are left once their state is not kept.
func expireJobs(t *testing.T, m *manualOwner) {
	t.Helper()
	for range int((m.owner.options.Times.StatusKept + expiryMargin + 2*expiryPeriod) / 500) {
		m.advance(500)
		m.acknowledge()
	}
	m.settle()
	for key := range m.recorded {
		if strings.HasPrefix(key, keySpec) || strings.HasPrefix(key, keyProgress) {
			t.Errorf("record %s is left after its job has expired", key)
		}
	}
}

// Where an append that removed only one record of an expired job was the last of an
// owner, the next one removes the rest and has no such job.
func TestLoadDropsCustomerOfExpiredJob(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	id := string(manualTask.Job)
	m.owner.jobs[manualTask.Job] = &jobState{spec: job.Spec{ID: manualTask.Job, Customer: "a"}, state: job.Completed, changed: true}
	m.owner.batch.jobs = append(m.owner.batch.jobs, m.owner.jobs[manualTask.Job])
	m.settle()
	delete(m.recorded, keyProgress+id)
	next := m.successor(100)
	next.settle()
	if _, left := next.recorded[keySpec+id]; left || len(next.owner.jobs) > 0 {
		t.Errorf("the record is left: %v; %d jobs, want none", left, len(next.owner.jobs))
	}
}

// A job of nobody, which is one of a public route or from before customers were listed,
// exists for everyone.
func TestJobOfNobodyExistsForEveryone(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.startRun()
	m.settle()
	if diff := cmp.Diff(map[string]access{"": {}, "a": {}}, map[string]access{"": m.accessOf("", "")[""], "a": m.accessOf("a", "a")["a"]}); diff != "" {
		t.Errorf("rulings by customer (-want +got):\n%s", diff)
	}
}
