package owner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// play runs an owner against workers on which best-effort tasks interfere with
// long-running ones by a matrix of image pairs that the owner does not know. It
// has no faults; it measures what callers get.
type play struct {
	owner    *Owner
	now      clock.Millis
	rng      *rand.Rand
	load     playLoad
	workers  []*playWorker
	answers  []func() // answers to the orders of this step, delivered in the next one
	arrivals int
	due      map[job.ID]clock.Millis // end of the latency objective of each best-effort job
	doneAt   map[job.ID]clock.Millis
	starts   map[job.ID]clock.Millis
	left     map[job.ID]int // best-effort tasks that are not done
	result   playResult
}

// playLoad is the load of a play.
type playLoad struct {
	workers         int
	servingJobs     int // of playServingCount tasks each, of the serving images in turn
	leaving         int // of these, jobs that are cancelled before best-effort jobs arrive
	servingImages   int
	bestEffort      []string // images of the arriving best-effort jobs, in turn
	jobsPerSecond   float64
	incompatible    func(serving, bestEffort string) bool
	length          clock.Millis
	servingPerImage int // tasks of one job on a worker at most; 0: no limit
}

// playResult is what callers got.
type playResult struct {
	jobs       int     // best-effort jobs whose objective ended during the play
	inTime     int     // of these, jobs done within it
	overTarget float64 // share of the time of long-running tasks above their target
	downTime   float64 // share of the time in which long-running tasks were not running
	moves      int     // starts of long-running tasks beyond the first
}

func (r playResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.jobs, 1)) }

// playWorker is a worker of a play, with its runs.
type playWorker struct {
	entry fleet.Entry
	runs  map[job.Task]*playRun
	ends  []fleet.End
	ended int64 // number of the last end
	hold  bool  // a hold is waiting for its answer
	since clock.Millis
}

// playRun is a run on a worker of a play.
type playRun struct {
	number int
	step   job.Step
	work   float64 // milliseconds of work done at full speed
	speed  float64 // share of full speed, 0 to 1
	pace   int
	tail   float64 // tail latency over target, averaged over the last half second
}

// Sizes and times of a play.
const (
	playStep                       = clock.Millis(20)
	playLeave                      = 2 * clock.Second // when long-running jobs leave
	playReport                     = clock.Millis(300)
	playWarmup                     = 10 * clock.Second // images are learned before jobs count
	playCPU                        = 64000
	playServingCount               = 6
	playServingCPU                 = 12000
	playBestEffortCPU              = 7000
	playBestEffortCount            = 8
	playBestEffortWork             = 2 * clock.Second
	playSwing                      = 20 * clock.Second // period of the load of the long-running tasks' users
	playHarmless, playIncompatible = 0.4, 12.0         // headroom lost to a best-effort image that uses a whole worker
)

