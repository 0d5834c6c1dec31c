// Package runtime runs an owner: it drives the state machine of package
// schedule/owner from one goroutine, with a clock, and executes its effects.
//
//	inbox ──> loop ──> Owner ──> Effects ──> goroutines ──> inbox
//	ticker ─────┘                             store, workers
//
// # Usage
//
//	run := runtime.New(options)
//	err := run.Serve(ctx) // until ownership is lost or the context ends
//	...
//	verdict := run.Submit(ctx, spec, held)
package runtime

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// Period and limits of the loop.
const (
	tickPeriod        = clock.Millis(25) // time between ticks of the owner
	inboxSize         = 4096             // capacity for inputs that the loop has not handled
	maxInputsPerFlush = 64               // inputs handled after the first one, before a flush
)

// ErrOwnershipLost is returned by Serve when another owner exists.
var ErrOwnershipLost = errors.New("ownership lost")

// Options configures a Runtime.
type Options struct {
	Epoch      int64
	Topic      string // of the cell's records
	Clock      clock.Clock
	Log        journal.Log
	Limits     journal.Limits // of the store; zero: the defaults
	Dispatcher fleet.Dispatch // sends orders to workers
	Times      owner.Times
	Cores      float64 // of this process; 0 if unknown
	Logger     zerolog.Logger
	Metrics    *owner.Metrics
	// AdmitBytes reports whether the process has memory for a job; nil: always.
	AdmitBytes func(count int64) bool
	// StartsAtOnce is the largest number of starts under way; 0: no bound.
	StartsAtOnce int
	// Tables returns the newest manifest and the failure domains that are out of
	// service; Workers returns the newest list of workers. Both are called before
	// the first tick and on each, and return false if nothing is known or nothing has changed since the
	// given version.
	Tables  func(seen int64) (Tables, bool)
	Workers func(seen int64) (Workers, bool)
	// PreviousOwner is the name of the previous owner, for log lines.
	PreviousOwner string
	// PreviousOwnerStopped is what shows that it has stopped acting, if anything does.
	PreviousOwnerStopped owner.StopEvidence
	// PreviousRenewWindow is the same as in owner.Options.
	PreviousRenewWindow clock.Millis
}

// Tables is one version of the operators' tables.
type Tables struct {
	Version      int64 // of this value, not of the manifest; increases with each change
	Manifest     manifest.Manifest
	Release      *release.Release // set in a deployment with its own tables; else nil
	OutOfService map[string]bool  // failure domains out of service
}

// Workers is one version of the list of workers.
type Workers struct {
	Version int64
	Entries []fleet.Entry
}

// Runtime runs one owner.
type Runtime struct {
	options      Options
	stateMachine *owner.Owner
	inbox        chan func()
	resigned     chan string // reason of the resignation
	group        *errgroup.Group
	ctx          context.Context // of the group; set by Serve before it starts goroutines
	writer       *writer
	tables       int64         // version last passed to the owner
	workers      int64         // version last passed to the owner
	loaded       chan struct{} // closed when the state is loaded
}

// New returns a runtime for an owner that has just claimed its cell.
func New(options Options) *Runtime {
	options.Limits = options.Limits.OrDefault()
	r := &Runtime{
		options:  options,
		inbox:    make(chan func(), inboxSize),
		resigned: make(chan string, 1),
		loaded:   make(chan struct{}),
	}
	r.stateMachine = owner.New(owner.Options{
		Epoch: options.Epoch, PreviousOwner: options.PreviousOwner, PreviousRenewWindow: options.PreviousRenewWindow, Now: options.Clock.Now,
		WallClock: func() int64 { return time.Now().UnixMilli() },
		Limits:    options.Limits,
		Times:     options.Times, Cores: options.Cores, Log: options.Logger, Metrics: options.Metrics, AdmitBytes: options.AdmitBytes, StartsAtOnce: options.StartsAtOnce,
		Effects: owner.Effects{
			Append: r.append, Start: r.start, Stop: r.stop, Pace: r.pace, Hold: r.hold, Resign: r.resign,
		},
	})
	return r
}

