package witness

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

func started(at clock.Millis, vm, job string, attempt int, resumed string) Event {
	return Event{
		Kind: TaskStarted, At: at, VM: vm, Domain: vm[:1], Job: job, Attempt: attempt,
		Size: amount.Amount{MilliCores: 600}, Checkpoint: resumed,
	}
}

func ended(at clock.Millis, vm, job string, attempt int, phase, left string) Event {
	return Event{Kind: TaskEnded, At: at, VM: vm, Domain: vm[:1], Job: job, Attempt: attempt, Phase: phase, Checkpoint: left}
}

func booted(vm string) Event {
	return Event{Kind: Booted, VM: vm, Domain: vm[:1], Size: amount.Amount{MilliCores: 1000}}
}

func caller(kind Kind, id string) Event { return Event{Kind: kind, Request: id, Key: id} }

func ran(at clock.Millis, vm, id string) Event {
	return Event{Kind: RequestRan, At: at, VM: vm, Domain: vm[:1], Request: id}
}

// Every rule is broken once by a made-up fault, and beside it stands the
// nearest run of things that keeps it.
func TestEachRuleBites(t *testing.T) {
	out, back := Event{Kind: DomainOut, At: 1000, Domain: "a"}, Event{Kind: DomainBack, At: 9000, Domain: "a"}
	cases := []struct {
		name   string
		events []Event
		want   Rules
	}{
		{"answer of another request", []Event{caller(RequestWrong, "r")}, Rules{RequestsWrongAnswer: 1}},
		{"own answer", []Event{caller(RequestAnswered, "r"), ran(1, "a1", "r")}, Rules{}},
		{"refused but ran", []Event{ran(1, "a1", "r"), caller(RequestRefused, "r")}, Rules{RequestsRefusedButRan: 1}},
		{"refused, ran later", []Event{caller(RequestRefused, "r"), ran(1, "a1", "r")}, Rules{RequestsRefusedButRan: 1}},
		{"refused, not run", []Event{caller(RequestRefused, "r")}, Rules{}},
		{"not repeatable ran twice", []Event{caller(RequestSent, "r"), ran(1, "a1", "r"), ran(1, "b1", "r")}, Rules{NotRepeatableRanTwice: 1}},
		{"repeatable ran twice", []Event{{Kind: RequestSent, Request: "r", Repeatable: true}, ran(1, "a1", "r"), ran(1, "b1", "r")}, Rules{}},
		{"request after domain out", []Event{out, ran(4001, "a1", "r")}, Rules{RequestsAfterOut: 1}},
		{"request within grace, and after back", []Event{out, ran(4000, "a1", "r"), back, ran(9001, "a1", "q")}, Rules{}},
		{"request after VM out", []Event{{Kind: VMOut, At: 1, VM: "a1"}, ran(3002, "a1", "r"), ran(3002, "a2", "q")}, Rules{RequestsAfterOut: 1}},
		{"start after domain out", []Event{booted("a1"), out, started(4001, "a1", "j", 1, "")}, Rules{StartsInOutDomain: 1}},
		{"late news of a start after domain out", []Event{booted("a1"), out, back, started(8999, "a1", "j", 1, "")}, Rules{StartsInOutDomain: 1}},
		{"start after back", []Event{booted("a1"), out, back, started(9000, "a1", "j", 1, "")}, Rules{}},
		{"start on VM out", []Event{booted("a1"), {Kind: VMOut, At: 1, VM: "a1"}, started(3002, "a1", "j", 1, "")}, Rules{StartsOnOutVM: 1}},
		{"finished twice", []Event{
			booted("a1"), started(1, "a1", "j", 1, ""), ended(5, "a1", "j", 1, "finished", ""),
			started(5, "a1", "j", 2, ""), ended(9, "a1", "j", 2, "finished", ""),
		}, Rules{TasksDoubled: 1}},
		{"started after it had finished", []Event{
			booted("a1"), started(1, "a1", "j", 1, ""), ended(5, "a1", "j", 1, "finished", ""), started(6, "a1", "j", 2, ""),
		}, Rules{TasksDoubled: 1}},
		{"one key, two jobs", []Event{
			booted("a1"), booted("b1"),
			{Kind: TaskStarted, At: 1, VM: "a1", Job: "j", Key: "k", Attempt: 1},
			{Kind: TaskStarted, At: 2, VM: "b1", Job: "i", Key: "k", Attempt: 1},
		}, Rules{TasksOverlapping: 1}},
		{"in two places", []Event{
			booted("a1"), booted("b1"), started(1, "a1", "j", 1, ""), started(4, "b1", "j", 2, ""), ended(5, "a1", "j", 1, "lapsed", ""),
		}, Rules{TasksOverlapping: 1}},
		{"one after the other", []Event{
			booted("a1"), booted("b1"), started(1, "a1", "j", 1, ""), started(5, "b1", "j", 2, ""), ended(5, "a1", "j", 1, "lapsed", ""),
		}, Rules{}},
		{"after the VM restarted", []Event{
			booted("a1"), booted("b1"), started(1, "a1", "j", 1, ""), {Kind: Booted, At: 3, VM: "a1", Size: amount.Amount{MilliCores: 1000}}, started(4, "b1", "j", 2, ""),
		}, Rules{}},
		{"attempt started twice", []Event{
			booted("a1"), booted("b1"), started(1, "a1", "j", 1, ""), ended(2, "a1", "j", 1, "lapsed", ""), started(3, "b1", "j", 1, ""),
		}, Rules{AttemptsStartedTwice: 1}},
		{"checkpoint resumed twice", []Event{
			booted("a1"), started(1, "a1", "j", 2, "c"), ended(2, "a1", "j", 2, "lapsed", ""), started(3, "a1", "j", 3, "c"),
		}, Rules{CheckpointsResumedTwice: 1}},
		{"checkpoint resumed again after a run that added nothing", []Event{
			booted("a1"), started(1, "a1", "j", 2, "c"), ended(2, "a1", "j", 2, "stopped", "c"), started(3, "a1", "j", 3, "c"),
		}, Rules{}},
		{"checkpoint resumed again after its VM restarted", []Event{
			booted("a1"), started(1, "a1", "j", 2, "c"), booted("a1"), started(3, "a1", "j", 3, "c"),
		}, Rules{}},
		{"checkpoint resumed twice after one run that added nothing", []Event{
			booted("a1"), started(1, "a1", "j", 2, "c"), ended(2, "a1", "j", 2, "stopped", "c"), started(3, "a1", "j", 3, "c"), ended(4, "a1", "j", 3, "stopped", "d"), started(5, "a1", "j", 4, "c"),
		}, Rules{CheckpointsResumedTwice: 1, ResumesMissed: 1}},
		{"checkpoint passed over", []Event{
			booted("a1"), started(1, "a1", "j", 1, ""), ended(2, "a1", "j", 1, "stopped", "c"), started(3, "a1", "j", 2, ""),
		}, Rules{ResumesMissed: 1}},
		{"checkpoint resumed", []Event{
			booted("a1"), started(1, "a1", "j", 1, ""), ended(2, "a1", "j", 1, "stopped", "c"), started(3, "a1", "j", 2, "c"),
		}, Rules{}},
		{"overcommitted", []Event{booted("a1"), started(1, "a1", "j", 1, ""), started(2, "a1", "i", 1, "")}, Rules{OvercommittedVMs: 1}},
		{"room made", []Event{
			booted("a1"), started(1, "a1", "j", 1, ""), started(2, "a1", "i", 1, ""), ended(2, "a1", "j", 1, "stopped", ""),
		}, Rules{}},
		{"refused task ran", []Event{booted("a1"), caller(TaskRefused, "j"), started(1, "a1", "j", 1, "")}, Rules{TasksRefusedButRan: 1}},
		{"refused task accepted later", []Event{
			booted("a1"), caller(TaskRefused, "j"), caller(TaskAccepted, "j"), started(1, "a1", "j", 1, ""),
		}, Rules{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			record := New(Options{OutGraceMS: 3000})
			for _, event := range test.events {
				record.Note(event)
			}
			verdict := record.Verdict()
			if diff := cmp.Diff(test.want, verdict.Rules); diff != "" {
				t.Errorf("rules (-want +got):\n%s%s", diff, strings.Join(verdict.Violations, "\n"))
			}
			if verdict.Broken() != (test.want != Rules{}) {
				t.Errorf("Broken() = %v", verdict.Broken())
			}
		})
	}
}

