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
	switch {
	case ctx.Err() != nil || err == nil && !verdict.broken():
		if removeErr := os.RemoveAll(dir); err == nil {
			err = errors.Wrap(removeErr, "clean up")
		}
		return verdict, err
	case err != nil:
		return verdict, errors.WithMessagef(err, "see %s", dir)
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
	if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
		return dir, errors.Wrap(err, "keep a broken seed")
	}
	return kept, errors.Wrap(os.RemoveAll(dir), "clean up")
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
	base, release, err := claimAddresses(ctx)
	if err != nil {
		return Verdict{}, err
	}
	defer release()
	d := &deployment{
		plan: p, program: options.Program, env: options.Env, dir: dir, base: base,
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
