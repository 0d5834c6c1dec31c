package witness

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Bounds the texts of a verdict; the counts go on.
const maxViolations = 200

// Verdict is what the record shows. The members of Rules count violations.
type Verdict struct {
	RequestsSent          int `json:"requests_sent"`
	RequestsRan           int `json:"requests_ran"` // executions
	RequestsAnswered      int `json:"requests_answered"`
	RequestsRefusedNotRun int `json:"requests_refused_not_run"`
	RequestsUnknown       int `json:"requests_unknown"`

	TaskRuns      int          `json:"task_runs"`
	TasksAccepted int          `json:"tasks_accepted"`
	TasksFinished int          `json:"tasks_finished"` // accepted keys that finished
	TasksOpen     int          `json:"tasks_open"`     // accepted, neither finished nor cancelled
	Evictions     int          `json:"evictions"`      // runs that were stopped
	LeasesLapsed  int          `json:"leases_lapsed"`
	WorkDoneMS    clock.Millis `json:"work_done_ms"`
	WorkLostMS    clock.Millis `json:"work_lost_ms"` // done, but in no checkpoint

	Rules

	Violations []string `json:"violations"`
}

// Rules counts what must never happen.
type Rules struct {
	RequestsWrongAnswer     int `json:"requests_wrong_answer"`
	RequestsRefusedButRan   int `json:"requests_refused_but_ran"`
	NotRepeatableRanTwice   int `json:"not_repeatable_ran_twice"`
	RequestsAfterOut        int `json:"requests_after_out"` // on a VM marked out for longer than the grace
	TasksDoubled            int `json:"tasks_doubled"`      // finished, or started after they had finished, more than once
	TasksOverlapping        int `json:"tasks_overlapping"`  // two runs at one time
	AttemptsStartedTwice    int `json:"attempts_started_twice"`
	CheckpointsResumedTwice int `json:"checkpoints_resumed_twice"`
	ResumesMissed           int `json:"resumes_missed"` // a start that passed over the newest checkpoint
	TasksRefusedButRan      int `json:"tasks_refused_but_ran"`
	StartsInOutDomain       int `json:"starts_in_out_domain"`
	StartsOnOutVM           int `json:"starts_on_out_vm"`
	OvercommittedVMs        int `json:"overcommitted_vms"`
}

// Broken reports whether a rule was broken.
func (verdict Verdict) Broken() bool { return verdict.Rules != Rules{} }

// Verdict judges the record as it stands.
func (witness *Witness) Verdict() Verdict {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	judge := judge{verdict: Verdict{Violations: []string{}}}
	witness.judgeRequests(&judge)
	witness.judgeServed(&judge)
	witness.judgeRuns(&judge)
	witness.judgeStarts(&judge)
	witness.judgeSizes(&judge)
	witness.judgeWorks(&judge)
	slices.Sort(judge.verdict.Violations)
	return judge.verdict
}

// judge collects one verdict.
type judge struct{ verdict Verdict }

func (judge *judge) brokef(rule *int, format string, values ...any) {
	*rule++
	if len(judge.verdict.Violations) < maxViolations {
		judge.verdict.Violations = append(judge.verdict.Violations, fmt.Sprintf(format, values...))
	}
}

func (witness *Witness) judgeRequests(judge *judge) {
	verdict := &judge.verdict
	for id, known := range witness.requests {
		verdict.RequestsRan += known.ran
		verdict.RequestsSent += count(known.sent)
		verdict.RequestsAnswered += count(known.answered)
		verdict.RequestsRefusedNotRun += count(known.refused)
		verdict.RequestsUnknown += count(known.unknown)
		if known.wrong {
			judge.brokef(&verdict.RequestsWrongAnswer, "request %s: wrong answer", id)
		}
		if known.refused && known.ran > 0 {
			judge.brokef(&verdict.RequestsRefusedButRan, "request %s: refused as not run, ran %d times", id, known.ran)
		}
		if !known.repeatable && known.ran > 1 {
			judge.brokef(&verdict.NotRepeatableRanTwice, "request %s: not repeatable, ran %d times", id, known.ran)
		}
	}
}

func (witness *Witness) judgeServed(judge *judge) {
	for _, seen := range witness.served {
		if witness.late(witness.vms[seen.vm], seen.at) || witness.late(witness.domains[seen.domain], seen.at) {
			judge.brokef(&judge.verdict.RequestsAfterOut, "request %s: ran on %s, which was out", seen.id, seen.vm)
		}
	}
}

// late reports whether a time is within a window, after its grace.
func (witness *Witness) late(windows []window, at clock.Millis) bool {
	return slices.ContainsFunc(windows, func(window window) bool {
		return at > window.from+witness.options.OutGraceMS && at < window.to
	})
}

