package daemon

import (
	"hash/fnv"
	"io"
	"net"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/logline"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/platform"
)

// wire tells the injector how each part is made.
func wire(settings platform.Settings, out io.Writer) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, clock.NewBoot())
	do.ProvideValue(injector, logline.New(out))
	do.ProvideValue(injector, metrics.NewSet())
	do.ProvideValue(injector, platform.NewStore(settings.Store.Address))
	do.ProvideValue(injector, platform.NewWorkers())
	do.ProvideValue(injector, peer.NewClient())
	do.Provide(injector, newLogger)
	do.Provide(injector, newTables)
	do.Provide(injector, newDaemon)
	return injector
}

func newLogger(injector do.Injector) (zerolog.Logger, error) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	settings := do.MustInvoke[platform.Settings](injector)
	sink := do.MustInvoke[*logline.Sink](injector)
	return zerolog.New(sink).With().Timestamp().Str("entry", settings.Name).Logger(), nil
}

func newTables(injector do.Injector) (*tables.Follower, error) {
	return tables.New(tables.Options{
		Topic:  platform.TopicOperator,
		Clock:  do.MustInvoke[clock.Clock](injector),
		Log:    do.MustInvoke[platform.Store](injector).Log(),
		Logger: do.MustInvoke[zerolog.Logger](injector),
		Decode: decodeChange,
	}), nil
}

// decodeChange reads a record of the operators.
func decodeChange(record journal.Record) (tables.Change, error) {
	key := platform.ParseOperatorKey(record.Key)
	switch {
	case key.Manifest && len(record.Value) > 0:
		next, err := platform.DecodeManifest(record.Value)
		return tables.Change{Manifest: &next}, err
	case key.Domain != "":
		return tables.Change{Domain: key.Domain, Out: len(record.Value) > 0}, nil
	}
	return tables.Change{}, nil
}

func newDaemon(injector do.Injector) (*Daemon, error) {
	set := do.MustInvoke[*metrics.Set](injector)
	d := &Daemon{
		settings: do.MustInvoke[platform.Settings](injector),
		clock:    do.MustInvoke[clock.Clock](injector),
		logger:   do.MustInvoke[zerolog.Logger](injector),
		sink:     do.MustInvoke[*logline.Sink](injector),
		metrics:  set,
		counts:   owner.NewCounts(set),
		store:    do.MustInvoke[platform.Store](injector),
		workers:  do.MustInvoke[platform.Workers](injector),
		tables:   do.MustInvoke[*tables.Follower](injector),
		peers:    do.MustInvoke[*peer.Client](injector),
	}
	d.elector = ownership.New(ownership.Options{
		Cell: cellName, Name: d.settings.Name, Address: d.peerAddress(), Life: life(),
		Topic: platform.Topic(ownersTopic), Clock: d.clock, Log: d.store.Log(), Logger: d.logger,
		Ping: d.peers.Ping, Heard: d.peers.Heard, Rank: rank(d.settings.Name), Own: d.own,
	})
	return d, nil
}

// rank spreads entries evenly over 0 to 1 by their names.
func rank(name string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a hash takes everything
	const steps = 97
	return float64(hash.Sum32()%steps) / steps
}

// peerAddress is where this entry answers other entries.
func (d *Daemon) peerAddress() string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports.First))
}

// metricsAddress is where this entry shows its counters.
func (d *Daemon) metricsAddress() string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports.First+1))
}
