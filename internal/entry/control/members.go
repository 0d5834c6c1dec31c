package control

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/owner"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// vmsRead takes a VM list. A peer's list serves only until the first own one.
func (c *Control) vmsRead(ev event.VMsRead) {
	if ev.FromPeer && c.fleet.readAt > 0 {
		return
	}
	if ev.Unchanged {
		had := len(c.fleet.rows)
		c.fleet = c.fleet.withSeen(ev.At)
		if len(c.fleet.rows) == had {
			return
		}
	} else {
		c.fleet = c.fleet.withList(ev.VMs, ev.At)
	}
	c.fleet = c.fleet.withService(c.config, c.fresh(ev.At), ev.At)
	c.members = c.members.WithSeeds(c.fleet.entries())
	c.dirty = true
	c.shareWorld()
}

// fresh reports whether this process has just started, so that the VMs that it
// finds have been in service before.
func (c *Control) fresh(now clock.Millis) bool { return now-c.started < startGrace }

// Domains returns the failure domains whose VMs this entry must know. Any
// goroutine may call it.
func (c *Control) Domains() []string { return *c.domains.Load() }

// Schedules reports whether this entry owns a cell, and so needs usage reports.
// Any goroutine may call it.
func (c *Control) Schedules() bool { return c.schedules.Load() }

func (c *Control) usageRead(ev event.UsageRead) {
	for _, cell := range c.cells {
		cell.Usage(ev.Usages)
	}
}

// heartbeats tells each known entry of this one when its turn has come.
func (c *Control) heartbeats(now clock.Millis) {
	for _, row := range c.members.Rows() {
		if row.Address == "" || now-c.asked[row.Name] < c.members.Interval(row.Name) {
			continue
		}
		c.asked[row.Name] = now
		c.sendBeat(row)
	}
}

func (c *Control) sendBeat(row member.Member) {
	beat := *c.beat.Load()
	c.count.heartbeats.Add(1)
	c.options.Effects.Go(peerTimeout, func(ctx context.Context) func() {
		var answer member.Beat
		err := c.options.Call(ctx, row.Address, peer.Heartbeat, beat, &answer)
		heard := c.options.Clock.Now()
		if err != nil {
			return func() { c.count.heartbeatLost.Add(1) }
		}
		return func() { c.members = c.members.WithHeard(answer, heard) }
	})
}

// publishBeat renews what this entry tells of itself.
func (c *Control) publishBeat() {
	owned := 0
	queued := lo.SumBy(lo.Values(c.cells), func(cell *owner.Owner) int {
		if !cell.Owns() {
			return 0
		}
		owned++
		return cell.QueueLength()
	})
	c.schedules.Store(owned > 0)
	c.beat.Store(&member.Beat{
		Name:          c.options.Name,
		FailureDomain: c.options.Domain,
		Boot:          c.options.Boot,
		ConfigVersion: c.config.Version,
		Leaving:       c.leaving,
		Queued:        queued,
		InFlight:      c.options.InFlight(),
	})
}

// watchMembers logs changes of opinion and passes them on.
func (c *Control) watchMembers(now clock.Millis) {
	changed := false
	c.members = c.members.WithForgotten(slices.Concat(c.options.Seeds, c.fleet.entries()), now)
	for _, row := range c.members.Rows() {
		state := c.members.State(row.Name, now)
		if c.seen[row.Name] == state {
			continue
		}
		c.options.Log.Info().Str("peer", row.Name).Str("was", string(c.seen[row.Name])).Str("is", string(state)).Msg("membership")
		c.seen[row.Name] = state
		changed = true
	}
	if len(c.seen) > len(c.members.Rows()) {
		c.seen = lo.PickBy(c.seen, func(name string, _ member.State) bool { return c.members.Knows(name) })
		changed = true
	}
	if c.fleet.readAt == 0 {
		c.askForFleet(now)
	}
	if changed || !c.settled && !c.fresh(now) {
		c.settled = !c.fresh(now)
		c.followCells()
		c.dirty = true
		c.shareWorld()
	}
}

