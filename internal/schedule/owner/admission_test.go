package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// runMixedLoad submits batch jobs of two tasks of 5 cores and half a second,
// two jobs a second, to five workers of 20 cores; after five seconds
// long-running jobs of two tasks of 4 cores come as often. It returns how many
// of these were accepted, how long each batch job took from submission to end
// (-1 if it did not end; those submitted in the last 3 s that have not ended are
// left out), and how many long-running tasks run at the end.
func runMixedLoad() (accepted int, durations []clock.Millis, running int) {
	b := newHarness(testEntry("w1"), testEntry("w2"), testEntry("w3"), testEntry("w4"), testEntry("w5"))
	b.reportAndDeliver()
	submittedAt := map[job.ID]clock.Millis{}
	endedAt := map[job.ID]clock.Millis{}
	startedAt := map[job.Task]clock.Millis{}
	number := 0
	newSpec := func(step job.Step) job.Spec {
		number++
		return jobSpec(fmt.Sprintf("%016x", number), step)
	}
	for round := range 50 {
		if round >= 10 {
			b.owner.Submit(newSpec(job.Step{Count: 2, MilliCPU: 4000, Lasting: true}), func(v Verdict) {
				if v.Ruling == Recorded {
					accepted++
				}
			})
		}
		batch := newSpec(job.Step{Count: 2, MilliCPU: 5000, EstimateMS: 500})
		b.owner.Submit(batch, func(Verdict) {})
		submittedAt[batch.ID] = b.now
		b.owner.Tick()
		b.deliverPending()
		b.now += 100 // deliverPending takes 400 ms, so a round takes half a second
		b.endBatch(startedAt, endedAt)
		b.reportAll()
	}
	for id, at := range submittedAt {
		if end, ok := endedAt[id]; ok {
			durations = append(durations, end-at)
		} else if b.now-at > 3*clock.Second {
			durations = append(durations, -1)
		}
	}
	for _, runs := range b.runs {
		for task := range runs {
			if b.owner.jobs[task.Job].longRunning() {
				running++
			}
		}
	}
	return accepted, durations, running
}

// Long-running jobs for which the workers have no room beside batch tasks are
// refused at once, so that batch jobs end in time and the accepted long-running
// jobs run.
func TestLongRunningJobsBeyondCapacityAreRefused(t *testing.T) {
	accepted, durations, running := runMixedLoad()
	late := 0
	for _, length := range durations {
		if length < 0 || length > 2000 {
			late++
		}
	}
	if late*10 > len(durations) {
		t.Errorf("%d of %d batch jobs took over 2 s or did not end, want at most a tenth", late, len(durations))
	}
	if accepted < 6 || accepted > 9 || running != 2*accepted {
		t.Errorf("%d long-running jobs accepted, %d of their tasks running; want 6 to 9 jobs with 2 running tasks each", accepted, running)
	}
}

func TestRefusedLongRunningJobGetsRetryAfter(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	var verdict Verdict
	b.owner.Submit(jobSpec(largeJob, job.Step{Count: 8, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 6, MilliCPU: 2000, Lasting: true}), func(v Verdict) { verdict = v })
	want := Verdict{Ruling: Refused, Reason: "no room for more lasting tasks", RetryAfter: longRunningRetryAfter}
	if diff := cmp.Diff(want, verdict); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// endBatch ends the batch runs that have lasted half a second.
func (b *ownerHarness) endBatch(startedAt map[job.Task]clock.Millis, endedAt map[job.ID]clock.Millis) {
	for id, runs := range b.runs {
		for task, run := range runs {
			if b.owner.jobs[task.Job].longRunning() {
				continue
			}
			if startedAt[task] == 0 {
				startedAt[task] = b.now
			}
			if b.now-startedAt[task] < 500 {
				continue
			}
			delete(runs, task)
			endedAt[task.Job] = b.now
			b.reportEnd(id, task, run)
		}
	}
}

// reportEnd reports that a run is done.
func (b *ownerHarness) reportEnd(id string, task job.Task, run int) {
	w := b.owner.workers[id]
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1, Ended: []fleet.End{{Number: w.endsApplied + 1, Task: task, Run: run}}}
	for other, number := range b.runs[id] {
		report.Running = append(report.Running, fleet.Run{Task: other, Run: number})
	}
	w.holdSentAt = b.now - 1
	b.owner.Report(id, report)
}

// reportAll sends reports of all workers without letting time pass.
func (b *ownerHarness) reportAll() {
	for id := range b.runs {
		b.report(id, func(job.Task) int64 { return 10 })
	}
}
