package daemon

import (
	"hash/fnv"
	"net"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/logline"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/access"
	"github.com/oriolepier/oriolepier/internal/site/budget"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/roster"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/internal/traffic/proxy"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
	"github.com/oriolepier/oriolepier/platform"
)

// newInjector registers the constructor of each part.
func newInjector(settings platform.Settings, options Options) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, options)
	do.ProvideValue(injector, clock.NewBoot())
	do.ProvideValue(injector, logline.New(options.Out))
	do.ProvideValue(injector, metrics.NewSet())
	do.ProvideValue(injector, platform.NewStore(settings.Store.Address))
	do.ProvideValue(injector, peer.NewClient(options.security()))
	do.Provide(injector, newLogger)
	do.Provide(injector, newBudget)
	do.Provide(injector, newWorkers)
	do.Provide(injector, newLinkMetrics)
	do.Provide(injector, newShard)
	do.Provide(injector, newTables)
	do.Provide(injector, newGuard)
	do.Provide(injector, newRoster)
	do.Provide(injector, newDaemon)
	return injector
}

// setTimeFormat sets zerolog's time format, which is global to the process.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs })

func newLogger(injector do.Injector) (zerolog.Logger, error) {
	setTimeFormat()
	settings := do.MustInvoke[platform.Settings](injector)
	sink := do.MustInvoke[*logline.Sink](injector)
	level := zerolog.InfoLevel
	if product := do.MustInvoke[Options](injector).Standalone; product != nil && product.Level != "" {
		parsed, err := zerolog.ParseLevel(product.Level)
		if err != nil {
			return zerolog.Logger{}, errors.Wrap(err, "parse log level")
		}
		level = parsed
	}
	return zerolog.New(sink).Level(level).With().Timestamp().Str("entry", settings.Name).Logger(), nil
}

func newTables(injector do.Injector) (*tables.Watcher, error) {
	topic, decode := platform.TopicOperator, decodePlatformChange
	if do.MustInvoke[Options](injector).Standalone != nil {
		topic, decode = platform.Topic(release.Topic), decodeRelease
	}
	bounds := do.MustInvoke[platform.Settings](injector).Bounds
	return tables.New(tables.Options{
		Topic:  topic,
		Clock:  do.MustInvoke[clock.Clock](injector),
		Log:    do.MustInvoke[platform.Store](injector).Log(),
		Logger: do.MustInvoke[zerolog.Logger](injector),
		Decode: decode, Contact: bounds.Contact, Revoke: revokeBound(bounds),
	}), nil
}

// defaultRevoke is the time within which a removed key must stop working, if the
// settings require strict revocation and name no time.
const defaultRevoke = 5 * clock.Second

// revokeBound returns the time within which a removed key must stop working on every
// entry; 0 without strict revocation.
func revokeBound(bounds platform.Bounds) clock.Millis {
	switch {
	case !bounds.StrictRevocation:
		return 0
	case bounds.Revoke <= 0:
		return defaultRevoke
	}
	return bounds.Revoke
}

func newGuard(injector do.Injector) (*access.Guard, error) {
	bounds := do.MustInvoke[platform.Settings](injector).Bounds
	watcher := do.MustInvoke[*tables.Watcher](injector)
	return access.New(access.Options{
		Rules:    access.NewRules(bounds.StrictRevocation, revokeBound(bounds), bounds.ConfigApply),
		Clock:    do.MustInvoke[clock.Clock](injector),
		Logger:   do.MustInvoke[zerolog.Logger](injector),
		Metrics:  do.MustInvoke[*metrics.Set](injector),
		Manifest: func() manifest.Manifest { return watcher.Current().Manifest },
		ProvenAt: watcher.ProvenAt,
	}), nil
}

// decodePlatformChange decodes a record of the platform's operator topic.
func decodePlatformChange(record journal.Record) (tables.Change, error) {
	key := platform.ParseOperatorKey(record.Key)
	switch {
	case key.Manifest && len(record.Value) > 0:
		next, err := platform.DecodeManifest(record.Value)
		return tables.Change{Manifest: &next}, err
	case key.Domain != "":
		return tables.Change{Domain: key.Domain, OutOfService: len(record.Value) > 0}, nil
	}
	return tables.Change{}, nil
}

// decodeRelease decodes a record of a deployment's own tables.
func decodeRelease(record journal.Record) (tables.Change, error) {
	change, err := release.Decode(record)
	if err != nil || change.Release == nil {
		return tables.Change{Domain: change.Domain, OutOfService: change.OutOfService}, err
	}
	next := change.Release.Manifest()
	return tables.Change{Manifest: &next, Release: change.Release}, nil
}

func newRoster(injector do.Injector) (*roster.Watcher, error) {
	return roster.New(roster.Options{
		Topic:  platform.TopicWorkers,
		Clock:  do.MustInvoke[clock.Clock](injector),
		Log:    do.MustInvoke[platform.Store](injector).Log(),
		Logger: do.MustInvoke[zerolog.Logger](injector),
		Decode: platform.DecodeWorker,
	}), nil
}

