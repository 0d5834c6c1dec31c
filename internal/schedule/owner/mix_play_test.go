package owner

import (
	"cmp"
	"fmt"
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

// Sizes and times of a play of mixed sizes.
const (
	mixStep     = clock.Millis(20)
	mixWarmup   = 5 * clock.Second // until the long-running tasks run
	mixArrivals = 60 * clock.Second
	mixLength   = 150 * clock.Second // bounds a play; its tasks are done earlier
	mixReport   = clock.Millis(300)
	mixLoad     = 0.92 // work that arrives, as a share of what long-running tasks leave
	mixHeld     = 0.25 // share of each worker that a long-running task holds
	mixLarge    = 0.1  // share of large tasks
	mixCores    = 1000 // milli-CPU of a core
	mixMemory   = 1000 // MB of memory for each core of a worker or task
	mixPlays    = 6    // seeds that are measured together
	mixJobTasks = 8    // tasks of a job of small tasks at most
)

// mixTask is a task of a play of mixed sizes, and what became of it.
type mixTask struct {
	id              job.Task
	large           bool
	cores           int64
	length          clock.Millis // actual duration
	arrives         clock.Millis // since the first arrival
	started, doneAt clock.Millis // since the first arrival; negative: not yet
}

// mixJob is a job of a play, its tasks being equal in size and duration.
type mixJob struct {
	spec    job.Spec
	arrives clock.Millis
	tasks   []*mixTask
}

// mixSizes are the cores of the workers, in turn.
var mixSizes = []int64{16, 32, 48, 64}

// drawMix returns the jobs of a play: a tenth of the tasks are large, and
// declared durations are off by up to half.
func drawMix(seed uint64, workers int) []mixJob {
	rng := rand.New(rand.NewPCG(seed, 11))
	cores := 0.0
	for i := range workers {
		cores += float64(mixSizes[i%len(mixSizes)]) * (1 - mixHeld)
	}
	var jobs []mixJob
	for at := clock.Millis(0); at < mixArrivals; {
		count, size, length := 1, 10+rng.Int64N(31), 1000+rng.Int64N(4001)
		const meanSmallTasks = (1 + mixJobTasks) / 2.0
		large := rng.Float64() < meanSmallTasks*mixLarge/(1-mixLarge+meanSmallTasks*mixLarge)
		if !large {
			count, size, length = 1+rng.IntN(mixJobTasks), 1+rng.Int64N(3), 500+rng.Int64N(2501)
		}
		declared := float64(length) * (0.5 + rng.Float64())
		j := mixJob{arrives: at, spec: job.Spec{ID: job.ID(fmt.Sprintf("%016x", 1000+len(jobs))), Queue: "q", Steps: []job.Step{{
			Count: count, MilliCPU: size * mixCores, MemoryMB: size * mixMemory / 2, EstimateMS: int64(declared),
		}}}}
		for k := range count {
			j.tasks = append(j.tasks, &mixTask{
				id: job.Task{Job: j.spec.ID, Index: k}, large: large, cores: size, length: clock.Millis(length), arrives: at, started: -1, doneAt: -1,
			})
		}
		jobs = append(jobs, j)
		at += clock.Millis(rng.ExpFloat64() * float64(int64(count)*size*length) / (mixLoad * cores))
	}
	return jobs
}

// mixWorkers returns the entries of a play's workers.
func mixWorkers(count int) []fleet.Entry {
	var entries []fleet.Entry
	for i := range count {
		cores := mixSizes[i%len(mixSizes)]
		entries = append(entries, fleet.Entry{
			ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Service: "pool", Address: "w:1", Domain: "d",
			Room: fleet.Room{MilliCPU: cores * mixCores, MemoryMB: cores * mixMemory}, Labels: []string{fmt.Sprint("cores-", cores)},
		})
	}
	return entries
}

// mixPlay runs an owner against workers without faults or interference, on
// which tasks of mixed sizes arrive near full load.
type mixPlay struct {
	owner   *Owner
	now     clock.Millis
	begun   clock.Millis // first arrival
	entries []fleet.Entry
	holds   map[string]clock.Millis // when each worker's hold was sent; absent: none
	runs    map[string]map[job.Task]*mixRun
	ends    map[string][]fleet.End
	ended   map[string]int64
	answers []func()
	tasks   map[job.Task]*mixTask
}

// mixRun is a run on a worker of a play of mixed sizes.
type mixRun struct {
	number  int
	cores   int64
	started clock.Millis
	task    *mixTask // nil: a long-running task
}

func newMixPlay(t testing.TB, workers int) *mixPlay {
	p := &mixPlay{
		now: clock.Hour, entries: mixWorkers(workers), holds: map[string]clock.Millis{}, runs: map[string]map[job.Task]*mixRun{},
		ends: map[string][]fleet.End{}, ended: map[string]int64{}, tasks: map[job.Task]*mixTask{},
	}
	p.owner = New(Options{
		Epoch: 1, Now: func() clock.Millis { return p.now }, WallClock: func() int64 { return int64(p.now) },
		Times: DefaultTimes(6000, 60*clock.Second), Log: zerolog.Nop(), Metrics: NewMetrics(metrics.NewSet()),
		Effects: Effects{
			Append: func([]journal.Record) { p.answer(func() { p.owner.Appended(journal.Done) }) },
			Start:  p.start, Pace: func(fleet.Pace) {}, Resign: func(string) {},
			Stop: func(order fleet.Stop) { t.Errorf("a run was stopped: %+v", order) },
			Hold: func(order fleet.Hold) {
				p.holds[order.To.ID] = p.now
				p.ends[order.To.ID] = slices.DeleteFunc(p.ends[order.To.ID], func(end fleet.End) bool { return end.Number <= order.Acked })
			},
		},
	})
	queues := []manifest.Queue{{Name: "q", Pools: []string{"pool"}, MaxFailures: 4, ObjectiveFactor: 2, ObjectiveAllowance: 1000}}
	p.owner.SetManifest(manifest.New(1, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
	for _, entry := range p.entries {
		p.runs[entry.ID] = map[job.Task]*mixRun{}
	}
	p.owner.SetWorkers(p.entries)
	return p
}

func (p *mixPlay) answer(deliver func()) { p.answers = append(p.answers, deliver) }

func (p *mixPlay) start(order fleet.Start) {
	task := p.tasks[order.Task]
	spec := p.owner.task(order.Task).spec()
	p.runs[order.To.ID][order.Task] = &mixRun{number: order.Run, cores: spec.MilliCPU / mixCores, started: p.now, task: task}
	if task != nil {
		task.started = p.now - p.begun
	}
	p.answer(func() { p.owner.Started(order, fleet.Answer{ClockMS: int64(p.now)}) })
}

// advance ends the runs of a worker that are done, and reports if its hold is due.
func (p *mixPlay) advance(id string) {
	var running []fleet.Run
	for _, task := range sortedTasks(p.runs[id]) {
		r := p.runs[id][task]
		if r.task == nil || p.now-r.started < r.task.length {
			row := fleet.Run{Task: task, Run: r.number, Usage: r.cores * mixCores}
			if r.task != nil {
				row.Percent = int(100 * (p.now - r.started) / r.task.length)
			}
			running = append(running, row)
			continue
		}
		p.ended[id]++
		p.ends[id] = append(p.ends[id], fleet.End{Number: p.ended[id], Task: task, Run: r.number, Cause: fleet.EndDone})
		delete(p.runs[id], task)
		r.task.doneAt = p.now - p.begun
	}
	sent, held := p.holds[id]
	if held && (len(p.ends[id]) > 0 || p.now-sent >= mixReport) {
		delete(p.holds, id)
		p.owner.Report(id, fleet.Report{ClockMS: int64(p.now), Incarnation: 1, Ended: slices.Clone(p.ends[id]), Running: running})
	}
}

func sortedTasks(runs map[job.Task]*mixRun) []job.Task {
	tasks := make([]job.Task, 0, len(runs))
	for task := range runs {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b job.Task) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	return tasks
}

// submitLongRunning submits a job for each size of worker, with one task on each.
func (p *mixPlay) submitLongRunning() {
	for i, cores := range mixSizes {
		held := int64(mixHeld * float64(cores))
		p.owner.Submit(job.Spec{ID: job.ID(fmt.Sprintf("%016x", i+1)), Queue: "q", Steps: []job.Step{{
			Count: (len(p.entries) + len(mixSizes) - 1 - i) / len(mixSizes), MilliCPU: held * mixCores, MemoryMB: held * mixMemory,
			Lasting: true, PerWorker: 1, Label: fmt.Sprint("cores-", cores),
		}}}, func(Verdict) {})
	}
}

// step passes the time of one step of the play.
func (p *mixPlay) step() {
	p.now += mixStep
	answers := p.answers
	p.answers = nil
	for _, deliver := range answers {
		deliver()
	}
	for _, entry := range p.entries {
		p.advance(entry.ID)
	}
	p.owner.Tick()
}

// run plays jobs until all are done.
func (p *mixPlay) run(t testing.TB, jobs []mixJob) mixResult {
	p.submitLongRunning()
	for range mixWarmup / mixStep {
		p.step()
	}
	p.begun = p.now
	var result mixResult
	var waiting []*mixTask
	for p.now-p.begun < mixLength {
		for len(jobs) > 0 && jobs[0].arrives <= p.now-p.begun {
			for _, task := range jobs[0].tasks {
				p.tasks[task.id] = task
				result.tasks = append(result.tasks, task)
				waiting = append(waiting, task)
			}
			p.owner.Submit(jobs[0].spec, func(verdict Verdict) {
				if verdict.Ruling != Recorded {
					t.Errorf("a job was refused: %+v", verdict)
				}
			})
			jobs = jobs[1:]
		}
		p.step()
		waiting = slices.DeleteFunc(waiting, func(task *mixTask) bool { return task.started >= 0 })
		if len(jobs) > 0 {
			result.addIdle(p.idleCores(t), waiting)
		}
	}
	return result
}

// idleCores returns the cores that no run uses. It fails the test if a worker
// is overcommitted.
func (p *mixPlay) idleCores(t testing.TB) int64 {
	idle := int64(0)
	for _, entry := range p.entries {
		free := entry.Room.MilliCPU / mixCores
		for _, r := range p.runs[entry.ID] {
			free -= r.cores
		}
		if free < 0 {
			t.Fatalf("%s is overcommitted by %d cores", entry.ID, -free)
		}
		idle += free
	}
	return idle
}

// mixResult is what a play of mixed sizes measured.
type mixResult struct {
	tasks       []*mixTask
	idleWaiting float64 // integral of the cores that are idle and could be requested by what waits, in core-ms
	time        clock.Millis
}

// addIdle counts the idle cores beside waiting tasks for one step, up to what
// they request.
func (r *mixResult) addIdle(idle int64, waiting []*mixTask) {
	requested := int64(0)
	for _, task := range waiting {
		requested += task.cores
	}
	r.idleWaiting += float64(min(idle, requested)) * float64(mixStep)
	r.time += mixStep
}

func (r *mixResult) add(other mixResult) {
	r.tasks = append(r.tasks, other.tasks...)
	r.idleWaiting += other.idleWaiting
	r.time += other.time
}

// mixFigures sum up a result.
type mixFigures struct {
	largeP99, largeMean, smallP99, smallMean clock.Millis // waits
	largeSlowdown, smallSlowdown             float64      // mean of time to the end over duration
	idle                                     float64      // mean idle cores beside waiting tasks
	unfinished                               int
}

func (f mixFigures) String() string {
	return fmt.Sprintf("large: p99 wait %d ms, mean %d, slowdown %.2f; small: p99 wait %d ms, mean %d, slowdown %.2f; idle beside waiting: %.1f cores; %d not done",
		f.largeP99, f.largeMean, f.largeSlowdown, f.smallP99, f.smallMean, f.smallSlowdown, f.idle, f.unfinished)
}

func (r *mixResult) figures() mixFigures {
	var f mixFigures
	var waits [2][]clock.Millis
	var slowdowns [2]float64
	for _, task := range r.tasks {
		if task.doneAt < 0 {
			f.unfinished++
			continue
		}
		class := 0
		if task.large {
			class = 1
		}
		waits[class] = append(waits[class], task.started-task.arrives)
		slowdowns[class] += float64(task.doneAt-task.arrives) / float64(task.length)
	}
	f.smallMean, f.smallP99 = meanAndP99(waits[0])
	f.largeMean, f.largeP99 = meanAndP99(waits[1])
	f.smallSlowdown = slowdowns[0] / float64(len(waits[0]))
	f.largeSlowdown = slowdowns[1] / float64(len(waits[1]))
	f.idle = r.idleWaiting / float64(r.time)
	return f
}

func meanAndP99(waits []clock.Millis) (mean, p99 clock.Millis) {
	slices.Sort(waits)
	for _, wait := range waits {
		mean += wait
	}
	return mean / clock.Millis(len(waits)), waits[len(waits)*99/100]
}

// mixOrder is the order in which a comparison considers waiting tasks.
type mixOrder func(a, b *mixTask) int

// playComparison places tasks on the first worker that has room, without
// delays, in an order that may know the durations.
func playComparison(jobs []mixJob, workers int, order mixOrder) mixResult {
	var free []int64
	for _, entry := range mixWorkers(workers) {
		cores := entry.Room.MilliCPU / mixCores
		free = append(free, cores-int64(mixHeld*float64(cores)))
	}
	var result mixResult
	var waiting []*mixTask
	running := map[*mixTask]int{}
	for now := clock.Millis(0); now < mixLength; now += mixStep {
		for task, w := range running {
			if now-task.started >= task.length {
				task.doneAt = now
				free[w] += task.cores
				delete(running, task)
			}
		}
		for len(jobs) > 0 && jobs[0].arrives <= now {
			waiting = append(waiting, jobs[0].tasks...)
			result.tasks = append(result.tasks, jobs[0].tasks...)
			jobs = jobs[1:]
		}
		slices.SortStableFunc(waiting, order)
		for _, task := range waiting {
			if w := slices.IndexFunc(free, func(cores int64) bool { return cores >= task.cores }); w >= 0 {
				free[w] -= task.cores
				task.started = now
				running[task] = w
			}
		}
		waiting = slices.DeleteFunc(waiting, func(task *mixTask) bool { return task.started >= 0 })
		idle := int64(0)
		for _, cores := range free {
			idle += cores
		}
		if len(jobs) > 0 {
			result.addIdle(idle, waiting)
		}
	}
	return result
}

// Large tasks must not wait long beside many small ones, and processors must
// not idle while tasks wait. The comparisons show how the play's figures relate
// to simple policies on the same arrivals.
func TestMixedSizes(t *testing.T) {
	const workers = 20
	var owned, firstFit, offline mixResult
	for seed := range uint64(mixPlays) {
		owned.add(newMixPlay(t, workers).run(t, drawMix(seed, workers)))
		firstFit.add(playComparison(drawMix(seed, workers), workers, func(a, b *mixTask) int { return cmp.Compare(a.arrives, b.arrives) }))
		offline.add(playComparison(drawMix(seed, workers), workers, func(a, b *mixTask) int {
			return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(b.length, a.length))
		}))
	}
	t.Log("owner:                     ", owned.figures())
	t.Log("first fit:                 ", firstFit.figures())
	t.Log("known sizes, largest first:", offline.figures())
	const largeShare, smallShare = 0.85, 1.25 // of the p99 waits by first fit, at most
	got, limit := owned.figures(), firstFit.figures()
	switch {
	case got.unfinished > 0:
		t.Errorf("%d tasks were not done", got.unfinished)
	case float64(got.largeP99) > largeShare*float64(limit.largeP99):
		t.Errorf("p99 wait of large tasks is %d ms, %d by first fit", got.largeP99, limit.largeP99)
	case float64(got.smallP99) > smallShare*float64(limit.smallP99):
		t.Errorf("p99 wait of small tasks is %d ms, %d by first fit", got.smallP99, limit.smallP99)
	case got.idle > limit.idle:
		t.Errorf("%.1f cores idle beside waiting tasks, %.1f by first fit", got.idle, limit.idle)
	}
}
