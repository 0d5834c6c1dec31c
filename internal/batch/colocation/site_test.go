package colocation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/batch/quota"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// site is a deployment at the size of today.
type site struct {
	name    string
	hosts   int
	cores   int64
	memory  int64 // MB
	perRack int
	taskMin int64   // milli-cores
	demand  float64 // of batch work, as a part of what would fit at best
	loud    float64 // factor of all noise
	seed    uint64
}

var (
	maraval  = site{"maraval", 65, 64, 250_000, 11, 500, 0.7, 2.5, 7}
	tsetseg  = site{"tsetseg", 50, 16, 60_000, 8, 250, 0.7, 2.5, 7}
	services = []string{"ration", "order", "lookup", "drawer"}
	// Slowdown of each service by a VM full of each kind of task, at usual load.
	noise = [][]float64{
		{0.05, 0.02, 0.05, 0.03}, // quiet
		{0.10, 0.15, 0.05, 0.10},
		{0.25, 0.05, 0.20, 0.05}, // loud to some services
		{0.05, 0.30, 0.10, 0.25},
		{0.90, 0.15, 0.70, 0.20}, // very loud to some
		{0.80, 0.90, 0.70, 0.90}, // very loud to all, and rare
	}
	kindShare   = []float64{0.3, 0.25, 0.2, 0.15, 0.08, 0.02}
	kinds       = []string{"quiet", "plain", "cache", "memory", "loud", "storm"}
	savePeriods = []clock.Millis{30_000, 60_000, 20_000, 60_000, 30_000, 60_000}
)

// task is a job with the truth that policies must not see.
type task struct {
	id        string
	kind      int
	team      string
	class     route.Class
	declared  amount.Amount
	used      amount.Amount // when it runs freely
	charged   amount.Amount
	work      float64 // milliseconds of free running
	done      float64
	saved     float64 // at the newest checkpoint
	host      *host
	attempt   int
	throttled bool
	stopping  bool
	stopAt    clock.Millis
	submitted clock.Millis
	started   clock.Millis
}

// host is a worker with the services beside its tasks.
type host struct {
	placement.Worker
	services []int
	tasks    []*task
	loud     float64
	load     float64
}

// extra returns the true slowdown of a service on the host, with more cores of
// a kind besides.
func (h *host) extra(service, kind int, more float64) float64 {
	sum := more * noise[kind][service]
	for _, task := range h.tasks {
		sum += noise[task.kind][service] * task.cores()
	}
	return h.loud * h.load * sum / (float64(h.Size.MilliCores) / 1000)
}

func (t *task) cores() float64 {
	cores := float64(t.used.MilliCores) / 1000
	if t.throttled {
		return cores * throttledPart
	}
	return cores
}

const (
	throttledPart                = 0.25 // speed and use of a throttled task
	reportLag       clock.Millis = 10_000
	reportEvery     clock.Millis = 5_000
	checkpointFails              = 4 // one stop in so many falls back to the last checkpoint
	tick            clock.Millis = 1_000
)

// figures are what the users measure.
type figures struct {
	work      float64 // core-seconds of batch work that lasted
	lost      float64 // core-seconds thrown away
	evictions int
	throttles int
	starts    int
	ended     int
	latencies [4][]float64 // by service
	p99       [4]float64   // of latencies
	waits     []float64    // of urgent tasks, in ms
	worst     int          // evictions in one report lag
	slow      float64      // core-seconds spent throttled
	waiting   int          // tasks at the end
	over      int          // ticks of a worker committed beyond its size
}

// run is a site under one policy.
type run struct {
	site      site
	policy    policy
	load      *rand.Rand // of the services, drawn alike under all policies
	jobs      *rand.Rand // of the batch tasks
	urgent    *rand.Rand // of the urgent tasks
	now       clock.Millis
	hosts     []*host
	byName    map[string]*host
	index     *placement.Index
	queue     *queue.Queue
	shares    *quota.Shares
	tasks     map[string]*task
	serial    int
	reports   [][]worker.Usage // taken at each reportEvery, newest last
	figures   figures
	noisy     bool // half of the arrivals are very loud
	quiet     bool // no reports arrive
	recent    []clock.Millis
	measuring bool
	due       float64 // batch tasks to submit
}

// policy is what differs between the runs.
type policy struct {
	name   string
	place  func(*run, *task, queue.Item) string
	react  func(*run, []worker.Usage)
	placed func(*run, *task)
	batch  bool // batch tasks run at all
	unlost bool // evictions lose no work
}

