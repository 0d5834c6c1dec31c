package rig3

import (
	"context"
	"sync"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/platform"
)

// cellTopic is the topic to which the owner records jobs.
var cellTopic = platform.Topic("cell-0")

// Gate is the store as the deployment sees it. While it is closed, the store is silent:
// calls get no answer, and are carried out once it opens.
type Gate struct {
	inner  journal.Log
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
	newest int64         // sequence of the newest append of the newest epoch
	epoch  int64
	// onAppend is called when the first attempt of an append to the cell's topic
	// arrives, before it is carried out.
	onAppend func(epoch, sequence int64)
}

func newGate(inner journal.Log) *Gate {
	open := make(chan struct{})
	close(open)
	return &Gate{inner: inner, opened: open}
}

// Shut makes the store silent.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default: // it is shut already
	}
}

// Open makes the store answer.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// OnAppend sets what is called when an append to the cell's topic arrives for the first
// time; nil: nothing.
func (g *Gate) OnAppend(call func(epoch, sequence int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onAppend = call
}

// Log returns the calls of the store.
func (g *Gate) Log() journal.Log {
	return journal.Log{Append: g.append, Read: g.read, Newest: g.readNewest}
}

// wait returns once the gate is open, or the store's process ends.
func (g *Gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

func (g *Gate) append(ctx context.Context, call journal.Append) journal.Answer {
	g.note(call)
	g.wait()
	return g.inner.Append(context.WithoutCancel(ctx), call)
}

// note calls onAppend for the first attempt of an append.
func (g *Gate) note(call journal.Append) {
	if call.Topic != cellTopic {
		return
	}
	g.mu.Lock()
	writer := call.Writer
	if writer.Epoch < g.epoch || writer.Epoch == g.epoch && writer.Sequence <= g.newest {
		g.mu.Unlock()
		return
	}
	g.epoch, g.newest = writer.Epoch, writer.Sequence
	notify := g.onAppend
	g.mu.Unlock()
	if notify != nil {
		notify(writer.Epoch, writer.Sequence)
	}
}

func (g *Gate) read(ctx context.Context, call journal.Read) journal.Page {
	g.wait()
	page := g.inner.Read(ctx, call)
	g.wait() // a long poll may have begun before
	return page
}

func (g *Gate) readNewest(ctx context.Context, topic string) journal.Page {
	g.wait()
	return g.inner.Newest(ctx, topic)
}
