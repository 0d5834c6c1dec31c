package control

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// configRead applies a page of the config stream and returns where to read on.
func (c *Control) configRead(ev event.StreamRead) stream.Offset {
	if c.configLost {
		c.configLost = false
		c.options.Log.Info().Msg("config stream can be read again")
	}
	if ev.From <= c.ledger.Next() {
		c.ledger = c.ledger.WithFirst(ev.Page.First)
		for _, rec := range ev.Page.Records {
			c.configRecord(rec)
		}
	}
	if c.ledger.Complete() && c.ledger.Next() >= ev.Page.End {
		c.configReadAt = ev.SentAt
	}
	c.adoptConfig()
	c.shareWorld()
	return c.ledger.Next()
}

func (c *Control) configRecord(rec stream.Record) {
	next, verdict := c.ledger.With(rec)
	c.ledger = next
	switch verdict.Kind {
	case ledger.Accepted:
		c.count.configChanges.Add(1)
	case ledger.Rejected:
		c.count.configRefused.Add(1)
	}
	if next.LastSnapshot() != c.snapshotOff {
		c.snapshotOff = next.LastSnapshot()
		c.snapshotAt = c.options.Clock.Now()
	}
}

func (c *Control) configFailed(err error) {
	if c.configLost || err == nil {
		return
	}
	c.configLost = true
	c.options.Log.Warn().Err(err).Msg("config stream can't be read")
}

// adoptConfig puts the ledger's configuration in force when it is newer.
func (c *Control) adoptConfig() {
	if c.ledger.Version() <= c.config.Version {
		return
	}
	c.config = c.ledger.Config()
	c.version.Store(c.config.Version)
	c.names = cellNames(c.config)
	now := c.options.Clock.Now()
	c.fleet = c.fleet.withService(c.config, c.fresh(now), now)
	c.dirty = true
	c.followCells()
	c.options.Log.Info().Int64("config_version", c.config.Version).Msg("configuration in force")
}

// askForConfig fetches a configuration from a peer that has a newer one, while
// the log can't be read or has not been read yet.
func (c *Control) askForConfig(now clock.Millis) {
	newest, from := c.members.Newest(now)
	if newest <= c.config.Version {
		return
	}
	c.options.Poke(ConfigStream)
	logWorks := !c.configLost && c.configReadAt > 0
	if logWorks || now-c.lastOffer < offerInterval {
		return
	}
	c.lastOffer = now
	have := c.config.Version
	c.options.Effects.Go(fetchTimeout, func(ctx context.Context) func() {
		var answer peer.ConfigAnswer
		err := c.options.Call(ctx, from.Address, peer.Config, peer.ConfigQuery{Have: have}, &answer)
		if err != nil || len(answer.Records) == 0 {
			return nil
		}
		return func() { c.configOffered(from.Name, answer.Records) }
	})
}

// configOffered takes a peer's configuration if that moves this entry forward.
// It does not count as having read the log: no task starts on its strength.
func (c *Control) configOffered(from string, records [][]byte) {
	state, err := ledger.Import(records)
	if err != nil {
		c.options.Log.Warn().Err(err).Str("peer", from).Msg("configuration of a peer refused")
		return
	}
	if state.Version() <= c.config.Version || state.Next() < c.ledger.Next() {
		return
	}
	c.count.configOffers.Add(1)
	c.ledger = state
	c.adoptConfig()
	c.shareWorld()
}

// configAnswer gives a peer the configuration in force, for any goroutine.
func (c *Control) configAnswer(query peer.ConfigQuery) (peer.ConfigAnswer, error) {
	if c.Version() <= query.Have {
		return peer.ConfigAnswer{Version: c.Version()}, nil
	}
	var state ledger.State
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout.Duration())
	defer cancel()
	err := c.inspect(ctx, func() { state = c.ledger })
	if err != nil {
		return peer.ConfigAnswer{}, err
	}
	records, err := state.Snapshot(c.options.Name)
	return peer.ConfigAnswer{Version: state.Version(), Records: records}, err
}

// writeConfigSnapshot appends a snapshot of the config stream before its oldest
// record expires. Entries take turns by rank, so that one of them does it.
func (c *Control) writeConfigSnapshot(now clock.Millis) {
	if !c.ledger.Complete() || c.configReadAt == 0 || c.leaving {
		return
	}
	if c.snapshotAt == 0 {
		c.snapshotAt = now
	}
	turn := snapshotPatient * clock.Millis(c.rank(now))
	if !c.ledger.SnapshotDue(now-c.snapshotAt-turn, c.options.LogRetention) {
		return
	}
	records, err := c.ledger.Snapshot(c.options.Name + "/" + c.options.Boot)
	if err != nil {
		c.options.Log.Warn().Err(err).Msg("config snapshot not written")
		return
	}
	c.snapshotAt = now
	c.appendInOrder(ConfigStream, records)
}

// appendInOrder appends records one after the other and stops at a failure;
// the next snapshot is then a new one.
func (c *Control) appendInOrder(streamName string, records [][]byte) {
	if len(records) == 0 {
		return
	}
	c.append(streamName, records[0], func(_ stream.Offset, err error) {
		if err == nil {
			c.appendInOrder(streamName, records[1:])
		}
	})
}

// rank is this entry's place among live entries, in order of name.
func (c *Control) rank(now clock.Millis) int {
	return lo.CountBy(c.members.Live(now), func(row member.Member) bool { return row.Name < c.options.Name })
}

func cellNames(cfg ledger.Config) []string {
	var names []string
	for _, domain := range cfg.Pools.Domains {
		names = append(names, domainCells(domain)...)
	}
	slices.Sort(names)
	return names
}