func newRun(site site, policy policy) *run {
	r := &run{
		site: site, policy: policy, now: clock.Hour,
		load: rand.New(rand.NewPCG(site.seed, 1)), jobs: rand.New(rand.NewPCG(site.seed, 2)), urgent: rand.New(rand.NewPCG(site.seed, 3)),
		byName: map[string]*host{}, index: placement.New(3), tasks: map[string]*task{},
	}
	whole := amount.Amount{}
	size := amount.Amount{MilliCores: site.cores * 1000, MemoryMB: site.memory}
	for i := range site.hosts {
		h := &host{services: []int{i % 2, 2 + i%2}, loud: site.loud, load: 1, Worker: placement.Worker{
			Name: fmt.Sprintf("vm-%03d", i), Pool: "batch", Size: size,
			Rack: fmt.Sprint(i / site.perRack), Domain: string(rune('a' + i*3/site.hosts)),
			Reserve: amount.Amount{MilliCores: size.MilliCores / 10, MemoryMB: size.MemoryMB / 10},
		}}
		h.Committed = amount.Amount{MilliCores: size.MilliCores / 4, MemoryMB: size.MemoryMB / 4}
		whole = whole.Add(size)
		r.hosts = append(r.hosts, h)
		r.byName[h.Name] = h
		r.index.Put(h.Worker)
	}
	var teams []route.Team
	for i := range 8 {
		teams = append(teams, route.Team{Name: fmt.Sprint("team-", i), Quota: amount.Amount{
			MilliCores: whole.MilliCores / 10, MemoryMB: whole.MemoryMB / 10,
		}})
	}
	r.shares = quota.New(teams, whole)
	r.queue = queue.New(queue.Options{Share: r.shares.Share})
	return r
}

// submit adds a task of random truth; its declared size is far off.
func (r *run) submit(class route.Class) {
	r.serial++
	random := r.jobs
	if class == route.Urgent {
		random = r.urgent
	}
	pick, kind := random.Float64(), 0
	for pick > kindShare[kind] && kind < len(kindShare)-1 {
		pick -= kindShare[kind]
		kind++
	}
	if loud := random.Float64(); r.noisy && loud < 0.5 {
		kind = 4
	}
	cores := r.site.taskMin << random.IntN(5)
	perCore := r.site.memory / r.site.cores
	declared := amount.Amount{MilliCores: cores, MemoryMB: cores * perCore / 1000 * int64(50+random.IntN(100)) / 100}
	off := math.Exp(0.35 * random.NormFloat64())
	t := &task{
		id: fmt.Sprintf("job-%06d", r.serial), kind: kind, team: fmt.Sprint("team-", random.IntN(8)), class: class,
		declared: declared, submitted: r.now,
		used: amount.Amount{MilliCores: int64(float64(cores) * min(off, 2)), MemoryMB: int64(float64(declared.MemoryMB) * min(off, 1.5))},
		work: 1000 * min(400*math.Exp(0.8*random.NormFloat64()), 3600),
	}
	if class == route.Urgent {
		t.work /= 5
	}
	r.tasks[t.id] = t
	r.wait(t)
}

func (r *run) wait(t *task) {
	item := queue.Item{ID: t.id, Team: t.team, Class: t.class, Lane: kinds[t.kind], Size: t.declared, Since: t.submitted}
	if err := r.queue.Restore(item); err != nil {
		panic(err)
	}
}

// startTasks places what waits until nothing more fits.
func (r *run) startTasks() {
	for {
		var vm string
		item, ok := r.queue.Pick(r.now, func(item queue.Item) bool {
			vm = r.policy.place(r, r.tasks[item.ID], item)
			return vm != ""
		})
		if !ok {
			return
		}
		t := r.tasks[item.ID]
		t.host, t.started, t.charged = r.byName[vm], r.now, t.declared
		t.attempt++
		t.host.tasks = append(t.host.tasks, t)
		r.index.Commit(vm, t.charged)
		r.shares.Charge(t.team, t.charged)
		r.policy.placed(r, t)
		if r.measuring {
			r.figures.starts++
			if t.class == route.Urgent && t.attempt == 1 {
				r.figures.waits = append(r.figures.waits, float64(r.now-t.submitted))
			}
		}
	}
}

// end takes a task off its host.
func (r *run) end(t *task) {
	r.index.Release(t.host.Name, t.charged)
	r.shares.Refund(t.team, t.charged)
	t.host.tasks = slices.DeleteFunc(t.host.tasks, func(other *task) bool { return other == t })
	t.host, t.throttled, t.stopping = nil, false, false
	r.queue.Freed()
}

// stop orders an eviction, which takes a moment.
func (r *run) stop(t *task) {
	if !t.stopping {
		t.stopping, t.stopAt = true, r.now+2*tick
	}
}

func (r *run) finishStops() {
	for _, h := range r.hosts {
		for at := len(h.tasks) - 1; at >= 0; at-- {
			if t := h.tasks[at]; t.stopping && r.now >= t.stopAt {
				r.evict(t)
			}
		}
	}
}

// evict ends a task at its newest checkpoint and queues it again.
func (r *run) evict(t *task) {
	// The checkpoint of a stop fails for some; the bound has no such luck.
	if r.policy.unlost || xxhash.Sum64String(fmt.Sprint(t.id, t.attempt))%checkpointFails != 0 {
		t.saved = t.done
	}
	if r.measuring {
		lost := (t.done - t.saved) / 1000 * float64(t.declared.MilliCores) / 1000
		r.figures.lost += lost
		r.figures.work -= lost
		r.figures.evictions++
		r.recent = append(slices.DeleteFunc(r.recent, func(at clock.Millis) bool { return r.now-at >= reportLag }), r.now)
		r.figures.worst = max(r.figures.worst, len(r.recent))
	}
	t.done = t.saved
	r.end(t)
	r.wait(t)
}