func newBudget(injector do.Injector) (*budget.Budget, error) {
	limits := do.MustInvoke[platform.Settings](injector).Limits
	derived := budget.Derive(limits.MemoryMB, limits.Descriptors).With(budget.Limits{
		Connections: limits.CallerConnections, BodyBytes: limits.CallerBodyBytes, BodyRate: limits.CallerBodyRate,
	})
	return budget.New(derived, clock.New(), do.MustInvoke[zerolog.Logger](injector), do.MustInvoke[*metrics.Set](injector)), nil
}

// newWorkers returns the client of workers, for this entry's owner and for owners that
// use this entry as a link.
func newWorkers(injector do.Injector) (platform.Workers, error) {
	limits := do.MustInvoke[*budget.Budget](injector).Limits()
	workers := platform.NewWorkers(do.MustInvoke[platform.Settings](injector).Limits.Cores).WithConnections(limits.WorkerConnections)
	do.MustInvoke[*metrics.Set](injector).GetOrCreateGauge(`oriolepier_budget_in_use{limit="worker_connections"}`, func() float64 {
		return float64(workers.OpenConnections())
	})
	do.MustInvoke[*metrics.Set](injector).GetOrCreateGauge("oriolepier_worker_connections_suspected", func() float64 {
		return float64(workers.SilentConnections())
	})
	return workers, nil
}

func newLinkMetrics(injector do.Injector) (*linkshard.Metrics, error) {
	return linkshard.NewMetrics(do.MustInvoke[*metrics.Set](injector)), nil
}

func newShard(injector do.Injector) (*linkshard.Shard, error) {
	workers := do.MustInvoke[platform.Workers](injector)
	return linkshard.NewShard(linkshard.ShardOptions{
		Clock:   do.MustInvoke[clock.Clock](injector),
		Calls:   fleet.Calls{Start: workers.Start, Stop: workers.Stop, Pace: workers.Pace, Hold: workers.Hold},
		Logger:  do.MustInvoke[zerolog.Logger](injector),
		Metrics: do.MustInvoke[*linkshard.Metrics](injector),
	}), nil
}

func newDaemon(injector do.Injector) (*Daemon, error) {
	set := do.MustInvoke[*metrics.Set](injector)
	d := &Daemon{
		options:      do.MustInvoke[Options](injector),
		settings:     do.MustInvoke[platform.Settings](injector),
		clock:        do.MustInvoke[clock.Clock](injector),
		logger:       do.MustInvoke[zerolog.Logger](injector),
		sink:         do.MustInvoke[*logline.Sink](injector),
		metrics:      set,
		budget:       do.MustInvoke[*budget.Budget](injector),
		ownerMetrics: owner.NewMetrics(set),
		store:        do.MustInvoke[platform.Store](injector),
		linkMetrics:  do.MustInvoke[*linkshard.Metrics](injector),
		shard:        do.MustInvoke[*linkshard.Shard](injector),
		tables:       do.MustInvoke[*tables.Watcher](injector),
		access:       do.MustInvoke[*access.Guard](injector),
		roster:       do.MustInvoke[*roster.Watcher](injector),
		peers:        do.MustInvoke[*peer.Client](injector),
		listening:    make(chan struct{}),
	}
	d.elector = ownership.New(ownership.Options{
		Cell: cellName, Name: d.settings.Name, Address: d.peerAddress(), Incarnation: newIncarnation(),
		Boot: bootID(), Listening: d.listening, RenewWindow: d.ownerTimes().RenewWindow,
		Topic: platform.Topic(ownersTopic), Clock: d.clock, Log: d.store.Log(), Logger: d.logger,
		Ping: d.ping, OwnerContact: d.peers.OwnerContact, Rank: rank(d.settings.Name), Cores: d.settings.Limits.Cores,
		RunOwnership: d.runOwnership, RecentPeers: func() []peer.Entry { return d.recentPeers.recent(d.clock.Now()) },
		OnOwnerAnswer: d.catchUpTables,
	})
	if d.options.Standalone != nil {
		d.holder = view.NewHolder()
		d.proxy = proxy.New(proxy.Options{
			Holder: d.holder, Clock: d.clock, Log: d.logger, Entry: d.settings.Name, Seed: xxhash.Sum64String(d.settings.Name),
			BufferedBytes: d.proxyBufferedBytes(),
		})
	}
	return d, nil
}

// security returns the token and TLS configuration of peer connections.
func (o Options) security() peer.Security {
	if o.Standalone == nil {
		return peer.Security{}
	}
	return peer.Security{Token: o.Standalone.Token, Server: o.Standalone.Keys.PeerServer(), Client: o.Standalone.Keys.Client()}
}

// proxyBufferedBytes returns the limit on bodies in the proxy; 0, for its default, if
// the settings do not name the memory of the process.
func (d *Daemon) proxyBufferedBytes() int64 {
	if d.settings.Limits.MemoryMB == 0 {
		return 0
	}
	return d.budget.Limits().BodyBytes
}

// rank spreads entries evenly over [0, 1) by a hash of their names.
func rank(name string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	const steps = 97
	return float64(hash.Sum32()%steps) / steps
}

// peerAddress returns the listen address of the peer server.
func (d *Daemon) peerAddress() string {
	if d.options.Standalone != nil {
		return d.options.Standalone.Peers
	}
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports.First))
}

// operatorAddress returns the listen address for metrics, state and readiness.
func (d *Daemon) operatorAddress() string {
	if d.settings.Control != "" {
		return d.settings.Control
	}
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports.First+1))
}
