package owner

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// ownerAfterTakeover returns an owner that has loaded the records of a job that
// runs on worker w, and other records.
func ownerAfterTakeover(t *testing.T, spec job.Spec, others ...journal.Record) *ownerHarness {
	t.Helper()
	first := newHarness(testEntry("w"))
	first.reportAndDeliver()
	first.owner.Submit(spec, func(Verdict) {})
	first.deliverPending()
	j := first.owner.jobs[spec.ID]
	j.specUnsent = true
	first.owner.markChanged(j)
	var records []journal.Stored
	for _, record := range append(first.owner.jobRecords(j), others...) {
		records = append(records, journal.Stored{Record: record})
	}
	next := newHarness()
	next.now = first.now
	next.owner.Fenced(1)
	if err := next.owner.Load(records); err != nil {
		t.Fatal(err)
	}
	next.owner.SetWorkers([]fleet.Entry{testEntry("w")})
	next.runs["w"] = first.runs["w"]
	return next
}

// missHold leaves a hold of a worker unanswered.
func (b *ownerHarness) missHold(id string) {
	b.owner.Report(id, fleet.Report{Outcome: fleet.Unanswered})
}

// TestTakeoverOrdersFullPaceForInheritedBestEffortTask checks that a new owner
// orders the pace of inherited best-effort tasks. The previous owner may have
// paused them, which is not recorded, so they would stay paused forever.
func TestTakeoverOrdersFullPaceForInheritedBestEffortTask(t *testing.T) {
	b := ownerAfterTakeover(t, bestEffortSpec(1))
	b.advance(1000)
	if len(b.paces) != 1 || b.paces[0].Percent != fullPace {
		t.Errorf("pace orders %v, want one for the full pace", b.paces)
	}
}

// TestTakeoverOrdersNoPaceForInheritedBatchTask checks that a new owner orders
// no pace for inherited batch tasks, which are never slowed.
func TestTakeoverOrdersNoPaceForInheritedBatchTask(t *testing.T) {
	b := ownerAfterTakeover(t, jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 60000}))
	b.advance(1000)
	if len(b.paces) != 0 {
		t.Errorf("pace orders %v, want none", b.paces)
	}
}

// TestInheritedRunThatHasEndedHasNoAge checks the log line of a run that ended
// before its worker reported it to the new owner: nobody knows when it started.
func TestInheritedRunThatHasEndedHasNoAge(t *testing.T) {
	b := ownerAfterTakeover(t, bestEffortSpec(1))
	var log bytes.Buffer
	b.owner.options.Log = zerolog.New(&log)
	b.owner.Report("w", fleet.Report{
		ClockMS: int64(b.now), Incarnation: 1,
		Ended: []fleet.End{{Number: 1, Task: job.Task{Job: bestEffortJob}, Run: 1, Cause: fleet.EndDone}},
	})
	if want := `"cause":"done","reason":"","ran_ms":-1`; !strings.Contains(log.String(), want) {
		t.Errorf("no log line with %s:\n%s", want, log.String())
	}
}

// TestTakeoverAsksWorkerBeforeEndingItsRuns loads a list that says falsely that the
// leases of a worker have expired.
func TestTakeoverAsksWorkerBeforeEndingItsRuns(t *testing.T) {
	list, err := codec.Marshal(unresponsiveList{Workers: []unresponsiveWorker{{ID: "w"}}})
	if err != nil {
		t.Fatal(err)
	}
	b := ownerAfterTakeover(t, bestEffortSpec(1), journal.Record{Key: keyUnresponsive, Value: list})
	b.now += 500
	b.owner.Tick()
	b.advance(1000)
	if diff := cmp.Diff(map[job.Task]int{{Job: bestEffortJob}: 1}, b.runs["w"]); diff != "" {
		t.Errorf("runs on the worker after the takeover (-want +got):\n%s", diff)
	}
}

// TestTakeoverLogsNoLineForEachInheritedRun confirms an inherited run.
func TestTakeoverLogsNoLineForEachInheritedRun(t *testing.T) {
	b := ownerAfterTakeover(t, bestEffortSpec(1))
	var log bytes.Buffer
	b.owner.options.Log = zerolog.New(&log)
	b.advance(1000)
	if lines := linesOf(&log, "run_started"); lines != "" {
		t.Errorf("lines of inherited runs:\n%s", lines)
	}
	if linesOf(&log, "worker_responsive") == "" {
		t.Error("no line with the number of runs that the worker lists")
	}
}
