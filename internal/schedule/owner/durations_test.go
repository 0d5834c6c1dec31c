package owner

import (
	"fmt"
	"maps"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// runTasks runs tasks of a step one after the other on worker w. Reports during
// a run say that it uses a number of processors.
func (m *manualOwner) runTasks(count int, step job.Step, length clock.Millis, milliCPU int64) {
	m.list(1, "w:1")
	m.report(1)
	for i := range count {
		id := job.ID(fmt.Sprintf("%016x", i+1))
		m.owner.Submit(jobSpec(string(id), step), func(Verdict) {})
		for m.owner.jobs[id].steps[0].tasks[0].run == nil || len(m.starts) <= i {
			m.advance(25)
			m.acknowledge()
			m.report(1)
		}
		m.owner.Started(m.starts[i], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
		task := job.Task{Job: id}
		for range length / 100 {
			m.advance(100)
			m.acknowledge()
			m.report(1, fleet.Run{Task: task, Run: 1, Usage: milliCPU, Percent: 1 + int(m.now/100)%90})
		}
		w := m.owner.workers["w"]
		w.holdSentAt = m.now
		m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{{Number: w.endsApplied + 1, Task: task, Run: 1}}})
	}
	for range 2 * durationsRecordPeriod / 100 {
		m.advance(100)
		m.acknowledge()
		m.report(1)
	}
}

// The order of jobs rests on durations that are as wrong as the declarations,
// unless they are learned; a later owner must know what was learned. Best-effort
// tasks that get half of their processors do half of their work in the time.
func TestDurationsAreLearnedAndKept(t *testing.T) {
	for name, row := range map[string]struct {
		step     job.Step
		milliCPU int64
		want     clock.Millis
	}{
		"batch":       {step: job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 500, Image: "a"}, milliCPU: 2000, want: 3000},
		"best effort": {step: job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 500, Image: "a", Fills: true}, milliCPU: 1000, want: 1500},
	} {
		t.Run(name, func(t *testing.T) {
			m := newManualOwner(t, 1, clock.Hour)
			m.runTasks(25, row.step, 3*clock.Second, row.milliCPU)
			maps.DeleteFunc(m.recorded, func(_ string, record journal.Record) bool { return record.Value == nil })
			for _, owner := range []*Owner{m.owner, m.successor(clock.Second).owner} {
				j := newJob(jobSpec(largeJob, row.step))
				if got := owner.taskLength(j, &j.steps[0]); got < row.want*9/10 || got > row.want*11/10 {
					t.Errorf("epoch %d expects %d ms, want %d ms", owner.options.Epoch, got, row.want)
				}
			}
		})
	}
}

func TestUnreadableDurationsAreNoError(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.owner.loadDurations([]byte{0xff})
	j := newJob(jobSpec(largeJob, job.Step{Count: 1, EstimateMS: 700}))
	if got := m.owner.taskLength(j, &j.steps[0]); got != 700 {
		t.Errorf("%d ms, want the declared 700", got)
	}
}
