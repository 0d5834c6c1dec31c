package control

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/owner"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

func domainCells(domain pool.Domain) []string {
	return lo.Times(domain.Cells, func(index int) string { return job.CellName(domain.Name, index) })
}

// followCells starts and ends owners so that they match the configuration and
// the entries there are. A cell that this entry owns is kept until another has
// claimed it.
func (c *Control) followCells() {
	wanted := lo.Filter(c.names, func(name string, _ int) bool {
		own := c.cells[name]
		return c.follows(name) || own != nil && own.Owns()
	})
	for _, name := range wanted {
		if c.cells[name] == nil {
			c.follow(name)
		}
	}
	for name := range c.cells {
		if !slices.Contains(wanted, name) {
			delete(c.cells, name)
			c.options.Unfollow(job.StreamName(name))
		}
	}
	c.domains.Store(new(wantedDomains(c.options.Domain, c.config, wanted)))
}

// follows reports whether this entry reads a cell: those of its own failure
// domain, and of others those that it stands by for.
func (c *Control) follows(name string) bool {
	domain := job.DomainOf(name)
	if len(c.names) <= followAll || domain == c.options.Domain {
		return true
	}
	own := standbyWeight(name, c.options.Name)
	ahead := lo.CountBy(c.members.Rows(), func(row member.Member) bool {
		return row.FailureDomain != domain && c.mayStandBy(row.Name) && standbyWeight(name, row.Name) > own
	})
	return ahead < standbys
}

// mayStandBy reports whether an entry is there to follow cells; one that was
// never heard of gets some time to come.
func (c *Control) mayStandBy(entry string) bool {
	now := c.options.Clock.Now()
	switch c.members.State(entry, now) {
	case member.Live, member.Suspect:
		return true
	case member.Unheard:
		return c.fresh(now)
	}
	return false
}

func standbyWeight(cell, entry string) uint64 { return xxhash.Sum64String(cell + "\x00" + entry) }

func (c *Control) follow(name string) {
	own := owner.New(owner.Options{
		Cell:    name,
		Entry:   c.options.Name,
		Domain:  c.options.Domain,
		Clock:   c.options.Clock,
		Seed:    c.options.Seed,
		Journal: c.journal,
		Agent:   c.agent(),
		Log:     c.options.Log,

		LogRetention: c.options.LogRetention,
	})
	own.SetWorld(c.world())
	c.cells[name] = own
	c.options.Follow(job.StreamName(name), own.Next())
}

func (c *Control) cellOfStream(streamName string) (*owner.Owner, bool) {
	own, ok := c.cells[strings.TrimPrefix(streamName, job.StreamName(""))]
	return own, ok
}

func (c *Control) cellRead(ev event.StreamRead) stream.Offset {
	own, ok := c.cellOfStream(ev.Stream)
	if !ok {
		return ev.Page.Next(ev.From)
	}
	for _, rec := range ev.Page.Records {
		c.journal.Seen(ev.Stream, rec)
	}
	own.Read(ev.Page, ev.SentAt)
	return own.Next()
}

func (c *Control) tickCells() {
	for _, name := range c.names {
		if own := c.cells[name]; own != nil {
			own.Tick()
		}
	}
}

// shareWorld tells all owners what is known outside their cells.
func (c *Control) shareWorld() {
	world := c.world()
	for _, own := range c.cells {
		own.SetWorld(world)
	}
}

func (c *Control) world() owner.World {
	now := c.options.Clock.Now()
	live := lo.SliceToMap(c.members.Live(now), func(row member.Member) (string, bool) { return row.Name, true })
	entries := []owner.Peer{{Name: c.options.Name, Domain: c.options.Domain, Live: !c.leaving}}
	for _, row := range c.members.Rows() {
		entries = append(entries, owner.Peer{Name: row.Name, Domain: row.FailureDomain, Live: live[row.Name]})
	}
	return owner.World{
		Config:       c.config,
		ConfigReadAt: c.configReadAt,
		VMs:          c.fleet.vms(),
		Entries:      entries,
	}
}

// drain begins the graceful end: cells are handed over by record.
func (c *Control) drain(ev event.Drain) {
	if !c.leaving {
		c.leaving = true
		c.judgeReady()
		c.publishBeat()
		for _, own := range c.cells {
			own.Handover()
		}
		c.shareWorld()
		c.tellLeaving()
	}
	c.drainDone = append(c.drainDone, ev.Done)
}

// tellLeaving sends a heartbeat to everybody at the next tick.
func (c *Control) tellLeaving() { c.asked = map[string]clock.Millis{} }

func (c *Control) finishDrain() {
	if len(c.drainDone) == 0 || c.journal.Counters().WaitingNow > 0 {
		return
	}
	if lo.SomeBy(lo.Values(c.cells), func(own *owner.Owner) bool { return own.Owns() }) {
		return
	}
	for _, done := range c.drainDone {
		close(done)
	}
	c.drainDone = nil
}
