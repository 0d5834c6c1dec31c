// Package runtime runs an owner: it gives the state machine of package
// schedule/owner its goroutine, its clock, and the calls that it asks for.
//
//	inbox ──> loop ──> Owner ──> Effects ──> goroutines ──> inbox
//	ticker ─────┘                             store, workers
//
// # Usage
//
//	run := runtime.New(options)
//	err := run.Serve(ctx) // until the ownership is lost or the context ends
//	...
//	verdict := run.Submit(ctx, spec)
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

// Limits of the loop.
const (
	tickPeriod = clock.Millis(25)
	inboxSize  = 4096 // inputs that wait for the loop
	groupSize  = 64   // inputs handled before the next append is considered
)

// ErrOwnershipLost ends Serve when another owner exists.
var ErrOwnershipLost = errors.New("ownership lost")

// Options of a runtime.
type Options struct {
	Epoch  int64
	Topic  string // of the cell's records
	Clock  clock.Clock
	Log    journal.Log
	Orders fleet.Dispatch // carries orders to workers
	Times  owner.Times
	Cores  float64 // of this process; 0: not known
	Logger zerolog.Logger
	Counts *owner.Counts
	// Tables returns the newest manifest and the failure domains that are out,
	// and Workers the newest list; both are asked for once a tick and return
	// false when nothing is known or nothing changed since the version given.
	Tables  func(seen int64) (Tables, bool)
	Workers func(seen int64) (Workers, bool)
	// FormerGone: the former owner certainly does nothing more.
	FormerGone bool
}

// Tables are the operators' tables as followed.
type Tables struct {
	Version  int64 // of this value; rises with each change
	Manifest manifest.Manifest
	Release  *release.Release // of a deployment with tables of its own; else nil
	Out      map[string]bool
}

// Workers is the list of workers as followed.
type Workers struct {
	Version int64
	Entries []fleet.Entry
}

// Runtime runs one owner.
type Runtime struct {
	options Options
	own     *owner.Owner
	inbox   chan func()
	lost    chan string
	group   *errgroup.Group
	ctx     context.Context // of the group; set by Serve before anything else runs
	writer  *writer
	tables  int64
	workers int64
	ready   chan struct{} // closed once the state is loaded
}

// New returns a runtime for an ownership that was just won.
func New(options Options) *Runtime {
	r := &Runtime{
		options: options,
		inbox:   make(chan func(), inboxSize),
		lost:    make(chan string, 1),
		ready:   make(chan struct{}),
	}
	r.own = owner.New(owner.Options{
		Epoch: options.Epoch, Now: options.Clock.Now,
		WallClock: func() int64 { return time.Now().UnixMilli() },
		Times:     options.Times, Cores: options.Cores, Log: options.Logger, Counts: options.Counts,
		Effects: owner.Effects{
			Append: r.append, Start: r.start, Stop: r.stop, Pace: r.pace, Hold: r.hold, Resign: r.resign,
		},
	})
	return r
}

// Serve loads the recorded state and runs the owner. It returns
// ErrOwnershipLost, or nil after the context ended and the append under way
// was settled.
func (r *Runtime) Serve(ctx context.Context) error {
	group, inner := errgroup.WithContext(context.WithoutCancel(ctx))
	inner, cancel := context.WithCancel(inner)
	defer cancel()
	r.group, r.ctx = group, inner
	r.writer = newWriter(r.options, r.spawn, func(outcome journal.Outcome) {
		r.post(func() { r.own.Appended(outcome) })
	})
	if err := r.load(ctx); err != nil {
		return err
	}
	close(r.ready)
	group.Go(func() error { return r.writer.serve(inner) })
	err := r.loop(ctx)
	cancel()
	if wait := group.Wait(); wait != nil && !errors.Is(wait, context.Canceled) {
		return wait
	}
	return err
}

// load fences former owners off the cell's records and reads them.
func (r *Runtime) load(ctx context.Context) error {
	if err := r.writer.fence(ctx); err != nil {
		return err
	}
	for {
		page := r.options.Log.Newest(ctx, r.options.Topic)
		if page.Outcome == journal.Done {
			return r.own.Load(page.Records)
		}
		if err := r.options.Clock.Sleep(ctx, retryPeriod); err != nil {
			return err
		}
	}
}

// loop handles inputs one at a time.
func (r *Runtime) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	r.follow()
	if r.options.FormerGone {
		r.own.FormerGone()
	}
	r.own.Tick()
	for {
		select {
		case <-ctx.Done():
			return nil
		case reason := <-r.lost:
			return errors.WithMessage(ErrOwnershipLost, reason)
		case act := <-r.inbox:
			act()
			r.drain()
			r.own.Flush()
		case <-ticker.C:
			r.follow()
			r.own.Tick()
		}
	}
}