func newPlay(seed uint64, load playLoad) *play {
	p := &play{
		now: clock.Hour, rng: rand.New(rand.NewPCG(seed, 5)), load: load, due: map[job.ID]clock.Millis{},
		doneAt: map[job.ID]clock.Millis{}, starts: map[job.ID]clock.Millis{}, left: map[job.ID]int{},
	}
	p.owner = New(Options{
		Epoch: 1, Now: func() clock.Millis { return p.now }, WallClock: func() int64 { return int64(p.now) },
		Times: DefaultTimes(6000, 60*clock.Second), Log: zerolog.Nop(), Metrics: NewMetrics(metrics.NewSet()),
		Effects: Effects{
			Append: func([]journal.Record) { p.answer(func() { p.owner.Appended(journal.Done) }) },
			Start:  p.start, Stop: p.stop, Pace: p.pace, Resign: func(string) {},
			Hold: func(order fleet.Hold) {
				w := p.worker(order.To.ID)
				w.hold, w.since = true, p.now
				w.ends = slices.DeleteFunc(w.ends, func(end fleet.End) bool { return end.Number <= order.Acked })
			},
		},
	})
	queues := []manifest.Queue{{Name: "q", Pools: []string{"pool"}, MaxFailures: 4, ObjectiveFactor: 2, ObjectiveAllowance: 1000}}
	p.owner.SetManifest(manifest.New(1, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
	var entries []fleet.Entry
	for i := range load.workers {
		entry := fleet.Entry{
			ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Service: "pool", Address: "w:1", Domain: "d",
			Room: fleet.Room{MilliCPU: playCPU, MemoryMB: 256000},
		}
		entries = append(entries, entry)
		p.workers = append(p.workers, &playWorker{entry: entry, runs: map[job.Task]*playRun{}})
	}
	p.owner.SetWorkers(entries)
	return p
}

func (p *play) answer(deliver func()) { p.answers = append(p.answers, deliver) }

func (p *play) worker(id string) *playWorker {
	i := slices.IndexFunc(p.workers, func(w *playWorker) bool { return w.entry.ID == id })
	return p.workers[i]
}

func (p *play) start(order fleet.Start) {
	w := p.worker(order.To.ID)
	spec := p.owner.jobs[order.Task.Job].spec
	w.runs[order.Task] = &playRun{number: order.Run, step: spec.Steps[order.Task.Step], pace: fullPace}
	if order.Run > 1 && w.runs[order.Task].step.Lasting {
		p.result.moves++
	}
	p.answer(func() { p.owner.Started(order, fleet.Answer{ClockMS: int64(p.now)}) })
}

func (p *play) stop(order fleet.Stop) {
	w := p.worker(order.To.ID)
	if r := w.runs[order.Task]; r != nil && r.number == order.Run {
		w.end(order.Task, fleet.EndStopped)
	}
	p.answer(func() { p.owner.Stopped(order, fleet.Answer{ClockMS: int64(p.now)}) })
}

func (p *play) pace(order fleet.Pace) {
	if r := p.worker(order.To.ID).runs[order.Task]; r != nil {
		r.pace = order.Percent
	}
	p.answer(func() { p.owner.Paced(order, fleet.Answer{ClockMS: int64(p.now)}) })
}

func (w *playWorker) end(task job.Task, cause fleet.EndCause) {
	w.ended++
	w.ends = append(w.ends, fleet.End{Number: w.ended, Task: task, Run: w.runs[task].number, Cause: cause})
	delete(w.runs, task)
}

// level is the headroom of the long-running tasks of a job without interference.
func (p *play) level(id job.ID) float64 {
	phase := float64(id[len(id)-1]) / 16
	return 2.8 + 1.1*math.Sin(2*math.Pi*(float64(p.now)/float64(playSwing)+phase))
}

// advance runs a worker for one step.
func (p *play) advance(w *playWorker) {
	idle, wanted := float64(playCPU), 0.0
	tasks := w.tasks()
	for _, task := range tasks {
		r := w.runs[task]
		if r.step.Lasting {
			idle -= float64(r.step.MilliCPU) * (1 - p.level(task.Job)/idleHeadroom)
			continue
		}
		wanted += float64(r.step.MilliCPU) * float64(r.pace) / fullPace
	}
	granted := min(max(idle, 0)/max(wanted, 1), 1)
	for _, task := range tasks {
		r := w.runs[task]
		if r.step.Lasting {
			p.serve(w, task, r, granted)
			continue
		}
		r.speed = granted * float64(r.pace) / fullPace
		r.work += r.speed * float64(playStep)
		if r.work >= float64(playBestEffortWork) {
			w.end(task, fleet.EndDone)
			p.taskDone(task.Job)
		}
	}
}

// serve updates the tail latency of a long-running task.
func (p *play) serve(w *playWorker, task job.Task, r *playRun, granted float64) {
	headroom := p.level(task.Job)
	for _, beside := range w.tasks() {
		other := w.runs[beside]
		if other.step.Lasting {
			continue
		}
		weight := playHarmless
		if p.load.incompatible(r.step.Image, other.step.Image) {
			weight = playIncompatible
		}
		headroom -= weight * other.speed * float64(other.step.MilliCPU) / playCPU
	}
	headroom -= 2 * (1 - granted) // processors that are all in use
	const window = 500.0          // ms that a reported tail latency covers
	r.tail += (1/max(headroom, 0.1) - r.tail) * float64(playStep) / window
}

func (p *play) taskDone(id job.ID) {
	p.left[id]--
	if p.left[id] == 0 {
		p.doneAt[id] = p.now
	}
}

// report sends a worker's report if its hold is due.
func (p *play) report(w *playWorker) {
	if !w.hold || len(w.ends) == 0 && p.now-w.since < playReport {
		return
	}
	w.hold = false
	report := fleet.Report{ClockMS: int64(p.now), Incarnation: 1, Ended: slices.Clone(w.ends)}
	for _, task := range w.tasks() {
		r := w.runs[task]
		usage := int64(r.speed * float64(r.step.MilliCPU))
		if r.step.Lasting {
			usage = int64(r.tail * float64(r.step.TargetMS))
		}
		report.Running = append(report.Running, fleet.Run{Task: task, Run: r.number, Usage: usage, Percent: int(r.work/20) % 100})
	}
	p.owner.Report(w.entry.ID, report)
}

// tasks lists the tasks of a worker's runs in a fixed order, so that plays repeat.
func (w *playWorker) tasks() []job.Task {
	tasks := make([]job.Task, 0, len(w.runs))
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b job.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return tasks
}

// submitServing submits the long-running jobs, of the images in turn.
func (p *play) submitServing() {
	for i := range p.load.servingJobs {
		p.owner.Submit(job.Spec{ID: job.ID(fmt.Sprintf("%016x", i+1)), Queue: "q", Steps: []job.Step{{
			Count: playServingCount, MilliCPU: playServingCPU, MemoryMB: 10000, Lasting: true, TargetMS: 100,
			Image: fmt.Sprint("serving-", i%p.load.servingImages), PerWorker: p.load.servingPerImage,
		}}}, func(Verdict) {})
	}
}

// cancelServing cancels the long-running jobs that leave.
func (p *play) cancelServing() {
	for _, i := range p.rng.Perm(p.load.servingJobs)[:p.load.leaving] {
		p.owner.Cancel(JobRef{ID: job.ID(fmt.Sprintf("%016x", i+1))}, func(Verdict) {})
	}
}

// submitBestEffort submits the best-effort jobs that arrive in a step.
func (p *play) submitBestEffort() {
	for p.rng.Float64() < p.load.jobsPerSecond*float64(playStep)/float64(clock.Second) {
		p.arrivals++
		id := job.ID(fmt.Sprintf("%016x", 1000+p.arrivals))
		image := p.load.bestEffort[p.rng.IntN(len(p.load.bestEffort))]
		p.left[id] = playBestEffortCount
		p.due[id] = p.now + 2*playBestEffortWork + clock.Second
		p.starts[id] = p.now
		p.owner.Submit(job.Spec{ID: id, Queue: "q", Steps: []job.Step{{
			Count: playBestEffortCount, MilliCPU: playBestEffortCPU, MemoryMB: 5000, Fills: true, Image: image, EstimateMS: int64(playBestEffortWork),
		}}}, func(Verdict) {})
	}
}

// run plays the load and returns what callers got.
func (p *play) run() playResult {
	p.submitServing()
	begun := p.now
	over, down, served := 0, 0, 0
	for p.now-begun < p.load.length {
		p.now += playStep
		answers := p.answers
		p.answers = nil
		for _, deliver := range answers {
			deliver()
		}
		switch {
		case p.now-begun == playLeave:
			p.cancelServing()
		case p.now-begun > playLeave:
			p.submitBestEffort()
		}
		running := 0
		for _, w := range p.workers {
			p.advance(w)
			p.report(w)
			for _, r := range w.runs {
				if r.step.Lasting {
					running++
					if r.tail > 1 && p.now-begun > playWarmup {
						over++
					}
				}
			}
		}
		if p.now-begun > playWarmup {
			served += (p.load.servingJobs - p.load.leaving) * playServingCount
			down += (p.load.servingJobs-p.load.leaving)*playServingCount - running
		}
		p.owner.Tick()
	}
	p.result.overTarget = float64(over) / float64(served)
	p.result.downTime = float64(down) / float64(served)
	for id, due := range p.due {
		if due > p.now || p.starts[id]-begun < playWarmup {
			continue
		}
		p.result.jobs++
		if at := p.doneAt[id]; at != 0 && at <= due {
			p.result.inTime++
		}
	}
	return p.result
}

// narrowLoad is a load of which two thirds suits a fifth of the images of
// long-running tasks only. There are enough idle processors for all of it if
// the others stand apart.
func narrowLoad() playLoad {
	return playLoad{
		workers: 24, servingJobs: 19, leaving: 4, servingImages: 5, bestEffort: []string{"narrow-1", "narrow-2", "wide"}, jobsPerSecond: 4, length: 60 * clock.Second,
		incompatible: func(serving, bestEffort string) bool { return serving != "serving-0" && bestEffort != "wide" },
	}
}

// Best-effort tasks that are incompatible with most long-running ones must be
// served while processors are idle that they could use.
func TestNarrowBestEffortTasksAreServedInTime(t *testing.T) {
	for seed := range uint64(4) {
		result := newPlay(seed, narrowLoad()).run()
		t.Logf("seed %d: %.2f of %d jobs in time, %.3f over target, %.3f down, %d moves of long-running tasks",
			seed, result.inTimeShare(), result.jobs, result.overTarget, result.downTime, result.moves)
		if result.inTimeShare() < 0.85 || result.overTarget > 0.05 || result.downTime > 0.05 {
			t.Errorf("seed %d: %+v", seed, result)
		}
	}
}
