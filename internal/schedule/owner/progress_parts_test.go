package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// twoTasksPerRecord are limits by which a record has room for two tasks, and an append
// for two or three records.
var twoTasksPerRecord = journal.Limits{RecordBytes: 1300, RequestBytes: 160}

// dividedAbove is the size of an undivided record where tests divide small jobs.
const dividedAbove = 40

// setLimits sets the limits of the store; below the default ones also small jobs are
// divided.
func (m *manualOwner) setLimits(limits journal.Limits) {
	m.owner.options.Limits = limits.OrDefault()
	if limits.RecordBytes > 0 {
		m.owner.undividedBytes = dividedAbove
	}
}

// manyTasks is a job with more tasks than fit one record in any form.
func manyTasks() job.Spec {
	spec := jobSpec(bestEffortJob)
	for range 10 {
		spec.Steps = append(spec.Steps, job.Step{Count: job.MaxTasks, MilliCPU: 1000})
	}
	return spec
}

// Guards against the progress of a large job in one record: the store refused it, and
// each owner of the cell repeated the append forever.
func TestRecordsOfLargeJobFit(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	m.report(1)
	m.owner.Submit(manyTasks(), func(Verdict) {})
	for range 4 {
		m.advance(25)
		for _, record := range m.pending {
			if record.Bytes() > journal.DefaultLimits.RecordBytes {
				t.Errorf("record %s has %d bytes", record.Key, record.Bytes())
			}
		}
		m.acknowledge()
	}
	next := m.successor(100)
	if diff := cmp.Diff(len(m.starts), next.owner.jobs[bestEffortJob].runs); diff != "" || len(m.starts) == 0 {
		t.Errorf("runs ordered and loaded (-want +got):\n%s", diff)
	}
}

// A record must fit with the largest values of all tasks, not only with those seen.
func TestLargestPartFits(t *testing.T) {
	limits := journal.DefaultLimits
	spec := jobSpec(bestEffortJob, job.Step{Count: 3 * job.TasksPerRecord(limits.RecordBytes), MilliCPU: 1000})
	o := newManualOwner(t, 1, clock.Hour).owner
	j := newJob(spec)
	o.markChanged(j)
	j.parts.markAllChanged()
	largest := &worker{id: strings.Repeat("w", job.MaxWorkerBytes)}
	for i := range j.steps[0].tasks {
		task := &j.steps[0].tasks[i]
		task.phase, task.runNumber, task.failures = job.Assigned, 1<<60, 1<<60
		task.checkpoint = strings.Repeat("c", job.MaxCheckpointBytes)
		task.run = &run{task: task, worker: largest, incarnation: 1 << 60}
	}
	records := o.jobRecords(j)
	if len(records) != 3 {
		t.Errorf("%d records, want 3", len(records))
	}
	for _, record := range records {
		if size := record.Bytes(); size > limits.RecordBytes || size < limits.RecordBytes*3/4 {
			t.Errorf("record %s has %d bytes, want at most %d and at least 3/4 of it", record.Key, size, limits.RecordBytes)
		}
	}
}

// A checkpoint above the size that records have room for must not reach one.
func TestLongCheckpointIsNotKept(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	started := m.startRun()
	for _, length := range []int{job.MaxCheckpointBytes, job.MaxCheckpointBytes + 1} {
		started.Checkpoint = strings.Repeat("c", length)
		m.report(1, started)
	}
	if diff := cmp.Diff(job.MaxCheckpointBytes, len(m.owner.task(manualTask).checkpoint)); diff != "" {
		t.Errorf("length of the checkpoint (-want +got):\n%s", diff)
	}
}

