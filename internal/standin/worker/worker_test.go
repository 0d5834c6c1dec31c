package worker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// newObserved returns a worker, and the events that it reports.
func newObserved(now clock.Millis) (*Worker, *[]Event) {
	w := New(fleet.Entry{ID: "w", Room: fleet.Room{MilliCPU: 4000, MemoryMB: 4000}}, now)
	events := &[]Event{}
	w.OnEvent = func(event Event) {
		if event.Kind == RunEnded {
			*events = append(*events, event)
		}
	}
	return w, events
}

var firstTask, secondTask = job.Task{Job: "1"}, job.Task{Job: "2"}

// Runs and leases end at their own times and in their order, however late the
// worker is called.
func TestAdvanceLate(t *testing.T) {
	const booted = 100
	for _, c := range []struct {
		name     string
		slow     bool
		lapsesAt clock.Millis
	}{{"exact clock", false, booted + 1501}, {"slow clock", true, booted + 1531}} {
		t.Run(c.name, func(t *testing.T) {
			w, events := newObserved(booted)
			w.SlowClock = c.slow
			w.DrawWork = func(task job.Task) Work {
				return Work{Length: map[job.Task]clock.Millis{firstTask: 5000, secondTask: 1000}[task]}
			}
			for _, task := range []job.Task{firstTask, secondTask} {
				if answer := w.Start(fleet.Start{Task: task, Run: 1, UntilMS: 1500, Token: 1}, booted); answer.Outcome != fleet.Accepted {
					t.Fatal(answer.Outcome)
				}
			}
			w.Advance(booted + 9000)
			want := []Event{
				{Kind: RunEnded, At: booted + 1000, Task: secondTask, Run: 1, Cause: fleet.EndDone},
				{Kind: RunEnded, At: c.lapsesAt, Task: firstTask, Run: 1, Cause: fleet.EndLeaseLapsed},
			}
			if diff := cmp.Diff(want, *events); diff != "" {
				t.Errorf("ends (-want +got):\n%s", diff)
			}
		})
	}
}

// An end that the lease outlived counts as acknowledged; one before a lapse does not.
func TestAcknowledgeAfterLapse(t *testing.T) {
	for _, lapsed := range []bool{false, true} {
		w, _ := newObserved(0)
		acknowledged := 0
		w.OnAcknowledged = func(job.Task) { acknowledged++ }
		w.Start(fleet.Start{Task: firstTask, Run: 1, UntilMS: 3000, Token: 1}, 0)
		at := clock.Millis(2000)
		if lapsed {
			at = 4000
		}
		w.Hold(fleet.Hold{UntilMS: 9000, Token: 1}, at)
		w.Hold(fleet.Hold{UntilMS: 9000, Acked: 1, Token: 1}, at)
		if want := map[bool]int{false: 1, true: 0}[lapsed]; acknowledged != want {
			t.Errorf("lapsed %t: %d ends acknowledged, want %d", lapsed, acknowledged, want)
		}
	}
}

// A report lists a limited number of ends; the others follow once those are
// acknowledged.
func TestHoldLimitsEnds(t *testing.T) {
	w, _ := newObserved(0)
	w.AdmissionCheck = false
	const ends = maxEndsPerReport + 7
	for i := range ends {
		w.Start(fleet.Start{Task: job.Task{Job: "1", Index: i}, Run: 1, UntilMS: 5000, Token: 1}, 0)
	}
	first := w.Hold(fleet.Hold{UntilMS: 5000, Token: 1}, 2000)
	rest := w.Hold(fleet.Hold{UntilMS: 5000, Token: 1, Acked: first.Ended[len(first.Ended)-1].Number}, 2000)
	if diff := cmp.Diff([]int{maxEndsPerReport, 7}, []int{len(first.Ended), len(rest.Ended)}); diff != "" {
		t.Errorf("ends in two reports (-want +got):\n%s", diff)
	}
}

// An acknowledgement meant for an earlier incarnation has a higher number than the ends
// of the next one, which must be reported all the same.
func TestEndAfterAcknowledgementOfEarlierIncarnationIsReported(t *testing.T) {
	w, _ := newObserved(0)
	acknowledged := 0
	w.OnAcknowledged = func(job.Task) { acknowledged++ }
	w.Hold(fleet.Hold{UntilMS: 5000, Acked: 40, Token: 1}, 0)
	w.Start(fleet.Start{Task: firstTask, Run: 1, UntilMS: 5000, Token: 1}, 0)
	report := w.Hold(fleet.Hold{UntilMS: 5000, Token: 1}, 2000)
	want := []fleet.End{{Number: 1, Task: firstTask, Run: 1}}
	if diff := cmp.Diff(want, report.Ended); diff != "" || acknowledged != 0 {
		t.Errorf("%d ends acknowledged; ends (-want +got):\n%s", acknowledged, diff)
	}
}

// A waiting hold acknowledges no end that comes while it waits.
func TestWaitingHoldReportsEndBelowItsAcknowledgement(t *testing.T) {
	fake := clock.NewFake(1000)
	w, _ := newObserved(fake.Clock().Now())
	host := NewHost(w, fake.Clock(), journal.Log{})
	start := fleet.Start{To: fleet.Address{ID: "w"}, Task: firstTask, Run: 1, UntilMS: 5000, Token: 1}
	host.accept(start.To, func(w *Worker, now clock.Millis) fleet.Answer { return w.Start(start, now) })
	report := host.hold(t.Context(), fleet.Hold{To: start.To, UntilMS: 5000, Acked: 40, WaitMS: 3000, Token: 1})
	if diff := cmp.Diff([]fleet.End{{Number: 1, Task: firstTask, Run: 1}}, report.Ended); diff != "" {
		t.Errorf("ends in the report (-want +got):\n%s", diff)
	}
}

// A host refuses orders for a worker that had its address before.
func TestHostRefusesOtherID(t *testing.T) {
	w, _ := newObserved(0)
	host := NewHost(w, clock.NewFake(1000).Clock(), journal.Log{})
	calls := []fleet.Outcome{
		host.accept(fleet.Address{ID: "before"}, func(w *Worker, now clock.Millis) fleet.Answer {
			return w.Start(fleet.Start{Task: firstTask, Run: 1, UntilMS: 5000}, now)
		}).Outcome,
		host.hold(t.Context(), fleet.Hold{To: fleet.Address{ID: "before"}, UntilMS: 5000}).Outcome,
		host.hold(t.Context(), fleet.Hold{To: fleet.Address{ID: "w"}, UntilMS: 5000}).Outcome,
	}
	if diff := cmp.Diff([]fleet.Outcome{fleet.OtherIncarnation, fleet.OtherIncarnation, fleet.Accepted}, calls); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if len(w.Tasks()) > 0 {
		t.Error("the worker runs a task that was ordered from another one")
	}
}