// drain handles what else has arrived.
func (r *Runtime) drain() {
	for range groupSize {
		select {
		case act := <-r.inbox:
			act()
		default:
			return
		}
	}
}

// follow hands newer tables and workers to the owner.
func (r *Runtime) follow() {
	if tables, ok := r.options.Tables(r.tables); ok {
		r.tables = tables.Version
		r.own.SetManifest(tables.Manifest)
		r.own.SetDomainsOut(tables.Out)
	}
	if workers, ok := r.options.Workers(r.workers); ok {
		r.workers = workers.Version
		r.own.SetWorkers(workers.Entries)
	}
}

// post hands an input to the loop. Nothing is handed over once it has ended.
func (r *Runtime) post(act func()) {
	select {
	case r.inbox <- act:
	case <-r.ctx.Done():
	}
}

// ask hands an input to the loop and waits for its reply.
func ask[Reply any](ctx context.Context, r *Runtime, lost Reply, act func(reply func(Reply))) Reply {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return lost
	}
	replies := make(chan Reply, 1)
	r.post(func() { act(func(reply Reply) { replies <- reply }) })
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return lost
}

// elsewhere is the answer of an owner that is no more, or that did not decide
// in time.
var elsewhere = owner.Verdict{Ruling: owner.NotOwner, Reason: "the owner did not decide"}

// Submit hands a job to the owner and waits for the verdict.
func (r *Runtime) Submit(ctx context.Context, spec job.Spec) owner.Verdict {
	return ask(ctx, r, elsewhere, func(reply func(owner.Verdict)) { r.own.Submit(spec, reply) })
}

// Cancel cancels a job and waits for the verdict.
func (r *Runtime) Cancel(ctx context.Context, id job.ID) owner.Verdict {
	return ask(ctx, r, elsewhere, func(reply func(owner.Verdict)) { r.own.Cancel(id, reply) })
}

// Lookup returns what is recorded of a job.
func (r *Runtime) Lookup(ctx context.Context, id job.ID) owner.LookupResult {
	return ask(ctx, r, owner.LookupResult{Verdict: elsewhere}, func(reply func(owner.LookupResult)) { reply(r.own.Lookup(id)) })
}

// Waiting counts the jobs of a queue that have not begun.
func (r *Runtime) Waiting(ctx context.Context, queue string) (count int, ok bool) {
	count = ask(ctx, r, -1, func(reply func(int)) { reply(r.own.Waiting(queue)) })
	return count, count >= 0
}

// Dump returns the owner's state, or false when it does not answer in time.
func (r *Runtime) Dump(ctx context.Context) (owner.Dump, bool) {
	dump := ask(ctx, r, owner.Dump{}, func(reply func(owner.Dump)) { reply(r.own.Dump()) })
	return dump, dump.Epoch != 0
}

// StoreAge returns how long ago the store last confirmed something to the
// owner, or false when the state is not loaded.
func (r *Runtime) StoreAge() (clock.Millis, bool) {
	select {
	case <-r.ready:
		return r.options.Clock.Now() - r.writer.confirmedAt(), true
	default:
		return 0, false
	}
}

// spawn starts a goroutine that ends with the runtime.
func (r *Runtime) spawn(act func()) {
	r.group.Go(func() error {
		act()
		return nil
	})
}

// FormerGone tells the owner that the former one does nothing more.
func (r *Runtime) FormerGone() {
	select {
	case <-r.ready:
		r.post(r.own.FormerGone)
	default: // it is told again with the next sign
	}
}

func (r *Runtime) append(records []journal.Record) { r.writer.write(records) }

func (r *Runtime) start(order fleet.Start) {
	r.options.Orders.Start(order, func(answer fleet.Answer) {
		r.post(func() { r.own.Started(order, answer) })
	})
}

func (r *Runtime) stop(order fleet.Stop) {
	r.options.Orders.Stop(order, func(answer fleet.Answer) {
		r.post(func() { r.own.Stopped(order, answer) })
	})
}

func (r *Runtime) pace(order fleet.Pace) {
	r.options.Orders.Pace(order, func(answer fleet.Answer) {
		r.post(func() { r.own.Paced(order, answer) })
	})
}

func (r *Runtime) hold(order fleet.Hold) {
	r.options.Orders.Hold(order, func(report fleet.Report) {
		r.post(func() { r.own.Report(order.To.ID, report) })
	})
}

func (r *Runtime) resign(reason string) {
	select {
	case r.lost <- reason:
	default: // told already
	}
}
