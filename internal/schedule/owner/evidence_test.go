package owner

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// logTo makes a harness log to a buffer from now on.
func (b *ownerHarness) logTo(log *bytes.Buffer) { b.owner.options.Log = zerolog.New(log) }

// linesOf returns the log lines of some events.
func linesOf(log *bytes.Buffer, events ...string) string {
	var found strings.Builder
	for line := range strings.Lines(log.String()) {
		if slices.ContainsFunc(events, func(event string) bool { return strings.Contains(line, `"event":"`+event+`"`) }) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// runningHarness returns an owner with a started run on worker w.
func runningHarness() *ownerHarness {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
	b.deliverPending()
	b.report("w", func(job.Task) int64 { return 0 })
	return b
}

// takenOverHarness returns an owner that has loaded a run on worker w and a list
// of unresponsive workers of the previous owner.
func takenOverHarness(t *testing.T, listed ...unresponsiveWorker) *ownerHarness {
	t.Helper()
	b := ownerAfterTakeover(t, bestEffortSpec(1))
	data, err := codec.Marshal(unresponsiveList{Epoch: b.owner.options.Epoch - 1, Workers: listed})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.owner.loadUnresponsive(data); err != nil {
		t.Fatal(err)
	}
	b.missHold("w")
	return b
}

// tickAfter advances the time and ticks once, without a report of any worker.
func (b *ownerHarness) tickAfter(span clock.Millis) {
	b.now += span
	b.owner.Tick()
}

// TestEvidenceOfEnds checks the lines on the end of a run for each kind of
// evidence.
func TestEvidenceOfEnds(t *testing.T) {
	endedTask := job.Task{Job: bestEffortJob}
	scenarios := []struct {
		want evidence
		play func(log *bytes.Buffer)
	}{
		{evidenceReported, func(log *bytes.Buffer) {
			b := runningHarness()
			b.logTo(log)
			b.tickAfter(100)
			b.now += 30
			b.reportEnd("w", endedTask, 1)
		}},
		{evidenceLeaseGranted, func(log *bytes.Buffer) {
			b := runningHarness()
			b.logTo(log)
			b.tickAfter(7000)
		}},
		{evidenceRecordedRest, func(log *bytes.Buffer) {
			b := takenOverHarness(t, unresponsiveWorker{ID: "v", Remaining: 90}, unresponsiveWorker{ID: "w", Remaining: 1500})
			b.logTo(log)
			b.tickAfter(2400)
		}},
		{evidenceRenewWindow, func(log *bytes.Buffer) {
			b := takenOverHarness(t)
			b.logTo(log)
			b.tickAfter(11800)
		}},
		{evidencePreviousOwnerStopped, func(log *bytes.Buffer) {
			b := takenOverHarness(t)
			b.logTo(log)
			b.owner.PreviousOwnerStopped(StopReleased)
			b.tickAfter(6800)
		}},
		{evidenceRestartUnreported, func(log *bytes.Buffer) {
			b := takenOverHarness(t)
			b.logTo(log)
			b.now += 200
			restarted := testEntry("w")
			restarted.Incarnation = 2
			b.owner.SetWorkers([]fleet.Entry{restarted}) // the inherited run may begin late, so it is stopped
			b.tickAfter(uncertainStartTTL + b.owner.slowClockSpan(b.owner.options.Times.LongestLease) + 10)
		}},
		{evidenceWorkerRestartedListed, func(log *bytes.Buffer) {
			b := runningHarness()
			b.logTo(log)
			restarted := testEntry("w")
			restarted.Incarnation = 2
			b.owner.SetWorkers([]fleet.Entry{restarted})
		}},
		{evidenceWorkerRestartedReported, func(log *bytes.Buffer) {
			b := runningHarness()
			b.logTo(log)
			b.owner.Report("w", fleet.Report{ClockMS: 20, Incarnation: 2})
		}},
		{evidenceWorkerRestartedRecorded, func(log *bytes.Buffer) {
			b := runningHarness()
			b.owner.inheritedWorker("w", 2)
			b.logTo(log)
			b.now += 50
			b.owner.Report("w", fleet.Report{ClockMS: 20, Incarnation: 2})
		}},
		{evidenceOtherIncarnation, func(log *bytes.Buffer) {
			b := runningHarness()
			b.tickAfter(100)
			b.logTo(log)
			b.now += 700
			b.owner.Report("w", fleet.Report{Outcome: fleet.OtherIncarnation})
		}},
		{evidenceNeverSent, func(log *bytes.Buffer) {
			b := newHarness(testEntry("w"))
			b.reportAndDeliver()
			b.logTo(log)
			b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
			b.owner.Flush()
			b.owner.Cancel(JobRef{ID: bestEffortJob}, func(Verdict) {})
			b.deliverPending()
		}},
		{evidenceRefused, func(log *bytes.Buffer) {
			b := newHarness(testEntry("w"))
			b.reportAndDeliver()
			b.owner.options.Effects.Start = func(order fleet.Start) {
				b.now += 40
				b.owner.Started(order, fleet.Answer{Outcome: fleet.NoRoom})
			}
			b.logTo(log)
			b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
			b.owner.Flush()
			b.owner.Appended(journal.Done)
		}},
		{evidenceStopConfirmed, func(log *bytes.Buffer) {
			b := runningHarness()
			b.owner.stopJob(b.owner.jobs[bestEffortJob], "test")
			b.deliverPending()
			b.logTo(log)
			b.report("w", func(job.Task) int64 { return 0 })
		}},
	}
	var page strings.Builder
	for _, scenario := range scenarios {
		var log bytes.Buffer
		scenario.play(&log)
		lines := linesOf(&log, "run_ended", "lease_lapsed", "worker_replaced", "worker_restarted")
		if want := `"evidence":"` + scenario.want.String() + `"`; !strings.Contains(linesOf(&log, "run_ended"), want) {
			t.Errorf("no run_ended line with %s:\n%s", want, log.String())
		}
		page.WriteString(scenario.want.String() + "\n" + lines + "\n")
	}
	goldie.New(t).Assert(t, "evidence", []byte(page.String()))
}

// TestLateEndLine ends a run as lapsed whose worker then reports it as done, twice:
// one line tells of it.
func TestLateEndLine(t *testing.T) {
	b := runningHarness()
	b.tickAfter(7000)
	var log bytes.Buffer
	b.logTo(&log)
	b.now += 500
	done := fleet.Report{ClockMS: int64(b.now) - 3000, Incarnation: 1, Ended: []fleet.End{{Number: 1, Task: job.Task{Job: bestEffortJob}, Run: 1}}}
	b.owner.workers["w"].missedHolds = 1
	b.owner.Report("w", done)
	b.owner.Report("w", done)
	goldie.New(t).Assert(t, "late_end", []byte(linesOf(&log, "late_end_reported", "worker_responsive")))
}

// TestTakeoverLines checks the lines on each step of a takeover, and on its loss.
func TestTakeoverLines(t *testing.T) {
	b := newHarness()
	var log bytes.Buffer
	b.logTo(&log)
	b.owner.options.PreviousOwner = "entry-a"
	b.now += 350
	b.owner.Fenced(2)
	b.now += 120
	data, err := codec.Marshal(unresponsiveList{Workers: []unresponsiveWorker{{ID: "v", Remaining: 700}, {ID: "w", Remaining: 90}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.owner.Load([]journal.Stored{{Record: journal.Record{Key: keyUnresponsive, Value: data}}}); err != nil {
		t.Fatal(err)
	}
	b.owner.PreviousOwnerStopped(StopNotOwning)
	b.owner.PreviousOwnerStopped(StopPingedOwner)
	b.runs["w"] = map[job.Task]int{}
	b.owner.SetWorkers([]fleet.Entry{testEntry("w")})
	b.tickAfter(25)
	b.report("w", func(job.Task) int64 { return 0 })
	b.deliverPending()
	b.tickAfter(300)
	b.deliverPending()
	b.report("w", func(job.Task) int64 { return 0 })
	b.tickAfter(300)
	b.now += 1400
	b.owner.Report("w", fleet.Report{Outcome: fleet.Fenced})
	goldie.New(t).Assert(t, "takeover", []byte(linesOf(&log, "cell_fenced", "state_loaded", "previous_owner_stopped", "holds_begun", "ownership_lost")))
}
