package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// work submits a job through an entry, and through another until it is accepted.
func (b *bench) work(name string, run clock.Millis, class route.Class) {
	b.watch.runs[name] = run
	spec := job.Spec{
		Caller: "caller", Key: name, Route: "r", Team: "t" + name[len(name)-1:], Class: class, Pools: []string{"batch"}, Kind: "k",
		Payload: name, Size: amount.Amount{MilliCores: 1000, MemoryMB: 1000}, RunMS: run, MaxAttempts: 20,
	}
	tries := 0
	var try func()
	try = func() {
		if _, ok := b.watch.accepted[name]; ok {
			return
		}
		p := b.procs[(len(name)+tries*2)%len(b.procs)]
		tries++
		p.submit(spec, func(id string) { b.watch.accepted[name] = id })
		b.after(2*clock.Second, try)
	}
	try()
}

func TestRunsTasks(t *testing.T) {
	b := newBench(1, breaks{}, 3, 2, 2)
	b.run(8 * clock.Second)
	for i := range 12 {
		b.work(fmt.Sprintf("w%02d", i), clock.Millis(2000+i*500), route.Batch)
	}
	b.run(clock.Second)
	b.until(clock.Minute, b.watch.done)
	b.watch.atRest()
	if diff := cmp.Diff([]string(nil), b.watch.faults); diff != "" {
		t.Error(diff)
	}
	if len(b.watch.accepted) != 12 || b.watch.starts != 12 {
		t.Errorf("accepted %d, started %d", len(b.watch.accepted), b.watch.starts)
	}
}

func TestSnapshotsOutliveRetention(t *testing.T) {
	b := newBench(3, breaks{}, 3, 2, 2)
	b.run(8 * clock.Second)
	for i := range 30 {
		b.work(fmt.Sprintf("w%02d", i), clock.Millis(2000+i*1500), route.Batch)
	}
	b.run(40 * clock.Second)
	for _, name := range b.cells() {
		one := b.follower(b.owner(name), name)
		b.expire(one.stream, one.state.SnapshotAt()+1)
	}
	late := b.boot("a-e-9", "a")
	b.run(5 * clock.Second)
	for _, name := range b.cells() {
		first, fresh := b.follower(b.procs[0], name), b.follower(late, name)
		if fresh.state.Epoch() == 0 {
			t.Fatalf("%s: the new reader found no snapshot", name)
		}
		for range 1000 {
			if first.state.Applied() == fresh.state.Applied() {
				break
			}
			b.run(50)
		}
		if first.state.Hash() != fresh.state.Hash() {
			t.Errorf("%s: states differ at %d", name, first.state.Applied())
		}
	}
	b.until(3*clock.Minute, b.watch.done)
	b.watch.atRest()
	if diff := cmp.Diff([]string(nil), b.watch.faults); diff != "" {
		t.Error(diff)
	}
}
