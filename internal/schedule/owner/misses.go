package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// misses are the tasks for which a pass has found no worker, so that others
// that are harder to place are not tried again on every worker. Within a pass
// workers only get fuller.
type misses map[missKind][]miss

// missKind is what tasks must have in common to be compared.
type missKind struct {
	pool  string
	image string
	fills bool
}

// miss is how hard a task was to place.
type miss struct {
	ask     fleet.Room
	movedAt clock.Millis // of its job: the longer ago, the more is allowed
}

func missOf(j *jobState, step *stepState) miss {
	spec := step.spec
	return miss{
		ask:     asked(spec),
		movedAt: j.movedAt,
	}
}

func kindOf(pool string, step *stepState) missKind {
	return missKind{pool: pool, image: step.spec.Image, fills: step.spec.Fills}
}

// note remembers that a task of a step fits nowhere in a pool. One that its own
// step kept from some workers says nothing of others.
func (m misses) note(pool string, j *jobState, step *stepState) {
	if step.spec.PerWorker > 0 || step.spec.Label != "" || m.cover(pool, j, step) {
		return
	}
	kind := kindOf(pool, step)
	m[kind] = append(m[kind], missOf(j, step))
}

// cover reports whether a task that was at most as hard to place as one of a
// step has found no worker. A step with a worker of its own is always tried.
func (m misses) cover(pool string, j *jobState, step *stepState) bool {
	if step.kept > 0 {
		return false
	}
	this := missOf(j, step)
	return slices.ContainsFunc(m[kindOf(pool, step)], func(before miss) bool {
		return within(before.ask, this.ask) && before.movedAt <= this.movedAt
	})
}
