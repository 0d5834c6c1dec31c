package machine

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// bench is a machine in virtual time with its witness.
type bench struct {
	*testing.T

	vm     *Machine
	time   *clock.Fake
	record *witness.Witness
	agent  worker.Agent
}

func newBench(t *testing.T, options Options) bench {
	time := clock.NewFake(clock.Hour)
	record := witness.New(witness.Options{})
	options.VM = inventory.VM{
		Name: "a1", FailureDomain: "a", State: inventory.Live, Agent: "agent",
		Size: amount.Amount{MilliCores: 1000, MemoryMB: 100},
	}
	options.Clock, options.Observe = time.Clock(), record.Observer()
	vm := New(options)
	return bench{T: t, vm: vm, time: time, record: record, agent: Agents(vm)}
}

func (bench bench) look() worker.Report {
	bench.Helper()
	report, err := bench.agent.Look(bench.Context(), "agent")
	if err != nil {
		bench.Fatal(err)
	}
	return report
}

// order starts 400 ms of work under a lease of 1,000 ms.
func (bench bench) order(job string, attempt int) worker.StartOrder {
	now := bench.look()
	return worker.StartOrder{
		Job: job, Attempt: attempt, Cell: "a.0", Boot: now.Boot, NotAfter: now.Now + 500, LeaseUntil: now.Now + 1000,
		Size: amount.Amount{MilliCores: 600}, Kind: "batch", Payload: `{"run_ms":400}`,
	}
}

func (bench bench) start(order worker.StartOrder) worker.Task {
	bench.Helper()
	task, err := bench.agent.Start(bench.Context(), "agent", order)
	if err != nil {
		bench.Fatal(err)
	}
	return task
}

func (bench bench) wantPhase(job string, attempt int, want worker.Phase) worker.Task {
	bench.Helper()
	for _, task := range bench.look().Tasks {
		if task.Job == job && task.Attempt == attempt {
			if task.Phase != want {
				bench.Errorf("%s/%d is %s, want %s", job, attempt, task.Phase, want)
			}
			return task
		}
	}
	bench.Errorf("%s/%d is not known", job, attempt)
	return worker.Task{}
}

func (bench bench) wantRules(want witness.Rules) {
	bench.Helper()
	verdict := bench.record.Verdict()
	if diff := cmp.Diff(want, verdict.Rules); diff != "" {
		bench.Errorf("rules (-want +got):\n%s%v", diff, verdict.Violations)
	}
}

func TestTaskFinishesOrLapsesByTheClockOfTheWorker(t *testing.T) {
	for _, drift := range []int64{0, 100_000, -100_000} {
		bench := newBench(t, Options{DriftPPM: drift})
		bench.start(bench.order("short", 1))
		long := bench.order("long", 1)
		long.Payload, long.Size = `{"run_ms":5000}`, amount.Amount{}
		bench.start(long)
		end := 400 * million / (million + clock.Millis(drift))
		bench.time.Advance(end - 1)
		bench.wantPhase("short", 1, worker.Running)
		bench.time.Advance(2)
		bench.wantPhase("short", 1, worker.Finished)
		bench.time.Advance(1000*million/(million+clock.Millis(drift)) - end - 2)
		bench.wantPhase("long", 1, worker.Running)
		bench.time.Advance(2)
		bench.wantPhase("long", 1, worker.Lapsed)
		bench.wantRules(witness.Rules{})
	}
}

// A lapse that nobody asked about is dated when it happened.
func TestLapseIsDatedBack(t *testing.T) {
	bench := newBench(t, Options{})
	order := bench.order("j", 1)
	order.Payload = `{"run_ms":5000}`
	bench.start(order)
	other := newBench(t, Options{})
	other.vm.options.Observe = bench.record.Observer()
	other.vm.options.VM.Name = "a2"
	other.vm.Restart()
	other.time.Advance(1000)
	second := other.order("j", 2)
	second.NotAfter += 5000
	other.start(second)
	bench.time.Advance(60_000)
	bench.wantPhase("j", 1, worker.Lapsed)
	bench.wantRules(witness.Rules{})
}

func TestRenewal(t *testing.T) {
	bench := newBench(t, Options{})
	order := bench.order("j", 1)
	order.Payload = `{"run_ms":5000}`
	bench.start(order)
	renew := worker.RenewOrder{Cell: "a.0", Boot: order.Boot, LeaseUntil: order.LeaseUntil + 1000}
	for _, wrong := range []worker.RenewOrder{
		{Cell: "b.0", Boot: renew.Boot, LeaseUntil: renew.LeaseUntil},
		{Cell: "a.0", Boot: "other", LeaseUntil: renew.LeaseUntil},
		{Cell: "a.0", Boot: renew.Boot, LeaseUntil: 1},
	} {
		if report, err := bench.agent.Renew(t.Context(), "agent", wrong); err != nil || report.Boot != order.Boot {
			t.Errorf("renew %+v: %+v, %v", wrong, report, err)
		}
	}
	bench.time.Advance(999)
	bench.wantPhase("j", 1, worker.Running)
	if _, err := bench.agent.Renew(t.Context(), "agent", renew); err != nil {
		t.Fatal(err)
	}
	bench.time.Advance(1000)
	bench.wantPhase("j", 1, worker.Running)
	bench.time.Advance(1)
	bench.wantPhase("j", 1, worker.Lapsed)
	renew.LeaseUntil += 60_000
	if _, err := bench.agent.Renew(t.Context(), "agent", renew); err != nil {
		t.Fatal(err)
	}
	bench.wantPhase("j", 1, worker.Lapsed)
}