func TestCounts(t *testing.T) {
	record := New(Options{})
	twice := Event{Kind: RequestRan, Request: "r", Source: "a1", Sequence: 7}
	end := ended(50, "a1", "j", 1, "stopped", "c")
	end.DoneMS, end.SavedMS = 40, 30
	for _, event := range []Event{
		twice, twice, caller(RequestSent, "r"), caller(RequestAnswered, "r"), caller(RequestUnknown, "q"),
		booted("a1"), caller(TaskAccepted, "j"), caller(TaskAccepted, "open"), caller(TaskAccepted, "gone"), caller(TaskCancelled, "gone"),
		started(10, "a1", "j", 1, ""), end, started(60, "a1", "j", 2, "c"), ended(99, "a1", "j", 2, "finished", "c"),
	} {
		record.Note(event)
	}
	want := Verdict{
		RequestsSent: 1, RequestsRan: 1, RequestsAnswered: 1, RequestsUnknown: 1,
		TaskRuns: 2, TasksAccepted: 3, TasksFinished: 1, TasksOpen: 1, Evictions: 1, WorkLostMS: 10, Violations: []string{},
	}
	if diff := cmp.Diff(want, record.Verdict()); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

func TestBody(t *testing.T) {
	one, other := Body("r-1", 400), Body("r-2", 400)
	if len(one) != 400 || string(one) == string(other) || !strings.HasPrefix(string(one), "r-1\n") {
		t.Errorf("bodies do not tell requests apart: %q %q", one, other)
	}
}