// advance runs tasks for a tick and measures the services.
func (r *run) advance() {
	for at, h := range r.hosts {
		r.shift(at, h)
		if held, _ := r.index.Get(h.Name); !held.Size.Fits(held.Committed) {
			r.figures.over++
		}
		used := float64(h.Size.MilliCores) / 4000 // the services' own
		for _, t := range h.tasks {
			used += t.cores()
		}
		speed := min(1, float64(h.Size.MilliCores)/1000/used)
		for at := len(h.tasks) - 1; at >= 0; at-- {
			r.work(h.tasks[at], speed)
		}
		for _, service := range h.services {
			// Common base latencies make the runs comparable.
			alone := math.Exp(0.5 * r.load.NormFloat64())
			if r.measuring {
				r.figures.latencies[service] = append(r.figures.latencies[service], alone*(1+h.extra(service, 0, 0)))
			}
		}
	}
}

// shift moves the load of a host's services: a slow wave and sudden jumps.
func (r *run) shift(at int, h *host) {
	wave := 1 + 0.3*math.Sin(float64(r.now)/600_000+float64(at))
	if r.load.Float64() < 0.0005 {
		wave *= 1.4
	}
	h.load += 0.01 * (wave - h.load)
}

func (r *run) work(t *task, speed float64) {
	if t.throttled {
		speed *= throttledPart
		if r.measuring {
			r.figures.slow += float64(t.declared.MilliCores) / 1000
		}
	}
	step := min(float64(tick)*speed, t.work-t.done)
	t.done += step
	if t.done-t.saved >= float64(savePeriods[t.kind]) {
		t.saved = t.done
	}
	if r.measuring && t.class == route.Batch {
		r.figures.work += step / 1000 * float64(t.declared.MilliCores) / 1000
	}
	if t.done >= t.work {
		if r.measuring {
			r.figures.ended++
		}
		delete(r.tasks, t.id)
		r.end(t)
	}
}

// report measures all hosts and delivers what is a lag old.
func (r *run) report() {
	var usages []worker.Usage
	for _, h := range r.hosts {
		usage := worker.Usage{VM: h.Name, TaskUsage: make([]worker.TaskUsage, 0, len(h.tasks))}
		for _, service := range h.services {
			measured := 100 * (1 + h.extra(service, 0, 0)) * (1 + 0.03*r.load.NormFloat64())
			usage.Services = append(usage.Services, worker.Service{Name: services[service], SlowdownPerc: int(measured)})
		}
		for _, t := range h.tasks {
			used := amount.Amount{MilliCores: int64(1000 * t.cores()), MemoryMB: t.used.MemoryMB}
			usage.TaskUsage = append(usage.TaskUsage, worker.TaskUsage{Job: t.id, Attempt: t.attempt, Kind: kinds[t.kind], Used: used})
		}
		usages = append(usages, usage)
	}
	r.reports = append(r.reports, usages)
	late := int(reportLag / reportEvery)
	if len(r.reports) <= late || r.quiet {
		return
	}
	arrived := r.reports[len(r.reports)-1-late]
	for i := range arrived {
		arrived[i].AgeMS = reportLag
	}
	r.charge(arrived)
	r.policy.react(r, arrived)
}

// charge commits the larger of declared and observed.
func (r *run) charge(usages []worker.Usage) {
	for _, usage := range usages {
		for _, seen := range usage.TaskUsage {
			t, known := r.tasks[seen.Job]
			if !known || t.host == nil || t.host.Name != usage.VM {
				continue
			}
			held, _ := r.index.Get(usage.VM)
			next := placement.Charge(t.declared, t.charged.Max(seen.Used), held.Size.Sub(held.Committed).Add(t.charged).Sub(t.declared))
			r.index.Commit(usage.VM, next.Sub(t.charged))
			r.shares.Charge(t.team, next.Sub(t.charged))
			t.charged = next
		}
	}
}

// rate returns the batch tasks per tick that would fill what is neither the
// services' nor reserved, if all were declared rightly and packed without gaps.
func (r *run) rate() float64 {
	const usual = 530.0 // seconds of work of a task on average
	cores := 0.65 * float64(r.site.cores) * float64(r.site.hosts)
	return cores / (6.2 * float64(r.site.taskMin) / 1000) / usual
}

// step passes one tick of load, decisions and work.
func (r *run) step() {
	r.now += tick
	waves := 1.0
	if r.now%(10*clock.Minute) < clock.Minute {
		waves = 3
	}
	urgent := r.load.Float64() < waves*0.03*float64(r.site.hosts)/10
	if r.policy.batch {
		r.finishStops()
		for r.due += r.site.demand * r.rate(); r.due >= 1; r.due-- {
			r.submit(route.Batch)
		}
		if urgent {
			r.submit(route.Urgent)
		}
		r.startTasks()
	}
	r.advance()
	if r.now%reportEvery == 0 {
		r.report()
	}
}
