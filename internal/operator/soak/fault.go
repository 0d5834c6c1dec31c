package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// lane is a series of faults of one kind. Lanes run beside each other.
type lane int

// The lanes.
const (
	ownerLane   lane = iota // changes of the owner, with workers cut off around them
	cutLane                 // workers that cannot be reached
	storeLane               // a store that is slow, loses answers or refuses, for some entries
	processLane             // entries and workers that are paused, killed and restarted
	laneCount
)

// chaos injects faults into a deployment.
type chaos struct {
	*deployment
	lane lane
	rng  *rand.Rand
}

// between draws a time.
func (c *chaos) between(shortest, longest clock.Millis) clock.Millis {
	return shortest + clock.Millis(c.rng.Int64N(int64(longest-shortest+1)))
}

// chance returns true with a probability in percent.
func (c *chaos) chance(percent int) bool { return c.rng.IntN(100) < percent }

// injectFaults runs all lanes of the plan until the context ends.
func (d *deployment) injectFaults(ctx context.Context) error {
	var lanes errgroup.Group
	for number, enabled := range d.plan.lanes {
		if !enabled {
			continue
		}
		c := &chaos{deployment: d, lane: lane(number), rng: d.plan.newRand(uint64(100 + number))}
		lanes.Go(func() error { return c.run(ctx) })
	}
	return lanes.Wait()
}

