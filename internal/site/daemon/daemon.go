// Package daemon runs one entry: it connects the parts that other packages
// provide and runs them under a supervisor.
//
//	callers   ──> front ──> relay ──┬── owner in this process (runtime) ──> store, workers
//	                                └── peer client ──> owner's entry
//	platform  ──> readiness
//	entries   ──> peer server ──> runtime, ownership
//	store     ──> tables, ownership; roster while this entry is the owner
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Options{Load: platform.LoadSettings, Out: os.Stdout, Reload: hangups})
package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"runtime/debug"
	"sync"
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
	"github.com/oriolepier/oriolepier/internal/site/access"
	"github.com/oriolepier/oriolepier/internal/site/budget"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/relay"
	"github.com/oriolepier/oriolepier/internal/site/roster"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
	"github.com/oriolepier/oriolepier/internal/site/secret"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/internal/traffic/proxy"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
	"github.com/oriolepier/oriolepier/platform"
)

// Names in the platform's store.
const (
	ownersTopic = "owners"
	cellTopic   = "cell-0"
	cellName    = "0"
)

// Limits of the process.
const (
	memoryLimitShare = 0.6 // of the process's memory limit; above it, the garbage collector runs more often
	gcPercent        = 100 // heap growth between collections, in percent of the live heap; memory is billed by its peak
	bytesPerMB       = 1 << 20
)

// Options configures a daemon.
type Options struct {
	// Load reads the settings; it is called at the start and for each Reload.
	Load   func() (platform.Settings, error)
	Out    io.Writer        // for log lines
	Reload <-chan os.Signal // each signal triggers a reload of the settings
	// Standalone is set in deployments whose operators publish this program's own
	// tables instead of the platform's manifest.
	Standalone *Standalone
	// LeaveNotice is the time from the stop signal until requests are no longer
	// accepted; 0: leaveNotice.
	LeaveNotice time.Duration
}

// Standalone holds further options of a deployment with its own tables.
type Standalone struct {
	Entries int          // number of entries of the deployment
	Peers   string       // listen address of the peer server
	Token   string       // required of operators and other entries; empty: none
	Keys    *secret.Keys // nil: plain TCP
	Level   string       // log level, such as "info"
}

// Daemon is a running entry.
type Daemon struct {
	options       Options
	settings      platform.Settings
	clock         clock.Clock
	logger        zerolog.Logger
	sink          *logline.Sink
	metrics       *metrics.Set
	budget        *budget.Budget
	ownerMetrics  *owner.Metrics
	linkMetrics   *linkshard.Metrics
	store         platform.Store
	shard         *linkshard.Shard
	tables        *tables.Watcher
	access        *access.Guard
	roster        *roster.Watcher
	elector       *ownership.Elector
	peers         *peer.Client
	holder        *view.Holder                    // routing snapshot; nil without Options.Standalone
	proxy         *proxy.Proxy                    // proxies requests to backend servers; nil without Options.Standalone
	localOwner    atomic.Pointer[runtime.Runtime] // nil unless this entry is the owner
	pool          atomic.Pointer[linkshard.Pool]  // nil unless this entry is the owner
	previousOwner atomic.Pointer[ownership.PreviousOwner]
	recentPeers   peerPings
	knownEntries  knownEntries
	listening     chan struct{} // closed once this process listens for peers
	listenOnce    sync.Once
	leaving       atomic.Bool
	answersWhere  atomic.Bool // a question of an operator is with the owner
	tablesBehind  atomic.Bool // the owner's last ping answer had a higher TablesEnd than this entry's
}

// Run serves until the context ends, and then shuts down gracefully.
func Run(ctx context.Context, options Options) error {
	settings, err := options.Load()
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryMB) * bytesPerMB))
	}
	daemon, err := do.Invoke[*Daemon](newInjector(settings, options))
	if err != nil {
		return errors.Wrap(err, "set up the entry")
	}
	return daemon.serve(ctx)
}