// A job whose records cannot fit must be refused at once, not accepted and then refused
// by the store.
func TestUnrecordableJobIsInvalid(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	rulings := map[string]Ruling{}
	submit := func(name string, spec job.Spec) {
		spec.ID = job.ID(fmt.Sprintf("%016x", len(rulings)+1))
		rulings[name] = NotOwner
		m.owner.Submit(spec, func(verdict Verdict) { rulings[name] = verdict.Ruling })
	}
	m.owner.options.Limits.RecordBytes = 800
	submit("one task a record", jobSpec("", job.Step{Count: job.MaxProgressRecords, MilliCPU: 1}))
	submit("one task too many", jobSpec("", job.Step{Count: job.MaxProgressRecords + 1, MilliCPU: 1}))
	submit("long label", jobSpec("", job.Step{Count: 1, MilliCPU: 1, Label: strings.Repeat("l", 800)}))
	m.advance(25)
	m.acknowledge()
	want := map[string]Ruling{"one task a record": Recorded, "one task too many": Invalid, "long label": Invalid}
	if diff := cmp.Diff(want, rulings); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
}

// partsOf returns the number of tasks by key of a job's stored records.
func (m *manualOwner) partsOf(id job.ID) map[string]int {
	m.t.Helper()
	parts := map[string]int{}
	for key, record := range m.recorded {
		name, ok := strings.CutPrefix(key, keyProgress+string(id))
		if !ok {
			continue
		}
		if name == "" {
			first, err := job.DecodeProgress(record.Value)
			if err != nil {
				m.t.Fatal(err)
			}
			parts["first"] = len(first.Tasks)
			continue
		}
		part, err := job.DecodeProgressPart(record.Value)
		if err != nil {
			m.t.Fatal(err)
		}
		parts[name] = len(part.Tasks)
	}
	return parts
}

// taskStates lists phase, run number and checkpoint of each task of a job.
func (m *manualOwner) taskStates(id job.ID) []string {
	var states []string
	j := m.owner.jobs[id]
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			task := &j.steps[i].tasks[k]
			states = append(states, fmt.Sprint(task.phase, task.runNumber, task.failures, task.checkpoint))
		}
	}
	return states
}

// splitJob returns an owner with a recorded job of seven tasks, four records and one
// completed task in each record.
func splitJob(t *testing.T, limits journal.Limits) *manualOwner {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.setLimits(limits)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	m.report(1)
	m.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 3, MilliCPU: 1000}, job.Step{Count: 4, MilliCPU: 1000}), func(Verdict) {})
	m.advance(25)
	m.acknowledge()
	for number, task := range []job.Task{{Step: 0, Index: 1}, {Step: 0, Index: 2}, {Step: 1, Index: 2}, {Step: 1, Index: 3}} {
		m.end(int64(number+1), task, fleet.EndDone)
	}
	m.advance(25)
	m.acknowledge()
	return m
}

// end reports an end of run 1 of a task of the job.
func (m *manualOwner) end(number int64, task job.Task, cause fleet.EndCause) {
	task.Job = bestEffortJob
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Truncated: true, Ended: []fleet.End{{Number: number, Task: task, Run: 1, Cause: cause}}})
}

// A job that fits one record must keep the form that earlier versions read.
func TestJobThatFitsKeepsItsForm(t *testing.T) {
	m := splitJob(t, journal.Limits{}).reload(twoTasksPerRecord)
	m.owner.undividedBytes = twoTasksPerRecord.RecordBytes
	m.end(5, job.Task{Step: 1, Index: 1}, fleet.EndDone)
	m.advance(25)
	m.acknowledge()
	if diff := cmp.Diff(map[string]int{"first": 7}, m.partsOf(bestEffortJob)); diff != "" {
		t.Errorf("tasks by record (-want +got):\n%s", diff)
	}
}

