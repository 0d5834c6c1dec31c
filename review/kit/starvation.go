package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case starvation.
const (
	starvationWorkers = 8
	watches           = 210 // submissions whose tasks last
	watchCPU          = 20  // milli-CPU of each of their tasks
	lookups           = 5   // batch submissions after the loss of a worker
	lookupTasks       = 4
	lookupCPU         = 1000
	lookupMS          = 1000
	settle            = 15 * time.Second // from the loss of the worker until batch work is submitted
	finish            = 14 * time.Second // finish_s
	span              = 3 * time.Second  // for which nothing runs
)

const host = "nony24.example"

func queue(name, prefix string, priority int) manifest.Queue {
	return manifest.Queue{
		Name: name, Host: host, PathPrefix: prefix, Pools: []string{poolName}, Priority: priority, MaxFailures: 4,
		ObjectiveFactor: 2, ObjectiveAllowance: 1000, Timeout: 3 * clock.Second,
	}
}

// starvation: more than 200 long-running submissions spread their tasks over all
// workers, one a worker. One worker of eight is lost for good. Batch submissions that
// are accepted afterwards must run, as the other workers are nearly idle.
func starvation(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, starvationWorkers, []manifest.Queue{queue("watch", "/watch/", 0), queue("lookup", "/lookup/", 0)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	if err := c.mustSubmit(ctx, "/lookup/", newID(lookupMS, lookupCPU, 1), lookupSteps()); err != nil {
		return false, err
	}
	if err := submitWatches(ctx, d, c); err != nil {
		return false, err
	}
	if trouble {
		d.kill(workerName(starvationWorkers))
		d.notef("disruption: %s, one worker of %d, is lost for good (SIGKILL, not started again)", workerName(starvationWorkers), starvationWorkers)
	}
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	accepted := make([]string, lookups)
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

func lookupSteps() []job.Step {
	return []job.Step{{Count: lookupTasks, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: lookupMS}}
}

// startAll starts the store, the workers and three entries.
func startAll(ctx context.Context, d *deployment, workers int, tables []manifest.Queue) error {
	if err := d.startStore(ctx, tables); err != nil {
		return err
	}
	if err := d.startWorkers(ctx, workers); err != nil {
		return err
	}
	return d.startEntries(ctx, len(zones))
}

// submitWatches submits the long-running jobs, and waits until all their tasks run.
func submitWatches(ctx context.Context, d *deployment, c *caller) error {
	steps := []job.Step{{Count: starvationWorkers, MilliCPU: watchCPU, MemoryMB: 50, EstimateMS: 500, PerWorker: 1, Lasting: true, Image: "watch"}}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(8)
	for i := range watches {
		group.Go(func() error { return c.mustSubmit(groupCtx, "/watch/", newID(0, watchCPU, i), steps) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	d.notef("%d long-running submissions were accepted, each of %d tasks, at most one a worker", watches, starvationWorkers)
	err := await(ctx, "all long-running tasks at work", 40*time.Second, func() bool {
		used, err := d.inUse()
		return err == nil && used.runs == watches*starvationWorkers
	})
	d.notef("all %d long-running tasks are at work", watches*starvationWorkers)
	return err
}

// usage is what runs on the workers that are up.
type usage struct {
	runs     int
	milliCPU int64
	byJob    map[string]int // runs
	starts   map[string]int // starts so far
}

// inUse sums up what runs on the workers that are up, by their events.
func (d *deployment) inUse() (usage, error) {
	events, err := d.events()
	used := usage{byJob: map[string]int{}, starts: map[string]int{}}
	for _, event := range events {
		if event.Kind == "started" {
			used.starts[event.Job]++
		}
		if !d.running(event.Worker) {
			continue
		}
		change := -1
		if event.Kind == "started" {
			change = 1
		}
		used.runs += change
		used.byJob[event.Job] += change
		used.milliCPU += int64(change) * workOf(job.Task{Job: job.ID(event.Job)}).Room.MilliCPU
	}
	return used, err
}

// judgeIdle reports whether some of the accepted jobs, which have a task whose turn has
// come, have nothing running for 3 s while there is capacity for it twice over, and
// under half of the capacity is in use.
func (d *deployment) judgeIdle(ctx context.Context, c *caller, prefix string, accepted []string, taskCPU int64) (bool, error) {
	idle := map[string]bool{}
	for _, id := range accepted {
		idle[id] = true
	}
	for begin := time.Now(); time.Since(begin) < span; {
		used, err := d.inUse()
		if err != nil {
			return false, err
		}
		capacity := int64(0)
		for number := 1; d.processes[workerName(number)] != nil; number++ {
			if d.running(workerName(number)) {
				capacity += workerCPU
			}
		}
		if used.milliCPU*2 >= capacity || capacity-used.milliCPU < 2*taskCPU*lookupTasks {
			return false, fmt.Errorf("%d of %d milli-CPU are in use", used.milliCPU, capacity)
		}
		for id := range idle {
			idle[id] = idle[id] && used.byJob[id] == 0
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	broken := 0
	used, err := d.inUse()
	for _, id := range accepted {
		state := c.state(ctx, prefix, id)
		if idle[id] && state != "completed" {
			broken++
			d.notef("LOST: accepted submission %s is shown as %q; nothing of it ran for 3 s; %d starts in all; %d milli-CPU are in use", id, state, used.starts[id], used.milliCPU)
		}
	}
	d.notef("%d of %d accepted submissions do not run", broken, len(accepted))
	for _, e := range d.entries {
		d.logTail(e.name, "placement_blocked", 2)
	}
	return broken > 0, err
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
