package soak

import (
	"context"
	"slices"
	"syscall"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Times of a change of the owner.
const (
	ownerChangeTimeout clock.Millis = 9 * clock.Second // until another entry must have claimed
	ownerChangePoll    clock.Millis = 20
	successorsSlowed   clock.Millis = 6 * clock.Second // how long the store is slow for a new owner
)

// partitionPercent is the share of changes of the owner that are partitions.
const partitionPercent = 35

// changeOwner makes the owner lose the cell, dead or alive, and at times cuts
// workers off around that moment and slows the store down for its successors.
func (c *chaos) changeOwner(ctx context.Context) error {
	owner := c.findOwner()
	if owner == nil {
		return nil
	}
	if c.chance(partitionPercent) {
		return c.partition(ctx, owner)
	}
	var parts errgroup.Group
	lead := clock.Millis(0)
	if c.chance(c.plan.aimed) {
		x, before := c.drawAimedCut(owner)
		lead = max(before, 0)
		parts.Go(func() error {
			c.wait(ctx, max(-before, 0))
			c.apply(ctx, x)
			return nil
		})
	}
	slowed := c.drawSuccessorFaults(owner)
	action := c.rng.IntN(8)
	successorEnds := c.drawSuccessorEnd()
	c.wait(ctx, lead)
	for e, fault := range slowed {
		c.schedule.addf("store", e.name, "%+v", fault)
		e.store.set(fault)
	}
	parts.Go(func() error { return c.depose(ctx, owner, action) })
	c.awaitOtherOwner(ctx, owner)
	parts.Go(func() error { return c.endSuccessor(ctx, owner, successorEnds) })
	if len(slowed) > 0 {
		c.wait(ctx, successorsSlowed)
	}
	for e := range slowed {
		c.schedule.addf("store", e.name, "healed")
		e.store.set(storeFault{})
	}
	return parts.Wait()
}

// drawSuccessorFaults draws how the store is slow for the entries that may follow an
// owner: for all of them between claim and first append, for some of them in all
// calls, or not at all.
func (c *chaos) drawSuccessorFaults(owner *entry) map[*entry]storeFault {
	faults := map[*entry]storeFault{}
	records := storeFault{topic: cellTopic, before: c.between(200, 3000)}
	if c.chance(30) {
		records = storeFault{topic: cellTopic, after: c.between(200, 3000)}
	}
	some := c.chance(25)
	all := c.chance(c.plan.delayed)
	for _, e := range c.entries {
		switch {
		case e == owner:
		case some && c.chance(50):
			faults[e] = storeFault{after: c.between(300, 3000)}
		case !some && all:
			faults[e] = records
		}
	}
	return faults
}

// partition cuts an owner off together with some workers, from the store, all entries
// and the other workers, as when a failure domain is cut off. At times its successor
// leaves soon.
func (c *chaos) partition(ctx context.Context, owner *entry) error {
	view := c.plan.view(owner.number)
	x := cut{
		groups: c.someGroups(), unlists: true, length: c.between(4000, 14000),
		views: slices.DeleteFunc(c.allViews(), func(v int) bool { return v == view }),
		state: linkState{holdRequests: true, holdAnswers: true, dropHeld: true},
	}
	successorEnds := c.drawSuccessorEnd()
	c.schedule.addf("partition", owner.name, "%d ms", x.length)
	owner.store.set(storeFault{silent: true})
	owner.peers.set(linkState{holdRequests: true, holdAnswers: true, dropHeld: true})
	var parts errgroup.Group
	parts.Go(func() error {
		c.awaitOtherOwner(ctx, owner)
		return c.endSuccessor(ctx, owner, successorEnds)
	})
	others := cut{views: []int{view}, state: x.state, length: x.length}
	others.groups = slices.DeleteFunc(slices.Clone(c.groups), func(g *workerGroup) bool { return slices.Contains(x.groups, g) })
	parts.Go(func() error {
		c.apply(ctx, others)
		return nil
	})
	c.apply(ctx, x)
	owner.store.set(storeFault{})
	owner.peers.set(linkState{})
	c.schedule.addf("heal", owner.name, "")
	return parts.Wait()
}

// successorEnd is how an entry that has just claimed the cell loses it again.
type successorEnd struct {
	signal syscall.Signal // 0: it stays
	after  clock.Millis   // its claim
	down   clock.Millis
}

func (c *chaos) drawSuccessorEnd() successorEnd {
	switch c.rng.IntN(8) {
	case 0:
		return successorEnd{signal: syscall.SIGKILL, after: 150, down: 500}
	case 1:
		return successorEnd{signal: syscall.SIGKILL, after: c.between(300, 3000), down: c.between(50, 300)}
	case 2, 3:
		return successorEnd{signal: syscall.SIGTERM, after: c.between(300, 3000), down: c.between(50, 1000)}
	}
	return successorEnd{}
}

// endSuccessor ends the successor of an owner, if it is to end.
func (c *chaos) endSuccessor(ctx context.Context, former *entry, end successorEnd) error {
	successor := c.findOwner()
	if end.signal == 0 || successor == nil || successor == former {
		return nil
	}
	c.wait(ctx, end.after)
	return c.restartEntry(ctx, successor, end.signal, end.down)
}

// findOwner returns the entry that owns the cell, or nil.
func (c *chaos) findOwner() *entry {
	current := c.owners.current()
	index := slices.IndexFunc(c.entries, func(e *entry) bool { return e.name == current.Entry })
	if index < 0 || current.Released {
		return nil
	}
	return c.entries[index]
}

// drawAimedCut draws a cut and how long before the change of the owner it begins; a
// negative time is after it. At times only the old owner still reaches the workers.
func (c *chaos) drawAimedCut(owner *entry) (x cut, before clock.Millis) {
	x = c.drawCut()
	if c.chance(60) {
		x.state = linkState{holdRequests: true, holdAnswers: true, dropHeld: c.chance(60)}
	}
	switch c.rng.IntN(10) {
	case 0, 1, 2, 3: // only the old owner reaches them
		view := c.plan.view(owner.number)
		x.views = slices.DeleteFunc(x.views, func(v int) bool { return v == view })
	case 4, 5: // only some view does, which may be the new owner's
		view := c.rng.IntN(c.plan.views())
		x.views = slices.DeleteFunc(x.views, func(v int) bool { return v == view })
	}
	return x, c.between(-1000, 4000)
}

// depose makes others claim the cell of an owner.
func (c *chaos) depose(ctx context.Context, owner *entry, action int) error {
	switch action {
	case 0, 1:
		c.pause(ctx, owner.process, c.between(1000, 8000))
	case 2, 3: // it runs on, reaches the store and the workers, and no entry reaches it
		length := c.between(1500, 6000)
		c.schedule.addf("cut from peers", owner.name, "%d ms", length)
		owner.peers.set(linkState{holdRequests: true, holdAnswers: true, dropHeld: true})
		c.wait(ctx, length)
		owner.peers.set(linkState{})
		c.schedule.addf("heal", owner.name, "")
	case 4:
		length := c.between(1500, 6000)
		fault := storeFault{after: c.between(800, 3000)}
		if c.chance(50) {
			fault = storeFault{silent: true}
		}
		c.schedule.addf("store", owner.name, "%+v, %d ms", fault, length)
		owner.store.set(fault)
		c.wait(ctx, length)
		owner.store.set(storeFault{})
	case 5:
		return c.restartEntry(ctx, owner, syscall.SIGKILL, c.between(100, 4000))
	case 6:
		return c.restartEntry(ctx, owner, syscall.SIGTERM, c.between(100, 4000))
	case 7: // it sleeps while answers of the store are under way to it
		fault := storeFault{after: c.between(300, 1000)}
		c.schedule.addf("store", owner.name, "%+v", fault)
		owner.store.set(fault)
		c.wait(ctx, 2*fault.after)
		c.pause(ctx, owner.process, c.between(1000, 16000))
		owner.store.set(storeFault{})
	}
	return nil
}

// awaitOtherOwner waits until another entry has claimed the cell.
func (c *chaos) awaitOtherOwner(ctx context.Context, former *entry) {
	for deadline := c.clock.Now() + ownerChangeTimeout; c.clock.Now() < deadline && ctx.Err() == nil; {
		if current := c.owners.current(); current.Entry != former.name {
			return
		}
		c.wait(ctx, ownerChangePoll)
	}
}

// healAll ends all faults and starts what was stopped.
func (d *deployment) healAll() error {
	for _, e := range d.entries {
		e.store.set(storeFault{})
		e.peers.set(linkState{})
		e.signal(syscall.SIGCONT)
		if !e.running() {
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	for _, g := range d.groups {
		g.store.set(storeFault{})
		for _, view := range g.proxies {
			for _, proxy := range view {
				proxy.set(linkState{})
			}
		}
		g.signal(syscall.SIGCONT)
		if !g.running() {
			if err := g.launch(); err != nil {
				return err
			}
		}
	}
	d.schedule.addf("heal all", "", "")
	return nil
}
