package main

import (
	"context"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case budget.
const (
	budgetWorkers  = 6
	budgetAttempts = 2
	budgetMS       = 2500 // length of a run
)

// removedRoute: a task that always fails is at its last attempt when a manifest removes
// its route. A later manifest adds the route again, as it was. The task has used up its
// attempts and must not start again.
func removedRoute(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	kept, changed := queue("lookup", "/lookup/", 0), queue("restock", "/restock/", 0)
	kept.MaxFailures, changed.MaxFailures = budgetAttempts, budgetAttempts
	both := []manifest.Queue{kept, changed}
	if err := startAll(ctx, d, budgetWorkers, both); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	id := newID(budgetMS, lookupCPU, failing+1)
	if err := c.mustSubmit(ctx, "/restock/", id, []job.Step{{Count: 1, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: budgetMS}}); err != nil {
		return false, err
	}
	starts := func() int {
		used, err := d.inUse()
		if err != nil {
			return -1
		}
		return used.starts[id]
	}
	if err := await(ctx, "the last attempt", 20*time.Second, func() bool { return starts() == budgetAttempts }); err != nil {
		return false, err
	}
	d.notef("attempt %d of %d of the task has started", starts(), budgetAttempts)
	if trouble {
		d.notef("disruption: a manifest without the route is published")
		if err := d.publish(ctx, 4, []manifest.Queue{kept}); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return false, err
	}
	c.state(ctx, "/restock/", id)
	if trouble {
		d.notef("a manifest with the route, as it was, is published")
		if err := d.publish(ctx, 9, both); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return false, err
	}
	c.state(ctx, "/restock/", id)
	return d.judgeBudget(id)
}

// judgeBudget reports whether a task started after its attempts had ended as failed.
func (d *deployment) judgeBudget(id string) (bool, error) {
	events, err := d.events()
	if err != nil {
		return false, err
	}
	failed, broken := 0, false
	for _, event := range events {
		if event.Job != id {
			continue
		}
		d.notef("%s: run %d of task %s.0.0.0 %s %s at %.3f s", event.Worker, event.Run, id, event.Kind, event.Cause, float64(event.AtMS-d.started.UnixMilli())/1000)
		if event.Kind == "started" && failed >= budgetAttempts {
			broken = true
			d.notef("BUDGET: run %d started after %d runs had ended failed; attempts is %d", event.Run, failed, budgetAttempts)
		}
		if event.Cause == "failed" {
			failed++
		}
	}
	return broken, nil
}