// serve runs the parts until the context ends.
func (d *Daemon) serve(ctx context.Context) error {
	started := d.clock.Now()
	d.logger.Info().Str("event", "entry_started").Str("failure_domain", d.settings.Domain).
		Str("consumers", d.settings.Consumer).Str("peers", d.peerAddress()).Str("store", d.settings.Store.Address).
		Int("memory_mb", d.settings.Limits.MemoryMB).Float64("cores", d.settings.Limits.Cores).Send()
	partsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := new(errgroup.Group)
	group.Go(func() error { return d.sink.Serve(partsCtx) })
	group.Go(func() error { return d.supervise(partsCtx) })
	group.Go(func() error { return d.awaitReload(partsCtx) })
	<-ctx.Done()
	d.announceLeaving()
	stop()
	err := group.Wait()
	d.logger.Info().Str("event", "entry_stopped").Int64("ran_ms", int64(d.clock.Now()-started)).AnErr("cause", err).Send()
	d.sink.Flush()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitReload reads the settings again on each reload signal and logs the
// result. Settings in use do not change.
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

// ownerTimes returns the times of an owner on this platform.
func (d *Daemon) ownerTimes() owner.Times {
	return owner.DefaultTimes(d.settings.Bounds.MaxLease, d.settings.Bounds.StatusKept)
}

// runOwnership runs the owner's runtime, its pool of links and, without
// Options.Standalone, the roster, until the context ends.
func (d *Daemon) runOwnership(ctx context.Context, epoch int64, previousOwner ownership.PreviousOwner) error {
	pool := d.newPool(epoch)
	run := runtime.New(runtime.Options{
		Epoch: epoch, Topic: platform.Topic(cellTopic), Clock: d.clock, Log: d.store.Log(),
		Limits:     d.settings.Store.Limits(),
		Dispatcher: pool.Dispatch(),
		Times:      d.ownerTimes(),
		Cores:      d.settings.Limits.Cores, AdmitBytes: d.budget.Jobs.Admit, StartsAtOnce: platform.StartsAtOnce(d.budget.Limits().WorkerConnections),
		Logger: d.logger, Metrics: d.ownerMetrics, Tables: d.tables.Since, Workers: d.listWorkers(pool),
		PreviousOwner: previousOwner.Name, PreviousOwnerStopped: previousOwner.Stopped,
		PreviousRenewWindow: previousOwner.RenewWindow,
	})
	d.previousOwner.Store(&previousOwner)
	d.localOwner.Store(run)
	defer d.localOwner.Store(nil)
	d.pool.Store(pool)
	defer d.pool.Store(nil)
	partsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group := new(errgroup.Group)
	group.Go(func() error { return pool.Serve(partsCtx) })
	group.Go(func() error { return d.watchLaterOwners(partsCtx, run) })
	if d.options.Standalone == nil { // otherwise the supervisor runs the roster all the time
		group.Go(func() error { return d.roster.Serve(partsCtx) })
	}
	err := run.Serve(ctx)
	stop()
	_ = group.Wait() // the parts end with their context and return no other error
	return err
}

// ready reports whether the load balancer should send requests to this entry.
func (d *Daemon) ready() bool {
	if d.leaving.Load() || d.tables.Current().Manifest.Version == 0 {
		return false
	}
	if run := d.localOwner.Load(); run != nil {
		age, loaded := run.StoreAge()
		return loaded && age < readyStoreAge
	}
	age := d.elector.OwnerContactAge(d.elector.Current().Epoch)
	return age >= 0 && age < readyOwnerAge
}

// Limits beyond which an entry reports that it is not ready.
const (
	readyStoreAge clock.Millis = 4000 // since the newest append that the store has confirmed to the owner in this process was sent
	readyOwnerAge clock.Millis = 2000 // since the last ping answer of an owner elsewhere
)

// owner returns the owner in this process for the relay, or nil.
func (d *Daemon) owner() *relay.LocalOwner {
	run := d.localOwner.Load()
	if run == nil {
		return nil
	}
	return &relay.LocalOwner{Submit: run.Submit, Cancel: run.Cancel, Lookup: run.Lookup, CountWaiting: run.CountWaiting}
}

// newIncarnation returns a unique name for this process.
func newIncarnation() string { return ulid.MustNew(ulid.Now(), rand.Reader).String() }
