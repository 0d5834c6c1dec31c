package main

import (
	"context"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case estimate.
const (
	estimateWorkers = 8
	longMS          = 600000 // length of a run: ten minutes
	longCPU         = 5000
	watchFor        = 40 * time.Second // after finish
	traffic         = 25 * time.Second
)

// noEstimate: a submission has one task of ten minutes for each worker. Its steps give no
// estimate, which callers may leave out. Without the disruption they give the right one.
// Nothing else runs, so the tasks must run.
func noEstimate(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, estimateWorkers, []manifest.Queue{queue("restock", "/restock/", 2)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	step := job.Step{Count: estimateWorkers, MilliCPU: longCPU, MemoryMB: 500, PerWorker: 1, EstimateMS: longMS}
	if trouble {
		step.EstimateMS = 0
		d.notef("disruption: the submission gives no estimate of its tasks' duration")
	}
	id := newID(longMS, longCPU, 1)
	if err := c.mustSubmit(ctx, "/restock/", id, []job.Step{step}); err != nil {
		return false, err
	}
	if err := sleep(ctx, traffic); err != nil {
		return false, err
	}
	d.notef("end of the traffic")
	if err := sleep(ctx, finish); err != nil {
		return false, err
	}
	return d.judgeSpan(ctx, c, id)
}

// judgeSpan reports whether a job has nothing running for 3 s, while nothing else runs.
func (d *deployment) judgeSpan(ctx context.Context, c *caller, id string) (bool, error) {
	longest, idleSince := time.Duration(0), time.Time{}
	for begin := time.Now(); time.Since(begin) < watchFor; {
		used, err := d.inUse()
		if err != nil {
			return false, err
		}
		switch {
		case used.byJob[id] > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	c.state(ctx, "/restock/", id)
	events, err := d.events()
	if err != nil {
		return false, err
	}
	starts, ends := 0, map[string]int{}
	for _, event := range events {
		if event.Kind == "started" {
			starts++
			if event.Index == 0 {
				d.notef("run %d of task %s.0.0.0 started on %s at %.3f s", event.Run, id, event.Worker, float64(event.AtMS-d.started.UnixMilli())/1000)
			}
		} else {
			ends[event.Cause]++
		}
	}
	d.notef("%d starts of %d tasks; ends: %v; longest span after finish_s in which nothing ran, with all %d workers idle: %.1f s", starts, estimateWorkers, ends, estimateWorkers, longest.Seconds())
	for _, e := range d.entries {
		d.logTail(e.name, "worker_stalled", 2)
	}
	if longest >= span {
		d.notef("LOST: accepted submission %s had nothing running for 3 s, with capacity for it three times over", id)
	}
	return longest >= span, nil
}
