// Package soak runs the real programs as separate processes on one machine, injects
// faults from outside, and judges what workers executed and callers were answered.
//
//	clients ──> entries ──> store proxy of each entry ──> stand-in of the store
//	               ├──────> link proxy of each worker and view ──> stand-ins of workers
//	               └──────> peer proxy of the owner ──> owner
//	chaos ── signals, proxies                    workers ── event files ──> judge
//
// Entries see addresses of proxies because the store proxies rewrite the records of
// workers and of the owner. A view is a set of entries with proxies of their own to
// all workers, so that workers can be reachable for some entries only.
//
// All processes are children of the soak and are ended by it. It takes a bounded time
// and leaves no files unless a promise was broken.
//
// # Usage
//
//	err := soak.Run(ctx, soak.Options{Soak: flags, Program: program, Out: os.Stdout, Progress: os.Stderr})
//
// Out gets one JSON object a seed. Broken promises give an error.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// progressPeriod is the time between lines of progress.
const progressPeriod = 5 * clock.Second

// Options are the flags, the program to run and the outputs.
type Options struct {
	Soak     option.Soak
	Program  string    // path of this program
	Env      []string  // added to the environment of its processes
	Out      io.Writer // verdicts
	Progress io.Writer
}

// Verdict is the outcome of a seed.
type Verdict struct {
	Seed       uint64         `json:"seed"`
	Entries    int            `json:"entries"`
	Workers    int            `json:"workers"`
	Links      bool           `json:"links"`
	Strong     int            `json:"strong,omitempty"` // every entry whose number is a multiple has twice the processor share
	Lanes      string         `json:"lanes"`            // of faults: owner, cut, store, process
	Apart      int            `json:"apart_percent"`    // changes of the owner that are partitions
	Leaving    int            `json:"leaving_percent"`  // successors that lose the cell soon
	Delayed    int            `json:"delayed_percent"`  // changes of the owner with slow records for the new one
	TookMS     clock.Millis   `json:"took_ms"`
	Faults     int            `json:"faults"`
	Owners     int64          `json:"owners"` // newest epoch
	Submitted  int            `json:"jobs_submitted"`
	Accepted   int            `json:"jobs_accepted"`
	Runs       int            `json:"runs"`
	Done       int            `json:"runs_done"`
	Lapsed     int            `json:"runs_lapsed"`
	Violations map[string]int `json:"broken"` // number by promise
	Failures   []string       `json:"failures,omitempty"`
	Kept       string         `json:"kept,omitempty"` // directory
}

// broken reports whether a promise was broken or the soak did not work.
func (v Verdict) broken() bool { return len(v.Violations)+len(v.Failures) > 0 }

// Run runs all seeds. It returns an error if one of them broke a promise.
func Run(ctx context.Context, options Options) error {
	broken := 0
	for i := range options.Soak.Seeds {
		seed := options.Soak.Seed + uint64(i)
		verdict, err := runSeed(ctx, options, seed)
		if err != nil {
			return errors.WithMessagef(err, "seed %d", seed)
		}
		data, err := json.Marshal(verdict)
		if err != nil {
			return errors.Wrap(err, "encode verdict")
		}
		if _, err := fmt.Fprintf(options.Out, "%s\n", data); err != nil {
			return errors.Wrap(err, "print verdict")
		}
		if verdict.broken() {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", broken, options.Soak.Seeds)
	}
	return nil
}

// runSeed plays one seed in a directory of its own.
func runSeed(ctx context.Context, options Options, seed uint64) (Verdict, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("oriolepier-soak-%d-", seed))
	if err != nil {
		return Verdict{}, errors.Wrap(err, "make a directory")
	}
	verdict, err := playSeed(ctx, options, newPlan(options.Soak, seed), dir)
	if err != nil {
		return verdict, errors.WithMessagef(err, "see %s", dir)
	}
	if !verdict.broken() {
		return verdict, errors.Wrap(os.RemoveAll(dir), "clean up")
	}
	verdict.Kept, err = keep(options.Soak.Keep, dir)
	return verdict, err
}

// keep moves the directory of a broken seed to where broken seeds are kept.
func keep(target, dir string) (string, error) {
	if target == "" {
		return dir, nil
	}
	if err := os.MkdirAll(target, 0o750); err != nil {
		return "", errors.Wrap(err, "make the directory of broken seeds")
	}
	kept := filepath.Join(target, filepath.Base(dir))
	return kept, errors.Wrap(os.CopyFS(kept, os.DirFS(dir)), "keep a broken seed")
}