// Serve loads the recorded state and runs the owner. It returns ErrOwnershipLost, an
// error of loading, or nil after the context has ended and an append in progress has
// returned.
func (r *Runtime) Serve(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	groupCtx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	r.group, r.ctx = group, groupCtx
	r.writer = newWriter(r.options, r.spawn, func(outcome journal.Outcome, refused []string) {
		r.post(func() {
			r.stateMachine.RecordsRefused(refused)
			r.stateMachine.Appended(outcome)
		})
	})
	if err := r.load(ctx); err != nil {
		return err
	}
	close(r.loaded)
	group.Go(func() error { return r.writer.serve(groupCtx) })
	err := r.loop(ctx)
	cancel()
	if groupErr := group.Wait(); groupErr != nil && !errors.Is(groupErr, context.Canceled) {
		return groupErr
	}
	return err
}

// load fences previous owners off the cell's records and reads the records.
func (r *Runtime) load(ctx context.Context) error {
	attempts, err := r.writer.fence(ctx)
	if err != nil {
		return err
	}
	r.stateMachine.Fenced(attempts)
	for {
		page := r.options.Log.Newest(ctx, r.options.Topic)
		if page.Outcome == journal.Done {
			return r.stateMachine.Load(page.Records)
		}
		if err := r.options.Clock.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// loop handles inputs and ticks one at a time, until the context ends or the owner
// resigns.
func (r *Runtime) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	r.applyUpdates()
	if by := r.options.PreviousOwnerStopped; by != owner.NotStopped {
		r.stateMachine.PreviousOwnerStopped(by)
	}
	r.stateMachine.Tick()
	for {
		select {
		case <-ctx.Done():
			return nil
		case reason := <-r.resigned:
			return errors.WithMessage(ErrOwnershipLost, reason)
		case input := <-r.inbox:
			input()
			r.drainInbox()
			r.stateMachine.Flush()
		case <-ticker.C:
			r.applyUpdates()
			r.stateMachine.Tick()
		}
	}
}

// drainInbox handles queued inputs, at most maxInputsPerFlush.
func (r *Runtime) drainInbox() {
	for range maxInputsPerFlush {
		select {
		case act := <-r.inbox:
			act()
		default:
			return
		}
	}
}

// applyUpdates passes newer tables and workers to the owner.
func (r *Runtime) applyUpdates() {
	if tables, ok := r.options.Tables(r.tables); ok {
		r.tables = tables.Version
		r.stateMachine.SetManifest(tables.Manifest)
		r.stateMachine.SetDomainsOut(tables.OutOfService)
	}
	if workers, ok := r.options.Workers(r.workers); ok {
		r.workers = workers.Version
		r.stateMachine.SetWorkers(workers.Entries)
	}
}

// post queues an input for the loop, and discards it once the runtime has ended.
func (r *Runtime) post(input func()) {
	select {
	case r.inbox <- input:
	case <-r.ctx.Done():
	}
}

// request queues an input for the loop and waits for its reply. It returns fallback
// if the context or the runtime ends first.
func request[Reply any](ctx context.Context, r *Runtime, fallback Reply, input func(reply func(Reply))) Reply {
	select {
	case <-r.loaded:
	case <-ctx.Done():
		return fallback
	}
	replies := make(chan Reply, 1)
	r.post(func() { input(func(reply Reply) { replies <- reply }) })
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return fallback
}

// noDecision is the verdict if the owner has ended, or did not decide before the
// caller's context ended.
var noDecision = owner.Verdict{Ruling: owner.NotOwner, Reason: "the owner did not decide"}

// Submit submits a job that an entry has held for a time to the owner, and waits for the
// verdict.
func (r *Runtime) Submit(ctx context.Context, spec job.Spec, held clock.Millis) owner.Verdict {
	heldSince := r.options.Clock.Now() - held
	return request(ctx, r, noDecision, func(reply func(owner.Verdict)) {
		r.stateMachine.SubmitHeld(spec, r.options.Clock.Now()-heldSince, reply)
	})
}

// Cancel cancels a job and waits for the verdict.
func (r *Runtime) Cancel(ctx context.Context, ref owner.JobRef) owner.Verdict {
	return request(ctx, r, noDecision, func(reply func(owner.Verdict)) { r.stateMachine.Cancel(ref, reply) })
}

// Lookup returns what is recorded of a job.
func (r *Runtime) Lookup(ctx context.Context, ref owner.JobRef) owner.LookupResult {
	return request(ctx, r, owner.LookupResult{Verdict: noDecision}, func(reply func(owner.LookupResult)) { reply(r.stateMachine.Lookup(ref)) })
}

// CountWaiting counts the jobs of a queue that have not begun.
func (r *Runtime) CountWaiting(ctx context.Context, queue string) (count int, ok bool) {
	count = request(ctx, r, -1, func(reply func(int)) { reply(r.stateMachine.CountWaiting(queue)) })
	return count, count >= 0
}

// Dump returns the owner's state, or false if it does not answer in time.
func (r *Runtime) Dump(ctx context.Context) (owner.Dump, bool) {
	dump := request(ctx, r, owner.Dump{}, func(reply func(owner.Dump)) { reply(r.stateMachine.Dump()) })
	return dump, dump.Epoch != 0
}

// Where says where a job would be placed now, without placing it.
func (r *Runtime) Where(ctx context.Context, query owner.WhereQuery) owner.WhereAnswer {
	return request(ctx, r, owner.WhereAnswer{Verdict: noDecision}, func(reply func(owner.WhereAnswer)) { reply(r.stateMachine.Where(query)) })
}

// Epoch returns the epoch of the ownership.
func (r *Runtime) Epoch() int64 { return r.options.Epoch }

// StoreAge returns the time since the newest confirmed append was sent, or false
// if the state is not loaded.
func (r *Runtime) StoreAge() (clock.Millis, bool) {
	select {
	case <-r.loaded:
		return r.options.Clock.Now() - r.writer.confirmedAt(), true
	default:
		return 0, false
	}
}

// spawn starts a goroutine that Serve waits for.
func (r *Runtime) spawn(task func()) {
	r.group.Go(func() error {
		task()
		return nil
	})
}

// PreviousOwnerStopped informs the owner that the previous owner has stopped acting,
// and what shows it.
func (r *Runtime) PreviousOwnerStopped(by owner.StopEvidence) {
	select {
	case <-r.loaded:
		r.post(func() { r.stateMachine.PreviousOwnerStopped(by) })
	default: // the state is not loaded; the caller repeats the report
	}
}

// NoLaterOwner informs the owner that all other entries, queried at a time or later,
// knew no later owner.
func (r *Runtime) NoLaterOwner(at clock.Millis) {
	select {
	case <-r.loaded:
		r.post(func() { r.stateMachine.NoLaterOwner(at) })
	default: // nothing can be submitted before the state is loaded
	}
}

func (r *Runtime) append(records []journal.Record) { r.writer.enqueue(records) }

func (r *Runtime) start(order fleet.Start) {
	r.options.Dispatcher.Start(order, func(answer fleet.Answer) {
		r.post(func() { r.stateMachine.Started(order, answer) })
	})
}

func (r *Runtime) stop(order fleet.Stop) {
	r.options.Dispatcher.Stop(order, func(answer fleet.Answer) {
		r.post(func() { r.stateMachine.Stopped(order, answer) })
	})
}

func (r *Runtime) pace(order fleet.Pace) {
	r.options.Dispatcher.Pace(order, func(answer fleet.Answer) {
		r.post(func() { r.stateMachine.Paced(order, answer) })
	})
}

func (r *Runtime) hold(order fleet.Hold) {
	r.options.Dispatcher.Hold(order, func(report fleet.Report) {
		r.post(func() { r.stateMachine.Report(order.To.ID, report) })
	})
}

func (r *Runtime) resign(reason string) {
	select {
	case r.resigned <- reason:
	default: // a reason is pending
	}
}
