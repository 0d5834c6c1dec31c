package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Sizes of the case label.
const (
	labelWorkers = 8
	labelRounds  = 4
	special      = labelWorkers // number of the worker whose kind changes
	specialKind  = "b"          // its kind at first, which the submissions require
	downFor      = time.Second  // from its crash until it is back
	afterReturn  = 4 * time.Second
	perRound     = 3 // submissions while it is down
)

// changedLabel: the one worker of kind b crashes and comes back under its id and at its
// address, as kind a. Tasks that require kind b must not start there.
func changedLabel(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := startAll(ctx, d, labelWorkers, []manifest.Queue{queue("lookup", "/lookup/", 0)}); err != nil {
		return false, err
	}
	c, err := newCaller(d, host)
	if err != nil {
		return false, err
	}
	d.kill(workerName(special))
	if err := d.startWorker(special, specialKind); err != nil {
		return false, err
	}
	d.notef("%s runs as kind %s, the %d others as kind a", workerName(special), specialKind, labelWorkers-1)
	if err := sleep(ctx, afterReturn); err != nil {
		return false, err
	}
	steps := []job.Step{{Count: 2, MilliCPU: lookupCPU, MemoryMB: 500, EstimateMS: lookupMS, Label: specialKind}}
	number := 0
	submit := func() error {
		number++
		return c.mustSubmit(ctx, "/lookup/", newID(lookupMS, lookupCPU, number), steps)
	}
	for round := range labelRounds {
		if err := submit(); err != nil {
			return false, err
		}
		if err := sleep(ctx, afterReturn); err != nil {
			return false, err
		}
		if err := d.crashAndReturn(ctx, trouble, round, "a", submit); err != nil {
			return false, err
		}
		if err := d.crashAndReturn(ctx, trouble, round, specialKind, func() error { return nil }); err != nil {
			return false, err
		}
	}
	return d.judgeLabels()
}

// crashAndReturn kills the special worker, submits while it is down, and starts its next
// life, of a kind. Without the disruption the worker runs on.
func (d *deployment) crashAndReturn(ctx context.Context, trouble bool, round int, kind string, submit func() error) error {
	if trouble {
		d.kill(workerName(special))
		d.notef("disruption, round %d: %s crashed (SIGKILL)", round+1, workerName(special))
	}
	for range perRound {
		if err := submit(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, downFor); err != nil {
		return err
	}
	if trouble {
		if err := d.startWorker(special, kind); err != nil {
			return err
		}
		d.notef("%s is back under its id, as kind %s", workerName(special), kind)
	}
	return sleep(ctx, afterReturn)
}

// judgeLabels reports whether a task started on a life of a worker without kind b.
func (d *deployment) judgeLabels() (bool, error) {
	events, err := d.events()
	if err != nil {
		return false, err
	}
	starts, wrong := 0, 0
	for _, event := range events {
		if event.Kind != "started" {
			continue
		}
		starts++
		if !slices.Contains(strings.Split(event.Labels, ","), specialKind) {
			wrong++
			d.notef("ROUTE: task %s.0.%d.%d, which requires %s, run %d, started on %s with labels %s at %.3f s", event.Job, event.Step, event.Index,
				specialKind, event.Run, event.Worker, event.Labels, float64(event.AtMS-d.started.UnixMilli())/1000)
		}
	}
	d.notef("%d starts, %d of them on a worker without the label", starts, wrong)
	return wrong > 0, nil
}
