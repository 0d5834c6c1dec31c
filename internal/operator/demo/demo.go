// Package demo shows the whole system in one process: stand-ins of the
// platform, nine workers and six entries in three failure domains, which talk
// over loopback TCP. Work is sent while a failure domain is taken out and put
// back, the platform's log is away, one entry is lost and another is stopped.
//
//	start ─> publish ─> steady ─> domain out ─> back ─> log away ─> entry lost ─> entry stopped ─> finish ─> verdict
//	           └──────────────── requests and tasks all the while ────────────────────────┘
//
// The figures on the last line come from what callers and workers saw, never
// from the system's own counters.
//
// # Usage
//
//	code := demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr, Start: startEntry})
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
)

// How long each act takes. The domain is out for longer than the grace of the
// witness, so that a start in it would be seen.
const (
	steadyTime    = 4 * clock.Second
	outGrace      = 4 * clock.Second
	outTime       = 6 * clock.Second
	backTime      = 3 * clock.Second
	outageTime    = 4 * clock.Second
	lostTime      = 4 * clock.Second
	startLimit    = 15 * clock.Second // until all entries serve the first tables
	versionLimit  = 8 * clock.Second  // until a configuration is in force everywhere
	finishLimit   = 20 * clock.Second // until all accepted tasks have ended
	stopLimit     = 10 * clock.Second // of the graceful stops at the end
	pollEvery     = 100               // ms, between looks at what is waited for
	domainOut     = "c"
	entryKilled   = "b-entry-2"
	entryStopped  = "a-entry-2"
	operatorsName = "demo-operator"
)

// Entry is a running entry.
type Entry struct {
	Callers   string                          // ip:port for requests and tasks
	Operators string                          // ip:port for dump and readiness
	Stop      func(ctx context.Context) error // graceful, returns when it has ended
	Kill      func()                          // as the loss of its VM
}

// Options are what the demo is run with.
type Options struct {
	Out      io.Writer // gets the verdict
	Progress io.Writer // gets a line for each act
	Seed     uint64    // of the work that is sent
	Start    func(ctx context.Context, settings setting.Entry) (Entry, error)
}

// Run runs the demo and returns the exit code: 1 when something that must
// always hold did not, or the demo could not be run.
func Run(ctx context.Context, options Options) int {
	stage, err := newStage(ctx, options)
	if err != nil {
		_, _ = fmt.Fprintln(options.Progress, "demo:", err)
		return exitFailed
	}
	report, err := stage.run(ctx)
	if err != nil {
		stage.sayf("stopped early: %v", err)
	}
	for _, violation := range stage.site.Record.Verdict().Violations {
		stage.sayf("VIOLATION: %s", violation)
	}
	if encodeErr := json.NewEncoder(options.Out).Encode(report); err != nil || encodeErr != nil || !report.kept() {
		return exitFailed
	}
	return exitDone
}

// run plays the acts while work is sent, and judges.
func (stage *stage) run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	background, inner := errgroup.WithContext(ctx)
	stage.serve(inner, background)
	err := stage.play(inner)
	stage.stopAll(context.WithoutCancel(ctx))
	cancel()
	if ended := background.Wait(); err == nil {
		err = ended
	}
	return stage.report(), err
}

func (stage *stage) play(ctx context.Context) error {
	if err := stage.open(ctx); err != nil {
		return err
	}
	work, inner := errgroup.WithContext(ctx)
	sending, stop := context.WithCancel(inner)
	stage.send(sending, inner, work)
	err := stage.acts(inner)
	stop()
	if ended := work.Wait(); err == nil {
		err = ended
	}
	if err != nil {
		return err
	}
	return stage.finish(ctx)
}

// open starts all entries and publishes the tables.
func (stage *stage) open(ctx context.Context) error {
	stage.sayf("starting %d entries in %d failure domains, %d workers", len(stage.entries), len(domains), len(domains)*workersPerDomain)
	if err := stage.startEntries(ctx); err != nil {
		return err
	}
	tables := demoTables()
	if err := stage.publish(ctx, ledger.Edit{Replace: &tables}); err != nil {
		return errors.Wrap(err, "publish tables")
	}
	if err := stage.inForce(ctx, startLimit); err != nil {
		return err
	}
	stage.sayf("tables in force everywhere: version %d", stage.version)
	return nil
}

func (stage *stage) acts(ctx context.Context) error {
	stage.sayf("steady load")
	for _, act := range []func(ctx context.Context) error{
		stage.pause(steadyTime),
		stage.takeOut, stage.pause(outTime),
		stage.putBack, stage.pause(backTime),
		stage.logAway, stage.pause(outageTime),
		stage.logBack, stage.loseEntry, stage.pause(lostTime),
		stage.stopEntry,
	} {
		if err := act(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (stage *stage) pause(span clock.Millis) func(context.Context) error {
	return func(ctx context.Context) error { return stage.site.Clock.Sleep(ctx, span) }
}

func (stage *stage) takeOut(ctx context.Context) error {
	stage.sayf("taking failure domain %s out", domainOut)
	return stage.mark(ctx, domainOut, true)
}

func (stage *stage) putBack(ctx context.Context) error {
	stage.sayf("putting failure domain %s back", domainOut)
	return stage.mark(ctx, domainOut, false)
}

func (stage *stage) logAway(context.Context) error {
	stage.sayf("platform log away for %d ms", outageTime)
	stage.site.Log.SetFaults(journal.Faults{Down: true})
	return nil
}

func (stage *stage) logBack(context.Context) error {
	stage.sayf("platform log is there again")
	stage.site.Log.SetFaults(journal.Faults{})
	return nil
}

func (stage *stage) loseEntry(context.Context) error {
	stage.sayf("entry %s is lost", entryKilled)
	stage.entry(entryKilled).Kill()
	stage.lost++
	return nil
}

func (stage *stage) stopEntry(ctx context.Context) error {
	stage.sayf("entry %s is stopped gracefully", entryStopped)
	limited, cancel := context.WithTimeout(ctx, stopLimit.Duration())
	defer cancel()
	return errors.Wrap(stage.entry(entryStopped).Stop(limited), "stop "+entryStopped)
}

// finish waits until every accepted task has ended.
func (stage *stage) finish(ctx context.Context) error {
	verdict := stage.site.Record.Verdict()
	stage.sayf("no more work is sent; %d of %d accepted tasks have finished", verdict.TasksFinished, verdict.TasksAccepted)
	return stage.until(ctx, finishLimit, "all accepted tasks finish", func() bool {
		return stage.settled().TasksOpen == 0
	})
}

// settled returns a verdict after all workers have looked at their clocks.
func (stage *stage) settled() witness.Verdict {
	for _, worker := range stage.workers() {
		worker.Settle()
	}
	return stage.site.Record.Verdict()
}