// Only the records with changed tasks are written, and all are removed with the job.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	m := splitJob(t, twoTasksPerRecord)
	want := map[string]int{"first": 2, "/1": 2, "/2": 2, "/3": 1}
	if diff := cmp.Diff(want, m.partsOf(bestEffortJob)); diff != "" {
		t.Fatalf("tasks by record (-want +got):\n%s", diff)
	}
	m.end(5, job.Task{Step: 1, Index: 1}, fleet.EndDone)
	m.advance(25)
	var keys []string
	for _, record := range m.pending {
		keys = append(keys, record.Key)
	}
	if diff := cmp.Diff([]string{partKey(bestEffortJob, 2)}, keys); diff != "" {
		t.Errorf("records of one end (-want +got):\n%s", diff)
	}
	m.acknowledge()
	m.end(6, job.Task{Step: 0, Index: 0}, fleet.EndDone)
	m.end(7, job.Task{Step: 1, Index: 0}, fleet.EndDone)
	m.advance(25)
	m.acknowledge()
	if diff := cmp.Diff(map[string]int{"first": 0}, m.partsOf(bestEffortJob)); diff != "" {
		t.Errorf("tasks by record of a completed job (-want +got):\n%s", diff)
	}
	m.advance(m.owner.options.Times.StatusKept + expiryMargin + expiryPeriod)
	m.advance(25)
	m.acknowledge()
	if diff := cmp.Diff(map[string]int{}, m.partsOf(bestEffortJob)); diff != "" {
		t.Errorf("records of an expired job (-want +got):\n%s", diff)
	}
}

// A takeover may find any prefix of a batch that went over several appends. Each task
// must be as it was before the batch or as in the batch, and a completed job completed.
func TestTakeoverBetweenAppendsOfOneBatch(t *testing.T) {
	changes := map[string][]job.Task{
		"some tasks": {{Step: 0, Index: 0}, {Step: 1, Index: 1}},
		"all tasks":  {{Step: 0, Index: 0}, {Step: 1, Index: 0}, {Step: 1, Index: 1}},
	}
	for name, ends := range changes {
		for _, before := range []journal.Limits{twoTasksPerRecord, {RecordBytes: 1900}, {}} {
			t.Run(fmt.Sprint(name, before.RecordBytes), func(t *testing.T) {
				m := splitJob(t, before).reload(twoTasksPerRecord)
				old := m.taskStates(bestEffortJob)
				for number, task := range ends {
					m.end(int64(number+5), task, fleet.EndDone)
				}
				m.advance(25)
				if len(m.pending) < 2 {
					t.Fatalf("%d records in the append, want several", len(m.pending))
				}
				checkPrefixes(t, m, old)
			})
		}
	}
}

// reload returns an owner that has loaded the records with other limits, and whose
// worker has the runs.
func (m *manualOwner) reload(limits journal.Limits) *manualOwner {
	m.t.Helper()
	next := newManualOwner(m.t, m.owner.options.Epoch+1, m.now)
	next.setLimits(limits)
	next.load(m)
	next.list(1, "w:1")
	next.advance(25)
	next.acknowledge()
	return next
}

// checkPrefixes loads each prefix of the append in flight, whose tasks were in the old
// states before.
func checkPrefixes(t *testing.T, m *manualOwner, old []string) {
	t.Helper()
	current := m.taskStates(bestEffortJob)
	base := maps.Clone(m.recorded)
	for count := range len(m.pending) + 1 {
		m.recorded = maps.Clone(base)
		m.record(m.pending[:count])
		next := newManualOwner(t, m.owner.options.Epoch+1, m.now)
		next.setLimits(twoTasksPerRecord)
		next.load(m)
		state := next.owner.jobs[bestEffortJob].state
		if state.Final() {
			if diff := cmp.Diff(job.Completed, state); diff != "" {
				t.Errorf("state after %d records (-want +got):\n%s", count, diff)
			}
			next.advance(25)
			next.acknowledge()
			if parts := next.partsOf(bestEffortJob); len(parts) != 1 || next.recorded[keySpec+bestEffortJob].Value != nil {
				t.Errorf("records %v and the specification are left of a completed job after %d records", parts, count)
			}
			continue
		}
		for i, got := range next.taskStates(bestEffortJob) {
			if got != old[i] && got != current[i] {
				t.Errorf("task %d after %d records is %q, want %q or %q", i, count, got, old[i], current[i])
			}
		}
	}
}