func (witness *Witness) judgeStarts(judge *judge) {
	verdict := &judge.verdict
	resumed := map[string]int{}
	started := map[attempt]int{}
	for _, run := range witness.runs {
		verdict.TaskRuns++
		verdict.Evictions += count(run.phase == "stopped")
		verdict.LeasesLapsed += count(run.phase == "lapsed")
		if witness.late(witness.domains[run.domain], run.start) {
			judge.brokef(&verdict.StartsInOutDomain, "job %s/%d: started on %s in %s, which was out", run.job, run.number, run.vm, run.domain)
		}
		if witness.late(witness.vms[run.vm], run.start) {
			judge.brokef(&verdict.StartsOnOutVM, "job %s/%d: started on %s, which was out", run.job, run.number, run.vm)
		}
		if run.resumed != "" {
			resumed[run.resumed]++
		}
		// A run that added nothing, or was lost with its VM, leaves the
		// checkpoint for one more.
		if run.resumed != "" && (run.left == run.resumed || run.phase == lostWithVM) {
			resumed[run.resumed]--
		}
		started[attempt{job: run.job, number: run.number}]++
	}
	for checkpoint, times := range resumed {
		if times > 1 {
			judge.brokef(&verdict.CheckpointsResumedTwice, "checkpoint %s: resumed %d times more than it was left", checkpoint, times-1)
		}
	}
	for attempt, times := range started {
		if times > 1 {
			judge.brokef(&verdict.AttemptsStartedTwice, "job %s/%d: started %d times", attempt.job, attempt.number, times)
		}
	}
}

// judgeRuns looks at the runs of each key in order of their starts.
func (witness *Witness) judgeRuns(judge *judge) {
	byKey := map[string][]run{}
	for _, run := range witness.runs {
		byKey[run.key] = append(byKey[run.key], run)
	}
	for key, runs := range byKey {
		slices.SortStableFunc(runs, func(one, other run) int { return cmp.Compare(one.start, other.start) })
		judge.runsOf(key, runs)
	}
}

func (judge *judge) runsOf(key string, runs []run) {
	verdict := &judge.verdict
	var before run
	busy, finished := clock.Millis(-1), never
	for index, run := range runs {
		if index > 0 && run.start < busy {
			judge.brokef(&verdict.TasksOverlapping, "task %s: %s/%d started on %s while it ran elsewhere", key, run.job, run.number, run.vm)
		}
		if run.start > finished {
			judge.brokef(&verdict.TasksDoubled, "task %s: %s/%d started on %s after it had finished", key, run.job, run.number, run.vm)
		}
		if run.phase == "finished" && finished != never {
			judge.brokef(&verdict.TasksDoubled, "task %s: finished again on %s", key, run.vm)
		}
		if index > 0 && before.phase == "stopped" && before.left != run.resumed {
			judge.brokef(&verdict.ResumesMissed, "task %s: stopped with checkpoint %q, resumed from %q", key, before.left, run.resumed)
		}
		if run.phase == "finished" {
			finished = min(finished, run.end)
			verdict.WorkDoneMS += run.done
		} else if run.end != never {
			verdict.WorkLostMS += run.done - run.saved
		}
		busy = max(busy, run.end)
		before = run
	}
}

// judgeSizes adds up what each VM was committed to over time.
func (witness *Witness) judgeSizes(judge *judge) {
	type change struct {
		at    clock.Millis
		start bool
		size  amount.Amount
	}
	changes := map[string][]change{}
	for _, run := range witness.runs {
		if run.start == run.end {
			continue
		}
		changes[run.vm] = append(changes[run.vm], change{run.start, true, run.size}, change{run.end, false, run.size})
	}
	for vm, list := range changes {
		slices.SortStableFunc(list, func(one, other change) int {
			// What ends at a time makes room for what starts at it.
			return cmp.Or(cmp.Compare(one.at, other.at), cmp.Compare(count(one.start), count(other.start)))
		})
		var used, most amount.Amount
		for _, change := range list {
			if change.start {
				used = used.Add(change.size)
			} else {
				used = used.Sub(change.size)
			}
			most = most.Max(used)
		}
		if !witness.sizes[vm].Fits(most) {
			judge.brokef(&judge.verdict.OvercommittedVMs, "VM %s: %+v committed, %+v there", vm, most, witness.sizes[vm])
		}
	}
}

func (witness *Witness) judgeWorks(judge *judge) {
	verdict := &judge.verdict
	ran, finished := map[string]bool{}, map[string]bool{}
	for _, run := range witness.runs {
		ran[run.key] = true
		if run.phase == "finished" {
			finished[run.key] = true
		}
	}
	for key, known := range witness.works {
		verdict.TasksAccepted += count(known.accepted)
		verdict.TasksFinished += count(known.accepted && finished[key])
		verdict.TasksOpen += count(known.accepted && !finished[key] && !known.cancelled)
		if known.refused && !known.accepted && ran[key] {
			judge.brokef(&verdict.TasksRefusedButRan, "task %s: refused as not run, ran", key)
		}
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