// playSeed runs a deployment under faults and judges it.
func playSeed(ctx context.Context, options Options, p plan, dir string) (Verdict, error) {
	clk := clock.NewShared()
	started := clk.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := new(errgroup.Group)
	faults, err := newSchedule(filepath.Join(dir, "schedule.jsonl"), clk)
	if err != nil {
		return Verdict{}, err
	}
	defer faults.close()
	d := &deployment{
		plan: p, program: options.Program, env: options.Env, dir: dir, base: firstBase + (os.Getpid()+int(p.seed))%baseCount,
		clock: clk, group: group, schedule: faults,
	}
	callers := &load{deployment: d}
	err = d.play(ctx, callers, options.Progress)
	cancel()
	d.stop()
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	if err != nil {
		return Verdict{}, err
	}
	verdict, err := d.judge(callers, options.Progress)
	verdict.TookMS = clk.Now() - started
	return verdict, err
}

// play starts the deployment, injects faults for the length of the plan, heals it and
// waits until all jobs are final.
func (d *deployment) play(ctx context.Context, callers *load, progress io.Writer) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	faultsCtx, cancel := context.WithTimeout(ctx, d.plan.length.Duration())
	defer cancel()
	var parts errgroup.Group
	parts.Go(func() error { return d.injectFaults(faultsCtx) })
	parts.Go(func() error { return callers.run(faultsCtx) })
	parts.Go(func() error { d.reportProgress(faultsCtx, callers, progress); return nil })
	if err := parts.Wait(); err != nil {
		return err
	}
	if err := d.healAll(); err != nil {
		return err
	}
	return callers.finish(ctx)
}

// reportProgress prints a line now and then until the context ends.
func (d *deployment) reportProgress(ctx context.Context, callers *load, progress io.Writer) {
	for left := d.plan.length; d.clock.Sleep(ctx, progressPeriod) == nil; {
		left -= progressPeriod
		owner := d.owners.current()
		_, _ = fmt.Fprintf(progress, "soak: seed %d: %d s left, %d faults, epoch %d (%s), %d jobs open\n",
			d.plan.seed, left/clock.Second, d.schedule.len(), owner.Epoch, owner.Entry, len(callers.open()))
	}
}

// judge reads what the workers executed and judges it.
func (d *deployment) judge(callers *load, progress io.Writer) (Verdict, error) {
	v := Verdict{
		Seed: d.plan.seed, Entries: d.plan.entries, Workers: d.plan.workers, Links: d.plan.links, Strong: d.plan.strong, Lanes: d.plan.laneNames(), Apart: d.plan.apart, Leaving: d.plan.leaving, Delayed: d.plan.delayed,
		Faults: d.schedule.len(), Owners: d.owners.current().Epoch, Submitted: len(callers.submissions), Violations: map[string]int{},
	}
	processes, err := d.readProcesses(&v)
	if err != nil {
		return v, err
	}
	runs := collectRuns(processes)
	for _, r := range runs {
		v.Runs++
		v.Done += count(r.Cause == "done")
		v.Lapsed += count(r.Cause == "lapsed")
	}
	for _, s := range callers.submissions {
		v.Accepted += count(s.accepted)
	}
	violations := judge(runs, callers.submissions)
	for _, found := range violations {
		v.Violations[found.Promise]++
	}
	return v, d.explain(violations, progress)
}

func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}

// readProcesses reads the events of all processes of workers, and records processes
// that ended by themselves as failures.
func (d *deployment) readProcesses(v *Verdict) ([]processEvents, error) {
	for _, e := range d.entries {
		_, failures := e.report()
		v.Failures = append(v.Failures, failures...)
	}
	var processes []processEvents
	for _, g := range d.groups {
		events, err := readEvents(g.set.Events)
		if err != nil {
			return nil, err
		}
		deaths, failures := g.report()
		v.Failures = append(v.Failures, failures...)
		processes = append(processes, processEvents{events: events, deaths: deaths})
	}
	return processes, nil
}

// newRand returns random numbers of a stream of the plan's seed.
func (p plan) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.seed, stream)) }