func TestStartsThatAreRefused(t *testing.T) {
	bench := newBench(t, Options{})
	good := bench.order("j", 1)
	old := good
	bench.vm.Restart()
	good.Boot = bench.look().Boot
	late, lapsed, stopped := good, good, good
	late.NotAfter, lapsed.LeaseUntil, stopped.Job = -1, 0, "stopped"
	if task, err := bench.agent.Stop(t.Context(), "agent", worker.StopOrder{Job: "stopped", Attempt: 1}); err != nil || task.Phase != worker.Tombstone {
		t.Errorf("stop before the start: %+v, %v", task, err)
	}
	for name, order := range map[string]worker.StartOrder{"old boot": old, "late": late, "lapsed": lapsed, "tombstone": stopped} {
		if _, err := bench.agent.Start(t.Context(), "agent", order); fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%s: %v", name, err)
		}
	}
	bench.start(good)
	bench.time.Advance(600)
	if task := bench.start(good); task.Phase != worker.Finished {
		t.Errorf("repeated start of a finished attempt: %+v", task)
	}
	if runs := bench.record.Verdict().TaskRuns; runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// The machine obeys what it should never be told; the witness sees it.
func TestSystemFaultsShow(t *testing.T) {
	bench := newBench(t, Options{})
	bench.start(bench.order("j", 1))
	bench.start(bench.order("j", 2))
	bench.time.Advance(100)
	bench.wantRules(witness.Rules{TasksOverlapping: 1, OvercommittedVMs: 1})
}

func TestCheckpointResumeAndThrottle(t *testing.T) {
	bench := newBench(t, Options{AutoSaveMS: 100})
	bench.start(bench.order("j", 1))
	if _, err := bench.agent.Throttle(t.Context(), "agent", worker.ThrottleOrder{Job: "j", Attempt: 1, Slow: true}); err != nil {
		t.Fatal(err)
	}
	bench.time.Advance(600) // 150 ms of work at a quarter of the speed
	if task := bench.wantPhase("j", 1, worker.Running); task.Checkpoint != "j:1:100" || !task.Throttled {
		t.Errorf("running task %+v", task)
	}
	task, err := bench.agent.Stop(t.Context(), "agent", worker.StopOrder{Job: "j", Attempt: 1, Checkpoint: true})
	if err != nil || task.Phase != worker.Stopped || task.Checkpoint != "j:1:150" {
		t.Errorf("stopped task %+v, %v", task, err)
	}
	second := bench.order("j", 2)
	second.Resume = task.Checkpoint
	bench.start(second)
	bench.time.Advance(249)
	bench.wantPhase("j", 2, worker.Running)
	bench.time.Advance(1)
	bench.wantPhase("j", 2, worker.Finished)
	bench.wantRules(witness.Rules{})
	if verdict := bench.record.Verdict(); verdict.WorkDoneMS != 400 || verdict.WorkLostMS != 0 || verdict.Evictions != 1 {
		t.Errorf("verdict %+v", verdict)
	}
	over := []worker.Task{{Job: "j", Attempt: 1}, {Job: "j", Attempt: 2}}
	if err := bench.agent.Forget(t.Context(), "agent", worker.ForgetOrder{Jobs: over}); err != nil || len(bench.look().Tasks) != 0 {
		t.Errorf("forget: %v, %+v left", err, bench.look().Tasks)
	}
}

func TestFailingTasksAndWorkers(t *testing.T) {
	bench := newBench(t, Options{})
	failing := bench.order("fails", 1)
	failing.Payload = `{"run_ms":50,"fail":true}`
	bench.start(failing)
	bench.vm.SetFaults(Faults{FailTasks: true})
	bench.start(bench.order("good", 1))
	bench.time.Advance(failAfter)
	bench.wantPhase("good", 1, worker.Failed)
	bench.wantPhase("fails", 1, worker.Running)
	bench.time.Advance(40)
	bench.wantPhase("fails", 1, worker.Failed)
}

func TestRestartAndLostAnswers(t *testing.T) {
	bench := newBench(t, Options{})
	bench.vm.SetFaults(Faults{AgentLoseNext: 1})
	if _, err := bench.agent.Look(t.Context(), "agent"); fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("lost answer: %v", err)
	}
	start := bench.order("j", 1)
	bench.vm.SetFaults(Faults{AgentLoseNext: 1})
	if _, err := bench.agent.Start(t.Context(), "agent", start); fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("lost answer: %v", err)
	}
	bench.wantPhase("j", 1, worker.Running)
	bench.vm.Restart()
	if report := bench.look(); report.Boot == start.Boot || report.Now != 0 || len(report.Tasks) != 0 {
		t.Errorf("after a restart: %+v", report)
	}
	bench.vm.Shutdown()
	if _, err := bench.agent.Look(t.Context(), "agent"); fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("halted VM: %v", err)
	}
	if _, err := bench.agent.Look(t.Context(), "nowhere"); fault.OutcomeOf(err) != fault.NotSent {
		t.Errorf("no VM: %v", err)
	}
}

func TestUsage(t *testing.T) {
	bench := newBench(t, Options{})
	order := bench.order("j", 1)
	order.Size.MemoryMB, order.Payload = 10, `{"run_ms":400,"use_percent":50,"used_memory":70}`
	bench.start(order)
	bench.time.Advance(100)
	used := amount.Amount{MilliCores: 300, MemoryMB: 70}
	want := worker.Usage{
		VM: "a1", Used: used, Services: []worker.Service{},
		TaskUsage: []worker.TaskUsage{{Job: "j", Attempt: 1, Kind: "batch", Used: used, Progress: 25}},
	}
	if diff := cmp.Diff(want, bench.vm.Usage()); diff != "" {
		t.Errorf("usage (-want +got):\n%s", diff)
	}
}
