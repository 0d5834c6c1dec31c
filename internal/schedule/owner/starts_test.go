package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// startDriver answers the starts of an owner late or not at all, and ends what began.
type startDriver struct {
	*ownerHarness
	silent  map[string]bool // workers that answer no start
	appends int             // in flight
	open    []openStart
	began   map[string][]fleet.Start // by worker id, not ended yet
	ended   map[string]int64         // by worker id
	mostOn  int                      // most starts open on one worker
	mostAll int                      // most starts open on all
}

type openStart struct {
	order fleet.Start
	sent  clock.Millis
}

// Times of workers and of the client that calls them.
const (
	stepTime    clock.Millis = 5
	answerTime  clock.Millis = 10
	callTimeout clock.Millis = 400
)

func newStartDriver(startsAtOnce int, ids ...string) *startDriver {
	var entries []fleet.Entry
	for _, id := range ids {
		entries = append(entries, testEntry(id))
	}
	d := &startDriver{
		ownerHarness: newHarness(entries...), silent: map[string]bool{},
		began: map[string][]fleet.Start{}, ended: map[string]int64{},
	}
	d.owner.options.StartsAtOnce = startsAtOnce
	d.owner.options.Effects.Start = d.start
	d.owner.options.Effects.Append = func([]journal.Record) { d.appends++ }
	d.pass(200)
	return d
}

func (d *startDriver) start(order fleet.Start) {
	d.open = append(d.open, openStart{order: order, sent: d.now})
	on := 0
	for _, known := range d.open {
		if known.order.To.ID == order.To.ID {
			on++
		}
	}
	d.mostOn, d.mostAll = max(d.mostOn, on), max(d.mostAll, len(d.open))
}

// answer answers the starts that are due.
func (d *startDriver) answer() {
	pending := d.open
	d.open = nil
	for _, known := range pending {
		id := known.order.To.ID
		switch {
		case d.silent[id] && d.now-known.sent >= callTimeout:
			d.owner.Started(known.order, fleet.Answer{Outcome: fleet.Unanswered})
		case !d.silent[id] && d.now-known.sent >= answerTime:
			d.began[id] = append(d.began[id], known.order)
			d.owner.Started(known.order, fleet.Answer{ClockMS: int64(d.now)})
		default:
			d.open = append(d.open, known)
		}
	}
}

// endAll lets all runs that began end, and all workers report.
func (d *startDriver) endAll() {
	for id := range d.runs {
		orders := d.began[id]
		report := fleet.Report{ClockMS: int64(d.now), Incarnation: 1}
		for _, order := range orders {
			d.ended[id]++
			report.Ended = append(report.Ended, fleet.End{Number: d.ended[id], Task: order.Task, Run: order.Run})
		}
		d.began[id] = nil
		d.owner.workers[id].holdSentAt = d.now - 1
		d.owner.Report(id, report)
	}
}

// pass lets time pass.
func (d *startDriver) pass(span clock.Millis) {
	for end := d.now + span; d.now < end; d.now += stepTime {
		d.owner.Tick()
		for ; d.appends > 0; d.appends-- {
			d.owner.Appended(journal.Done)
		}
		d.answer()
		d.endAll()
	}
}

// Guards against a connection to a worker for each task of a job that it has room for.
func TestStartsUnderWayAreBounded(t *testing.T) {
	const tasks = 4000
	for name, startsAtOnce := range map[string]int{"by worker": 0, "by cell": 30} {
		t.Run(name, func(t *testing.T) {
			d := newStartDriver(startsAtOnce, "a", "b", "c")
			d.owner.Submit(jobSpec(lastJob, job.Step{Count: tasks, MilliCPU: 1}), func(Verdict) {})
			const longest = 5 * clock.Minute
			for begun := d.now; !d.owner.jobs[lastJob].state.Final() && d.now-begun < longest; {
				d.pass(100)
			}
			if diff := cmp.Diff(job.Completed, d.owner.jobs[lastJob].state); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int64(tasks), d.ended["a"]+d.ended["b"]+d.ended["c"]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			if d.mostOn > maxStartsPerWorker || startsAtOnce > 0 && d.mostAll > startsAtOnce {
				t.Errorf("%d starts were open on one worker, %d on all", d.mostOn, d.mostAll)
			}
			if diff := cmp.Diff(startCounts{}, d.owner.starts, cmp.AllowUnexported(startCounts{})); diff != "" {
				t.Errorf("starts under way in the end (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against unreachable workers whose unanswered starts, or the retries of them, use
// up the starts of the cell. These workers report, so only their silence on starts shows.
func TestSilentWorkersLeaveStartsToOthers(t *testing.T) {
	const tasks, bound = 1500, 60
	d := newStartDriver(bound, "silent1", "silent2", "w")
	d.silent["silent1"], d.silent["silent2"] = true, true
	d.owner.Submit(jobSpec(lastJob, job.Step{Count: tasks, MilliCPU: 10}), func(Verdict) {})
	d.pass(2 * silentAfter)
	if d.ended["w"] == 0 {
		t.Errorf("the other worker has run no task within %d ms", 2*silentAfter)
	}
	d.pass(callTimeout) // the starts sent before the workers counted as silent end
	d.mostAll = 0
	d.pass(clock.Second)
	if d.mostAll > bound {
		t.Errorf("%d starts were open, want at most %d", d.mostAll, bound)
	}
	if d.ended["w"] < tasks/2 {
		t.Errorf("the other worker has run %d tasks, want at least %d", d.ended["w"], tasks/2)
	}
}

// Guards against a bound below what ordinary steps start on one worker at once.
func TestOrdinaryStepsStartAtOnce(t *testing.T) {
	d := newStartDriver(1000, "w")
	d.submitNumbered(3, func(int) job.Step { return job.Step{Count: 40, MilliCPU: 100, EstimateMS: 60000} })
	d.pass(2 * stepTime)
	if diff := cmp.Diff(120, len(d.open)); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

// Guards against further starts on a silent worker while half of the cell's are under way.
func TestSilentWorkerIsPassedOver(t *testing.T) {
	const bound = 60
	d := newStartDriver(bound, "w")
	w := d.owner.workers["w"]
	w.starts.open, w.silentSince = 1, d.owner.now-silentAfter
	var takes []bool
	for _, open := range []int{bound/2 - 1, bound / 2} {
		d.owner.starts.open = open
		takes = append(takes, d.owner.takesStart(w))
	}
	w.silentSince++
	takes = append(takes, d.owner.takesStart(w))
	if diff := cmp.Diff([]bool{true, false, true}, takes); diff != "" {
		t.Errorf("below half, at half, at half but not silent yet (-want +got):\n%s", diff)
	}
}