// A job that the store refuses must fail alone: its record is not sent again, its runs do
// not start, and other jobs of the append are not affected.
func TestRefusedRecordFailsItsJobOnly(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	m.report(1)
	verdicts := map[job.ID]Ruling{}
	for _, id := range []job.ID{servingJob, bestEffortJob} {
		m.owner.Submit(jobSpec(string(id), job.Step{Count: 1, MilliCPU: 2000}), func(verdict Verdict) { verdicts[id] = verdict.Ruling })
	}
	m.advance(25)
	refused := keyProgress + bestEffortJob
	m.pending = slices.DeleteFunc(m.pending, func(record journal.Record) bool { return record.Key == refused })
	m.owner.RecordsRefused([]string{refused})
	m.acknowledge()
	if diff := cmp.Diff(map[job.ID]Ruling{servingJob: Recorded, bestEffortJob: Invalid}, verdicts); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
	if len(m.starts) != 1 || m.starts[0].Task.Job != servingJob {
		t.Errorf("starts %v, want one of the job that is recorded", m.starts)
	}
	m.advance(25)
	m.acknowledge()
	next := m.successor(100)
	if diff := cmp.Diff(job.Failed, next.owner.Lookup(JobRef{ID: bestEffortJob}).State); diff != "" {
		t.Errorf("state of the refused job after a takeover (-want +got):\n%s", diff)
	}
	for range 4 {
		m.advance(25)
	}
	if diff := cmp.Diff(false, slices.ContainsFunc(m.owner.batch.jobs, func(j *jobState) bool { return j.spec.ID == bestEffortJob })); diff != "" {
		t.Errorf("the refused job is recorded again (-want +got):\n%s", diff)
	}
}

// A list of unresponsive workers above one record must be recorded whole: an omitted
// worker's leases would count as over too early.
func TestLongListOfUnresponsiveWorkersIsSplit(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.owner.options.Limits.RecordBytes = 400
	list := unresponsiveList{Epoch: 1}
	for i := range 40 {
		list.Workers = append(list.Workers, unresponsiveWorker{ID: fmt.Sprintf("worker-%02d", i), Remaining: clock.Millis(i)})
	}
	records, err := m.owner.unresponsiveRecords(list)
	if err != nil {
		t.Fatal(err)
	}
	if !(journal.Limits{RecordBytes: 400, RequestBytes: 1 << 20}).Allow(records) || len(records) < 4 {
		t.Errorf("%d records, one of them above 400 bytes", len(records))
	}
	m.record(records)
	next := m.successor(100)
	got := map[string]clock.Millis{}
	for id, w := range next.owner.workers {
		got[id] = w.recordedRest
	}
	want := map[string]clock.Millis{}
	for _, listed := range list.Workers {
		want[listed.ID] = listed.Remaining
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("recorded rests (-want +got):\n%s", diff)
	}
	shorter, err := next.owner.unresponsiveRecords(unresponsiveList{Epoch: 2})
	if err != nil {
		t.Fatal(err)
	}
	next.record(shorter)
	keys := slices.DeleteFunc(slices.Collect(maps.Keys(next.recorded)), func(key string) bool { return !strings.HasPrefix(key, keyUnresponsive) })
	slices.Sort(keys)
	if diff := cmp.Diff([]string{keyUnresponsive}, keys); diff != "" {
		t.Errorf("records of a shorter list (-want +got):\n%s", diff)
	}
}

// All promises hold where each job has several records and each batch several appends.
func TestFaultsWithSplitRecords(t *testing.T) {
	for _, injected := range faults {
		t.Run(injected.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 1, 9)
			sim.limits = twoTasksPerRecord
			sim.playFaults(injected)
			if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
