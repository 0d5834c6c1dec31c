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
	startsLost         clock.Millis = 400 // before an owner falls asleep, its starts get no answers
)

// changeOwner makes the owner lose the cell, dead or alive, and at times cuts
// workers off around that moment and slows the store down for its successors.
func (c *chaos) changeOwner(ctx context.Context) error {
	owner := c.findOwner()
	switch {
	case owner == nil:
		return nil
	case c.chance(c.plan.apart):
		return c.partition(ctx, owner)
	case c.plan.aim == aimDelay:
		return c.play(ctx, c.drawDelayedSuccession(owner))
	case c.plan.aim == aimSleep:
		return c.playSleep(ctx, owner)
	case c.plan.aim == aimOneWay:
		return c.playOneWay(ctx, owner)
	}
	return c.play(ctx, c.drawSuccession(owner))
}

// play plays a change of the owner, and ends its faults.
func (c *chaos) play(ctx context.Context, s succession) error {
	var parts errgroup.Group
	if s.cut != nil {
		parts.Go(func() error {
			c.wait(ctx, max(s.cutAfter, 0))
			c.apply(ctx, *s.cut)
			return nil
		})
	}
	c.wait(ctx, max(-s.cutAfter, 0))
	for e, fault := range s.slowed {
		c.schedule.addf("store", e.name, "%+v", fault)
		e.store.set(fault)
	}
	parts.Go(func() error { return c.depose(ctx, s.owner, s.deposal) })
	c.awaitOtherOwner(ctx, s.owner)
	parts.Go(func() error { return c.endSuccessor(ctx, s.owner, s.end) })
	if len(s.slowed) > 0 {
		c.wait(ctx, s.slowedFor)
	}
	for e := range s.slowed {
		c.schedule.addf("store", e.name, "healed")
		e.store.set(storeFault{})
	}
	return parts.Wait()
}

// playSleep lets an owner sleep while answers of the store and of workers are under
// way to it, and go on with workers that only it reaches.
func (c *chaos) playSleep(ctx context.Context, owner *entry) error {
	asleep := deposal{kind: ownerPausedWithAnswers, length: c.between(13000, 18000), store: storeFault{after: c.between(300, 1000)}}
	own, others := c.splitWorkers(owner, asleep.length+c.between(4000, 8000))
	lost := cut{groups: own.groups, views: others.views, state: own.state, length: startsLost + asleep.length/2}
	var parts errgroup.Group
	parts.Go(func() error { c.apply(ctx, own); return nil })
	parts.Go(func() error { c.apply(ctx, others); return nil })
	parts.Go(func() error { return c.depose(ctx, owner, asleep) })
	c.wait(ctx, 2*asleep.store.after-startsLost)
	c.apply(ctx, lost)
	return parts.Wait()
}

// splitWorkers returns a cut of some workers from all but an owner's view, and one of
// the other workers from that view.
func (c *chaos) splitWorkers(owner *entry, length clock.Millis) (own, others cut) {
	view := c.plan.view(owner.number)
	own = cut{
		groups: c.someGroups(), unlists: true, length: length,
		views: slices.DeleteFunc(c.allViews(), func(v int) bool { return v == view }),
		state: linkState{holdRequests: true, holdAnswers: true, dropHeld: true},
	}
	others = cut{views: []int{view}, state: own.state, length: length}
	others.groups = slices.DeleteFunc(slices.Clone(c.groups), func(g *workerGroup) bool { return slices.Contains(own.groups, g) })
	return own, others
}

// playOneWay lets workers hear an owner without being heard for a while, then cuts
// them off and kills the owner.
func (c *chaos) playOneWay(ctx context.Context, owner *entry) error {
	unheard := cut{
		groups: c.someGroups(), views: c.allViews(), length: c.between(500, 3000), state: linkState{holdAnswers: true, dropHeld: true},
	}
	off := cut{
		groups: unheard.groups, views: unheard.views, length: c.between(7000, 9000),
		state: linkState{holdRequests: true, holdAnswers: true, dropHeld: true},
	}
	down := c.between(100, 2000)
	c.apply(ctx, unheard)
	var parts errgroup.Group
	parts.Go(func() error { c.apply(ctx, off); return nil })
	parts.Go(func() error { return c.restartEntry(ctx, owner, syscall.SIGKILL, down) })
	return parts.Wait()
}

// partition cuts an owner off together with some workers, from the store, all entries
// and the other workers, as when a failure domain is cut off. At times its successor
// leaves soon.
func (c *chaos) partition(ctx context.Context, owner *entry) error {
	x, others := c.splitWorkers(owner, c.between(6000, 14000))
	successorEnds := c.drawSuccessorEnd()
	c.schedule.addf("partition", owner.name, "%d ms", x.length)
	owner.store.set(storeFault{silent: true})
	owner.peers.set(linkState{holdRequests: true, holdAnswers: true, dropHeld: true})
	var parts errgroup.Group
	parts.Go(func() error {
		c.awaitOtherOwner(ctx, owner)
		return c.endSuccessor(ctx, owner, successorEnds)
	})
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

// depose makes others claim the cell of an owner.
func (c *chaos) depose(ctx context.Context, owner *entry, x deposal) error {
	switch x.kind {
	case ownerPaused:
		c.pause(ctx, owner.process, x.length)
	case ownerCutFromPeers:
		c.schedule.addf("cut from peers", owner.name, "%d ms", x.length)
		owner.peers.set(linkState{holdRequests: true, holdAnswers: true, dropHeld: true})
		c.wait(ctx, x.length)
		owner.peers.set(linkState{})
		c.schedule.addf("heal", owner.name, "")
	case ownerStoreBad:
		c.disturbStoreOf(ctx, owner, x)
	case ownerStopped:
		return c.restartEntry(ctx, owner, x.signal, x.length)
	case ownerPausedWithAnswers:
		c.schedule.addf("store", owner.name, "%+v", x.store)
		owner.store.set(x.store)
		c.wait(ctx, 2*x.store.after)
		c.pause(ctx, owner.process, x.length)
		owner.store.set(storeFault{})
	}
	return nil
}

func (c *chaos) disturbStoreOf(ctx context.Context, owner *entry, x deposal) {
	c.schedule.addf("store", owner.name, "%+v, %d ms", x.store, x.length)
	owner.store.set(x.store)
	c.wait(ctx, x.length)
	owner.store.set(storeFault{})
	c.schedule.addf("store", owner.name, "healed")
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
