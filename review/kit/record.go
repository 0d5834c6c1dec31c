package main

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case record.
const (
	recordWorkers = 8
	fanSteps      = 9
	fanTasks      = 4096 // tasks of each of these steps
	fanCPU        = 100
	fanMS         = 1000
	parts         = 10 // submissions that the same tasks are divided among without the disruption
	quickLookups  = 5  // small submissions right after the large one
	lookupPeriod  = time.Second
	trafficFor    = 45 * time.Second
	lookupSteps2  = 2
)

// largeRecord: one large submission is accepted: a task that prepares, and then many
// that may run side by side. Other callers submit small jobs meanwhile. Without the
// disruption the same tasks come in ten submissions.
func largeRecord(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, recordWorkers, []manifest.Queue{queue("restock", "/restock/", 2), queue("lookup", "/lookup/", 0)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	if err := c.mustSubmit(ctx, "/lookup/", newID(lookupMS, lookupCPU, 1), twoSteps()); err != nil {
		return false, err
	}
	accepted, err := submitLarge(ctx, d, c, trouble)
	if err != nil {
		return false, err
	}
	refused := 0
	for number := 2; time.Since(d.started) < trafficFor; number++ {
		id := newID(lookupMS, lookupCPU, number)
		status, err := c.submit(ctx, "/lookup/", id, twoSteps())
		if err != nil {
			return false, err
		}
		if status == http.StatusOK {
			accepted = append(accepted, submission{prefix: "/lookup/", id: id, tasks: lookupSteps2 * lookupTasks})
		} else {
			refused++
		}
		if number < 2+quickLookups {
			continue
		}
		if err := sleep(ctx, lookupPeriod); err != nil {
			return false, err
		}
	}
	d.notef("end of the traffic: %d submissions were accepted, %d were not in five tries", len(accepted), refused)
	if err := sleep(ctx, finish); err != nil {
		return false, err
	}
	return d.judgeServed(ctx, c, accepted)
}

// twoSteps are the steps of a small submission.
func twoSteps() []job.Step {
	first, second := lookupSteps()[0], lookupSteps()[0]
	second.After = []int{0}
	return []job.Step{first, second}
}

// submission is an accepted job.
type submission struct {
	prefix, id string
	tasks      int
}

// submitLarge submits the large job, or its parts.
func submitLarge(ctx context.Context, d *deployment, c *caller, trouble bool) ([]submission, error) {
	count, width := parts, fanTasks/parts
	if trouble {
		count, width = 1, fanTasks
		d.notef("disruption: one large submission, of 1 + %d x %d tasks", fanSteps, fanTasks)
	}
	steps := []job.Step{{Count: 1, MilliCPU: fanCPU, MemoryMB: 50, EstimateMS: fanMS}}
	for range fanSteps {
		steps = append(steps, job.Step{Count: width, MilliCPU: fanCPU, MemoryMB: 50, EstimateMS: fanMS, After: []int{0}})
	}
	accepted := make([]submission, count)
	for i := range accepted {
		accepted[i] = submission{prefix: "/restock/", id: newID(fanMS, fanCPU, 100+i), tasks: 1 + fanSteps*width}
		if err := c.mustSubmit(ctx, accepted[i].prefix, accepted[i].id, steps); err != nil {
			return nil, err
		}
	}
	return accepted, nil
}

// judgeServed reports whether an accepted submission, not all of whose tasks have been
// started, has nothing running for 3 s while under half of the workers' processors are in
// use. As no step but the first has to wait here, and the first has ended, a task's turn
// has come.
func (d *deployment) judgeServed(ctx context.Context, c *caller, accepted []submission) (bool, error) {
	idle := map[string]bool{}
	for _, job := range accepted {
		idle[job.id] = true
	}
	mostInUse := int64(0)
	for begin := time.Now(); time.Since(begin) < span; {
		used, err := d.inUse()
		if err != nil {
			return false, err
		}
		mostInUse = max(mostInUse, used.milliCPU)
		for id := range idle {
			idle[id] = idle[id] && used.byJob[id] == 0
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	used, err := d.inUse()
	if err != nil {
		return false, err
	}
	broken, completed := 0, 0
	for _, job := range accepted {
		state := c.state(ctx, job.prefix, job.id)
		if state == "completed" {
			completed++
		}
		if state != "completed" && used.starts[job.id] < job.tasks && idle[job.id] && 2*mostInUse < recordWorkers*workerCPU {
			broken++
			d.notef("LOST: accepted submission %s%s is shown as %q; %d of its %d tasks have been started, and nothing of it ran for 3 s; at most %d of %d milli-CPU were in use",
				job.prefix, job.id, state, used.starts[job.id], job.tasks, mostInUse, recordWorkers*workerCPU)
		}
	}
	d.notef("%d accepted submissions: %d are completed, %d have tasks whose turn has come and do not run", len(accepted), completed, broken)
	d.logTail("limit", "refused", 1)
	for _, e := range d.entries {
		d.logTail(e.name, "cell_claimed", 1)
	}
	return broken > 0, nil
}
