package main

import (
	"context"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case paused.
const (
	pausedCount   = 8 // workers
	servingJobs   = 20
	servingCPU    = 250 // milli-CPU of a long-running task
	highTarget    = 100 // ms; the tail of the long-running tasks is servingTailMS
	missedTarget  = 20  // ms
	fillJobs      = 5
	beforeFilling = 6 * time.Second
)

// pausedWorkers: 20 long-running submissions have a task on each worker. One of them cannot
// keep its target, whatever runs beside it. Best-effort submissions are accepted then.
// Without the disruption all targets are above the tails.
func pausedWorkers(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, pausedCount, []manifest.Queue{queue("watch", "/watch/", 0), queue("restock", "/restock/", 2)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	for i := range servingJobs {
		target := highTarget
		if trouble && i == 0 {
			target = missedTarget
			d.notef("disruption: one of %d long-running submissions has a target of %d ms, which it cannot keep: its tail latency is %d ms at all times", servingJobs, target, servingTailMS)
		}
		watch := []job.Step{{
			Count: pausedCount, MilliCPU: servingCPU, MemoryMB: 500, EstimateMS: 500, PerWorker: 1, Lasting: true, TargetMS: int64(target), Image: "watch",
		}}
		if err := c.mustSubmit(ctx, "/watch/", newID(0, servingCPU, i), watch); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, beforeFilling); err != nil {
		return false, err
	}
	accepted := make([]string, fillJobs)
	for i := range accepted {
		accepted[i] = newID(lookupMS, lookupCPU, 2+i)
		steps := lookupSteps()
		steps[0].Fills, steps[0].Image = true, "restock"
		if err := c.mustSubmit(ctx, "/restock/", accepted[i], steps); err != nil {
			return false, err
		}
	}
	d.notef("end of the traffic")
	if err := sleep(ctx, finish); err != nil {
		return false, err
	}
	return d.judgeIdle(ctx, c, "/restock/", accepted, lookupCPU)
}