// askForFleet fetches a VM list from a live peer while the platform's can't be
// read.
func (c *Control) askForFleet(now clock.Millis) {
	live := c.members.Live(now)
	if len(live) == 0 || now-c.started < offerInterval {
		return
	}
	from := live[int(now/memberInterval)%len(live)]
	c.options.Effects.Go(fetchTimeout, func(ctx context.Context) func() {
		var answer peer.FleetAnswer
		err := c.options.Call(ctx, from.Address, peer.Fleet, struct{}{}, &answer)
		if err != nil || len(answer.VMs) == 0 {
			return nil
		}
		return func() {
			c.vmsRead(event.VMsRead{VMs: answer.VMs, At: c.options.Clock.Now(), FromPeer: true})
		}
	})
}

// publishView gives the traffic side a new snapshot.
func (c *Control) publishView(now clock.Millis) {
	c.dirty = false
	c.count.views.Add(1)
	c.options.Box.Store(&view.Snapshot{
		Version:    c.config.Version,
		Domain:     c.options.Domain,
		Entries:    1 + c.members.Serving(now),
		SeedCount:  1 + len(c.members.Rows()),
		Routes:     c.config.Routes.Routes,
		Pools:      c.fleet.pools(c.config),
		DomainsOut: c.config.Marks.Domains,
	})
	c.judgeReady()
}

func (c *Control) judgeReady() {
	switch {
	case c.leaving:
		c.setReady("shutting down")
	case c.config.Version == 0:
		c.setReady("no configuration yet")
	case c.fleet.readAt == 0:
		c.setReady("no VM list yet")
	default:
		c.setReady("")
	}
}

// Handlers answer other entries; any goroutine may call them.
func (c *Control) Handlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(beat member.Beat) (member.Beat, error) {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout.Duration())
			defer cancel()
			err := c.options.Inbox.Post(ctx, event.PeerHeard{Beat: beat, At: c.options.Clock.Now()})
			return *c.beat.Load(), err
		},
		Config: c.configAnswer,
		Status: c.statusAnswer,
		Fleet: func(struct{}) (peer.FleetAnswer, error) {
			var vms []inventory.VM
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout.Duration())
			defer cancel()
			err := c.inspect(ctx, func() { vms = c.fleet.vms() })
			return peer.FleetAnswer{VMs: vms}, err
		},
	}
}

// inspect runs a function on the control thread, from any other goroutine.
func (c *Control) inspect(ctx context.Context, run func()) error {
	done := make(chan struct{})
	_, err := event.Call(ctx, c.options.Inbox, event.Inspect{Run: run, Done: done}, done)
	return err
}

// agent gives owners the worker agents as effects.
func (c *Control) agent() owner.Agent {
	agent := c.options.Agent
	return owner.Agent{
		Start:    order(c, "start", agent.Start),
		Renew:    order(c, "renew", agent.Renew),
		Stop:     order(c, "stop", agent.Stop),
		Throttle: order(c, "throttle", agent.Throttle),
		Forget:   forget(c, agent.Forget),
		Look:     look(c, agent.Look),
	}
}

func forget(c *Control, call func(context.Context, string, worker.ForgetOrder) error) func(string, worker.ForgetOrder, func(error)) {
	send := order(c, "forget", func(ctx context.Context, address string, over worker.ForgetOrder) (struct{}, error) {
		return struct{}{}, call(ctx, address, over)
	})
	return func(address string, over worker.ForgetOrder, done func(error)) {
		send(address, over, func(_ struct{}, err error) { done(err) })
	}
}

func look(c *Control, call func(context.Context, string) (worker.Report, error)) func(string, func(worker.Report, error)) {
	send := order(c, "look", func(ctx context.Context, address string, _ struct{}) (worker.Report, error) {
		return call(ctx, address)
	})
	return func(address string, done func(worker.Report, error)) { send(address, struct{}{}, done) }
}

// order makes a call to an agent an effect whose result comes back to the
// control thread.
func order[Order, Result any](
	c *Control, kind string, call func(context.Context, string, Order) (Result, error),
) func(address string, order Order, done func(Result, error)) {
	return func(address string, order Order, done func(Result, error)) {
		c.count.orders.Add(kind, 1)
		c.options.Effects.Go(orderTimeout, func(ctx context.Context) func() {
			result, err := call(ctx, address, order)
			return func() {
				if err != nil {
					c.count.orderFailures.Add(kind, 1)
				}
				done(result, err)
			}
		})
	}
}
