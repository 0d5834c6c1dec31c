package main

import (
	"context"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case trial.
const (
	trialCount   = 8 // workers
	poisonTasks  = 36
	poisonJobs   = 2
	poisonMS     = 200
	goodBefore   = 38 // submissions in the 3 s of the poison, which are one of twenty
	goodPeriod   = 75 * time.Millisecond
	afterPoison  = 10 * time.Second
	longRuns     = 8
	trialLookups = 5
)

// trialWorkers: one submission of twenty can never be done, as all its runs fail. When it
// has failed, long tasks are submitted, and then short ones.
func trialWorkers(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, trialCount, []manifest.Queue{queue("restock", "/restock/", 2), queue("lookup", "/lookup/", 0)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	for i := range goodBefore {
		if err := c.mustSubmit(ctx, "/restock/", newID(poisonMS, lookupCPU, 100+i), []job.Step{{Count: 1, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: poisonMS}}); err != nil {
			return false, err
		}
		if err := sleep(ctx, goodPeriod); err != nil {
			return false, err
		}
	}
	if trouble {
		d.notef("disruption: a submission whose runs all fail, one of %d", goodBefore+1)
		steps := []job.Step{{Count: poisonTasks, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: poisonMS}}
		for i := range poisonJobs {
			if err := c.mustSubmit(ctx, "/restock/", newID(poisonMS, lookupCPU, failing+1+i), steps); err != nil {
				return false, err
			}
		}
	}
	if err := sleep(ctx, afterPoison); err != nil {
		return false, err
	}
	for i := range longRuns {
		steps := []job.Step{{Count: 1, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: longMS}}
		if err := c.mustSubmit(ctx, "/restock/", newID(longMS, lookupCPU, 200+i), steps); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return false, err
	}
	accepted := make([]string, trialLookups)
	for i := range accepted {
		accepted[i] = newID(lookupMS, lookupCPU, 2+i)
		if err := c.mustSubmit(ctx, "/lookup/", accepted[i], lookupSteps()); err != nil {
			return false, err
		}
	}
	d.notef("end of the traffic")
	if err := sleep(ctx, finish); err != nil {
		return false, err
	}
	return d.judgeIdle(ctx, c, "/lookup/", accepted, lookupCPU)
}
