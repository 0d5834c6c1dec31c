package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Terms of the room that lasting tasks leave to short ones. Lasting tasks never
// end, so what they take is gone for the day, while a short task is urgent and
// gone in a second.
const (
	lastingWait  = 4 * clock.Second           // a lasting task that has waited so long is let in all the same
	shortMargin  = 1.25                       // room kept, over the most that short tasks have wanted lately
	mostShort    = 0.2                        // largest share of a pool's processors that is kept for them
	shortForgets = float64(20 * clock.Second) // after which what they wanted counts e times less
)

// poolRoom sums up the usable workers of a pool, in milli-CPU.
type poolRoom struct {
	workers []*worker
	total   int64
	lasting int64   // committed to lasting tasks
	short   int64   // committed to others, or wanted by them
	kept    float64 // share of the total that lasting tasks leave
}

// add counts a worker.
func (p *poolRoom) add(w *worker) {
	p.workers = append(p.workers, w)
	p.total += w.entry.Room.MilliCPU
	p.lasting += w.lasting.MilliCPU
	p.short += w.used.MilliCPU - w.lasting.MilliCPU
}

// admits reports whether a pool has room for a task, if it is a lasting one,
// beside what short tasks need.
func (p *poolRoom) admits(task *taskState, now clock.Millis) bool {
	if !task.spec().Lasting || task.mustRun(now) {
		return true
	}
	return float64(p.lasting+task.spec().MilliCPU) <= (1-p.kept)*float64(p.total)
}

// assigned counts a task that was just placed.
func (p *poolRoom) assigned(step *stepState) {
	if step.spec.Lasting {
		p.lasting += need(step.spec).MilliCPU
	}
}

// shortDemand is the largest share of a pool that short tasks wanted lately.
type shortDemand struct {
	share float64
	at    clock.Millis
}

// keepForShort works out how much of each pool lasting tasks leave.
func (o *Owner) keepForShort(pools map[string]*poolRoom, jobs []queuedJob) {
	for _, next := range jobs {
		if next.lasting || next.useless || len(next.pools) == 0 || pools[next.pools[0]] == nil {
			continue
		}
		pools[next.pools[0]].short += next.job.waitingCPU()
	}
	for name, pool := range pools {
		known := o.demands[name]
		share := min(float64(pool.short)/float64(max(pool.total, 1)), mostShort/shortMargin)
		known.share = max(share, known.share*math.Exp(-float64(o.now-known.at)/shortForgets))
		known.at = o.now
		o.demands[name] = known
		pool.kept = shortMargin * known.share
	}
}

// waitingCPU is what the tasks of a job that could start would take.
func (j *jobState) waitingCPU() int64 {
	sum := int64(0)
	for i := range j.steps {
		if step := &j.steps[i]; step.open {
			sum += int64(step.waiting) * need(step.spec).MilliCPU
		}
	}
	return sum
}
