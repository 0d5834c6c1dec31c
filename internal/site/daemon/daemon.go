// Package daemon is one entry on the users' platform: it wires the parts of
// the other packages together and runs them under a supervisor.
//
//	consumers ──> front ──> relay ──┬── owner here (runtime) ──> store, workers
//	                                └── peer client ──> owner's entry
//	platform  ──> readiness
//	entries   ──> peer server ──> runtime, ownership
//	store     ──> tables, ownership; roster while the owner is here
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Options{Out: os.Stdout, Reload: hangups})
package daemon

import (
	"context"
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/logline"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/relay"
	"github.com/oriolepier/oriolepier/internal/site/roster"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
	"github.com/oriolepier/oriolepier/internal/site/secret"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
	"github.com/oriolepier/oriolepier/platform"
)

// Names of what is kept in the platform's store.
const (
	ownersTopic = "owners"
	cellTopic   = "cell-0"
	cellName    = "0"
)

// Limits of the process.
const (
	memoryShare   = 0.6 // of the process's memory limit, from which the collector works harder
	collectorGoal = 100 // percent of the live heap; memory is paid for at its peak
	bytesPerMB    = 1 << 20
)

// Options of a daemon.
type Options struct {
	// Load reads the settings; it is called at the start and for each Reload.
	Load   func() (platform.Settings, error)
	Out    io.Writer        // for log lines
	Reload <-chan os.Signal // each asks for the settings to be read again
	// Product is set where operators publish the product's own tables, not the
	// platform's manifest.
	Product *Product
	// Notice is how long the balancer needs to see that an entry leaves; 0: as
	// the platform's does.
	Notice time.Duration
}

// Product is what a deployment with tables of its own needs besides.
type Product struct {
	Entries int          // of the deployment
	Peers   string       // address to answer other entries at
	Token   string       // that operators and other entries must show; empty: none
	Keys    *secret.Keys // nil: plain TCP
	Level   string       // of log lines, such as "info"
}

// Daemon is one entry.
type Daemon struct {
	options  Options
	settings platform.Settings
	clock    clock.Clock
	logger   zerolog.Logger
	sink     *logline.Sink
	metrics  *metrics.Set
	counts   *owner.Counts
	links    *linkshard.Counts
	store    platform.Store
	shard    *linkshard.Shard
	tables   *tables.Follower
	roster   *roster.Follower
	elector  *ownership.Elector
	peers    *peer.Client
	box      *view.Box  // what requests are routed by; of deployments with tables of their own
	gate     *gate.Gate // the request side
	local    atomic.Pointer[runtime.Runtime]
	pool     atomic.Pointer[linkshard.Pool] // while the owner is here
	former   atomic.Pointer[string]         // name of the entry that owned before this one
	seen     callers
	leaving  atomic.Bool
	behind   atomic.Bool // the owner's last sign of life told of newer tables
}

// Run serves until the context ends, and then leaves gracefully.
func Run(ctx context.Context, options Options) error {
	settings, err := options.Load()
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetGCPercent(collectorGoal)
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * bytesPerMB))
	}
	daemon, err := do.Invoke[*Daemon](wire(settings, options))
	if err != nil {
		return errors.Wrap(err, "wire the entry")
	}
	return daemon.serve(ctx)
}

// serve runs the parts until the context ends.
func (d *Daemon) serve(ctx context.Context) error {
	started := d.clock.Now()
	d.logger.Info().Str("event", "entry_started").Str("failure_domain", d.settings.Domain).
		Str("consumers", d.settings.Consumer).Str("peers", d.peerAddress()).Str("store", d.settings.Store.Address).
		Int("memory_mb", d.settings.Limits.MemoryMB).Float64("cores", d.settings.Limits.Cores).Send()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := new(errgroup.Group)
	group.Go(func() error { return d.sink.Serve(running) })
	group.Go(func() error { return d.supervise(running) })
	group.Go(func() error { return d.awaitReload(running) })
	<-ctx.Done()
	d.leave()
	stop()
	err := group.Wait()
	d.logger.Info().Str("event", "entry_stopped").Int64("ran_ms", int64(d.clock.Now()-started)).AnErr("cause", err).Send()
	d.sink.Flush()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitReload reads the settings again when it is asked to.
func (d *Daemon) awaitReload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.options.Reload:
		}
		settings, err := d.options.Load()
		d.logger.Info().Str("event", "settings_reloaded").AnErr("fault", err).
			Bool("store_moved", err == nil && settings.Store.Address != d.settings.Store.Address).Send()
	}
}

// own runs an ownership.
func (d *Daemon) own(ctx context.Context, epoch int64, former ownership.Former) error {
	pool := d.newPool(epoch)
	run := runtime.New(runtime.Options{
		Epoch: epoch, Topic: platform.Topic(cellTopic), Clock: d.clock, Log: d.store.Log(),
		Orders: pool.Dispatch(),
		Times:  owner.DefaultTimes(d.settings.Bounds.MaxLease, d.settings.Bounds.StatusKept),
		Cores:  d.settings.Limits.Cores,
		Logger: d.logger, Counts: d.counts, Tables: d.tables.Since, Workers: d.listWorkers(pool),
		FormerGone: former.Gone,
	})
	d.former.Store(&former.Name)
	d.local.Store(run)
	defer d.local.Store(nil)
	d.pool.Store(pool)
	defer d.pool.Store(nil)
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	group := new(errgroup.Group)
	group.Go(func() error { return pool.Serve(parts) })
	if d.options.Product == nil { // else the list of workers is followed all the time
		group.Go(func() error { return d.roster.Serve(parts) })
	}
	err := run.Serve(ctx)
	stop()
	_ = group.Wait() // its parts end with their context and have no other error
	return err
}

// ready reports whether this entry wants callers' requests.
func (d *Daemon) ready() bool {
	if d.leaving.Load() || d.tables.Current().Manifest.Version == 0 {
		return false
	}
	if run := d.local.Load(); run != nil {
		age, loaded := run.StoreAge()
		return loaded && age < readyStoreAge
	}
	age := d.elector.HeardAge(d.elector.Current().Epoch)
	return age >= 0 && age < readyOwnerAge
}

// Ages up to which an entry counts as able to serve.
const (
	readyStoreAge clock.Millis = 4000
	readyOwnerAge clock.Millis = 2000
)

// owner returns the owner in this process for the relay, or nil.
func (d *Daemon) owner() *relay.Local {
	run := d.local.Load()
	if run == nil {
		return nil
	}
	return &relay.Local{Submit: run.Submit, Cancel: run.Cancel, Lookup: run.Lookup, Waiting: run.Waiting}
}

// life returns a name for this process that no other one has.
func life() string { return ulid.Make().String() }