// run plays one episode after the other.
func (c *chaos) run(ctx context.Context) error {
	for d := c.between(500, 3000); c.clock.Sleep(ctx, d) == nil; d = c.between(500, 5000) {
		var err error
		switch c.lane {
		case ownerLane:
			err = c.changeOwner(ctx)
		case cutLane:
			c.cutSome(ctx)
		case storeLane:
			c.disturbStore(ctx)
		case processLane:
			err = c.disturbProcess(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// wait waits, and returns early when the context ends, so that the fault ends too.
func (c *chaos) wait(ctx context.Context, d clock.Millis) { _ = c.clock.Sleep(ctx, d) }

// pause suspends a process.
func (c *chaos) pause(ctx context.Context, p *process, length clock.Millis) {
	c.schedule.addf("pause", p.name, "%d ms", length)
	p.signal(syscall.SIGSTOP)
	c.wait(ctx, length)
	p.signal(syscall.SIGCONT)
	c.schedule.addf("continue", p.name, "")
}

// restartEntry stops an entry by a signal and starts it again.
func (c *chaos) restartEntry(ctx context.Context, e *entry, sig syscall.Signal, down clock.Millis) error {
	c.schedule.addf("stop", e.name, "%v, down %d ms", sig, down)
	if sig == syscall.SIGKILL {
		e.stop(sig)
		e.peers.set(linkState{refuse: true})
	} else {
		e.stop(sig)
	}
	c.wait(ctx, down)
	e.peers.set(linkState{})
	c.schedule.addf("start", e.name, "")
	return e.start()
}

// restartGroup kills a process of workers and starts it again. Some workers come
// back under another id at the same address.
func (c *chaos) restartGroup(ctx context.Context, g *workerGroup, down clock.Millis) error {
	c.schedule.addf("stop", g.name, "%v, down %d ms", syscall.SIGKILL, down)
	g.stop(syscall.SIGKILL)
	c.wait(ctx, down)
	renamed := 0
	for i := range g.set.Workers {
		if c.chance(30) {
			g.set.Workers[i].ID += "n"
			renamed++
		}
	}
	c.schedule.addf("start", g.name, "%d workers under new ids", renamed)
	return g.launch()
}

// cut is a fault of the network in front of some workers.
type cut struct {
	groups  []*workerGroup
	views   []int // concerned; the others reach the workers
	state   linkState
	unlists bool // the workers cannot renew their entries either
	length  clock.Millis
}

// apply cuts workers off for the length of the cut.
func (c *chaos) apply(ctx context.Context, x cut) {
	for _, g := range x.groups {
		c.schedule.addf("cut", g.name, "views %v of %d, %+v, unlists %t, %d ms", x.views, c.plan.views(), x.state, x.unlists, x.length)
	}
	c.setCut(x, x.state, storeFault{silent: x.unlists})
	c.wait(ctx, x.length)
	c.setCut(x, linkState{}, storeFault{})
	for _, g := range x.groups {
		c.schedule.addf("heal", g.name, "")
	}
}

func (c *chaos) setCut(x cut, state linkState, registration storeFault) {
	for _, g := range x.groups {
		if x.unlists {
			g.store.set(registration)
		}
		for _, view := range x.views {
			for _, proxy := range g.proxies[view] {
				proxy.set(state)
			}
		}
	}
}

// drawCut draws which workers are cut off and how.
func (c *chaos) drawCut() cut {
	x := cut{unlists: c.chance(50), length: c.between(2000, 9000), state: linkState{
		holdRequests: true, holdAnswers: true, dropHeld: c.chance(60),
	}}
	if c.chance(30) {
		x.length = c.between(9000, 16000)
	}
	switch c.rng.IntN(8) {
	case 0:
		x.state = linkState{refuse: true}
	case 1:
		x.state = linkState{holdAnswers: true, dropHeld: c.chance(70)}
	case 2:
		x.state = linkState{delayRequests: c.between(300, 4000)}
	case 3:
		x.state = linkState{delayAnswers: c.between(200, 2000)}
	}
	x.groups = c.someGroups()
	x.views = c.allViews()
	return x
}

// someGroups draws one to half of the worker groups.
func (c *chaos) someGroups() []*workerGroup {
	groups := slices.Clone(c.groups)
	c.rng.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	return groups[:1+c.rng.IntN(max(len(groups)/2, 1))]
}

func (c *chaos) allViews() []int {
	views := make([]int, c.plan.views())
	for i := range views {
		views[i] = i
	}
	return views
}

// cutSome cuts some workers off, from all entries or from those of some views.
func (c *chaos) cutSome(ctx context.Context) {
	x := c.drawCut()
	if c.chance(40) {
		c.rng.Shuffle(len(x.views), func(i, j int) { x.views[i], x.views[j] = x.views[j], x.views[i] })
		x.views = x.views[:1+c.rng.IntN(len(x.views))]
	}
	c.apply(ctx, x)
}

// disturbStore disturbs the store for one or more entries.
func (c *chaos) disturbStore(ctx context.Context) {
	fault := storeFault{}
	switch c.rng.IntN(5) {
	case 0:
		fault.after = c.between(200, 3000)
	case 1:
		fault.before = c.between(200, 3000)
	case 2:
		fault.lose = 0.1 + 0.5*c.rng.Float64()
	case 3:
		fault.refuse = true
	case 4:
		fault.silent = true
	}
	count := 1 + c.rng.IntN(len(c.entries))
	first := c.rng.IntN(len(c.entries))
	length := c.between(500, 5000)
	c.schedule.addf("store", c.entries[first].name, "and %d more: %+v, %d ms", count-1, fault, length)
	c.setStore(first, count, fault)
	c.wait(ctx, length)
	c.setStore(first, count, storeFault{})
	c.schedule.addf("store", c.entries[first].name, "healed")
}

// setStore sets the fault of the store for a number of entries.
func (c *chaos) setStore(first, count int, fault storeFault) {
	for i := range count {
		c.entries[(first+i)%len(c.entries)].store.set(fault)
	}
}

// disturbProcess pauses or restarts an entry or a process of workers.
func (c *chaos) disturbProcess(ctx context.Context) error {
	e := c.entries[c.rng.IntN(len(c.entries))]
	g := c.groups[c.rng.IntN(len(c.groups))]
	switch c.rng.IntN(6) {
	case 0, 1:
		c.pause(ctx, e.process, c.between(200, 8000))
	case 2:
		return c.restartEntry(ctx, e, syscall.SIGKILL, c.between(100, 4000))
	case 3:
		return c.restartEntry(ctx, e, syscall.SIGTERM, c.between(100, 4000))
	case 4:
		return c.restartGroup(ctx, g, c.between(100, 8000))
	case 5:
		c.pause(ctx, g.process, c.between(200, 8000))
	}
	return nil
}
