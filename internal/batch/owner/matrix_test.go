package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
)

// steps of a task's life, each with the event of the bench that shows it.
var steps = []struct{ name, event, shown string }{
	{"submit", "submit", "a caller submits"},
	{"append", fmt.Sprintf("append %d", cell.KindSubmit), "an append with a submission leaves an entry"},
	{"acknowledge", "acknowledge", "an entry learns that a submission is kept"},
	{"read", fmt.Sprintf("read %d", cell.KindSubmit), "an entry reads a submission"},
	{"place", fmt.Sprintf("append %d", cell.KindStart), "an append with a start record leaves the owner"},
	{"record", fmt.Sprintf("landed %d", cell.KindStart), "a start record lands in the log"},
	{"start", "start", "a start order leaves the owner"},
	{"renew", "renew", "a renewal leaves an entry"},
	{"report", "renew answered", "a worker has answered a renewal"},
	{"throttle", "throttle", "a throttle order leaves the owner"},
	{"checkpoint", "checkpoint", "a worker saves a checkpoint to stop"},
	{"evict", fmt.Sprintf("append %d", cell.KindEvict), "an append with an eviction leaves the owner"},
	{"resume", "resume", "a start order with a checkpoint leaves the owner"},
	{"finish", "finish", "a task runs to its end"},
	{"cancel", fmt.Sprintf("append %d", cell.KindCancel), "an append with a cancellation leaves an entry"},
	{"hand over a job", fmt.Sprintf("append %d", cell.KindHand), "an append that hands a job to another cell leaves its owner"},
	{"hand over a cell", fmt.Sprintf("append %d", cell.KindHandover), "an append that gives up a cell leaves its owner"},
}

// faultRow is a fault; inject brings it about around the process or VM that
// was at the step.
type faultRow struct {
	name, what string
	inject     func(b *bench, who string)
}

func domainAt(who string) string { return who[:1] }

func (b *bench) proc(who string) *proc {
	for _, p := range b.procs {
		if p.name == who || who == "" {
			return p
		}
	}
	return b.procs[b.random.IntN(len(b.procs))]
}

func (b *bench) entriesOf(domain string) []*proc {
	var found []*proc
	for _, p := range b.procs {
		if p.domain == domain {
			found = append(found, p)
		}
	}
	return found
}

func (b *bench) worker(who string) *agent {
	if a := b.agents[who]; a != nil {
		return a
	}
	return b.agents[domainAt(who)+"-w-00"]
}

func (b *bench) leave(name string, state inventory.State) {
	for i := range b.vms {
		if b.vms[i].Name == name {
			b.vms[i].State = state
		}
	}
}

var faultRows = []faultRow{
	{"kill", "the entry dies; a new process of its name starts 5 s later", func(b *bench, who string) {
		b.kill(b.proc(who))
	}},
	{"pause", "the entry stands still for 12 s and then goes on with what it was doing", func(b *bench, who string) {
		b.proc(who).paused = b.now + 12*clock.Second
	}},
	{"cut from platform", "the failure domain's entries can't reach the log for 10 s", func(b *bench, who string) {
		b.logCut[domainAt(who)] = true
		b.after(10*clock.Second, func() { delete(b.logCut, domainAt(who)) })
	}},
	{"cut from peers", "orders from other failure domains don't arrive for 15 s", func(b *bench, who string) {
		b.peerCut[domainAt(who)] = true
		b.after(15*clock.Second, func() { delete(b.peerCut, domainAt(who)) })
	}},
	{"domain cut off", "the failure domain reaches neither the log nor others for 50 s, longer than hold and lease", func(b *bench, who string) {
		b.logCut[domainAt(who)], b.peerCut[domainAt(who)] = true, true
		b.after(50*clock.Second, func() {
			delete(b.logCut, domainAt(who))
			delete(b.peerCut, domainAt(who))
		})
	}},
	{"configuration unreadable", "the failure domain's entries can't read the configuration for 20 s, but reach the cells' streams", func(b *bench, who string) {
		b.noConfig[domainAt(who)] = true
		b.after(20*clock.Second, func() { delete(b.noConfig, domainAt(who)) })
	}},
	{"log down", "no append and no read works for 10 s", func(b *bench, _ string) {
		b.logDown = true
		b.after(10*clock.Second, func() { b.logDown = false })
	}},
	{"log down for long", "the same for 40 s, longer than hold and lease", func(b *bench, _ string) {
		b.logDown = true
		b.after(40*clock.Second, func() { b.logDown = false })
	}},
	{"log slow", "an append takes 2 s, for 20 s", func(b *bench, _ string) {
		b.latency = 2 * clock.Second
		b.after(20*clock.Second, func() { b.latency = 20 })
	}},
	{"answer lost", "appends land and orders are obeyed, but answers are lost for 8 s", func(b *bench, _ string) {
		b.loseAll = true
		b.after(8*clock.Second, func() { b.loseAll = false })
	}},
	{"late and duplicate delivery", "each order arrives again up to 40 s later, and one message in four takes up to 6 s, for 15 s", func(b *bench, _ string) {
		b.twice = true
		b.after(15*clock.Second, func() { b.twice = false })
	}},
	{"lease lapse while paused", "all entries of the failure domain stand still for 30 s", func(b *bench, who string) {
		for _, p := range b.entriesOf(domainAt(who)) {
			p.paused = b.now + 30*clock.Second
		}
	}},
	{"operator race", "the failure domain is marked out and back three times within 3 s", func(b *bench, who string) {
		for i := range 6 {
			b.after(clock.Millis(i)*500, func() { b.mark(mark.Domain, domainAt(who), i%2 == 0) })
		}
	}},
	{"domain out", "the failure domain is marked out, and back 15 s later", func(b *bench, who string) {
		b.mark(mark.Domain, domainAt(who), true)
		b.after(15*clock.Second, func() { b.mark(mark.Domain, domainAt(who), false) })
	}},
	{"VM leaving", "a worker is listed as leaving, stops 10 s later and is back after 20 s", func(b *bench, who string) {
		a := b.worker(who)
		b.leave(a.vm.Name, inventory.Leaving)
		b.after(10*clock.Second, a.die)
		b.after(20*clock.Second, func() {
			a.reboot()
			b.leave(a.vm.Name, inventory.Live)
		})
	}},
	{"VM dies", "a worker dies and restarts 20 s later", func(b *bench, who string) {
		a := b.worker(who)
		a.die()
		b.after(20*clock.Second, a.reboot)
	}},
	{"worker failing everything", "every task on one worker fails, for 20 s", func(b *bench, who string) {
		a := b.worker(who)
		a.failing = true
		b.after(20*clock.Second, func() { a.failing = false })
	}},
}

// variants are the safeguards that are switched off to show that the matrix
// notices, each with a fault at which it does.
var variants = []struct {
	name, fault    string
	breaks         string // invariant
	broken         breaks
	late           bool // workers obey orders whose time is over
	workers, flood int
}{
	{"read-back before orders", "kill", "two_places", breaks{noReadBack: true}, false, 2, 0},
	{"freshness of the configuration", "log down", "start_in_out_domain", breaks{noFreshness: true}, false, 2, 0},
	{"deduplication of keys and appends", "pause", "doubled", breaks{rules: cell.Rules{NoDedupe: true}}, false, 2, 0},
	{"wait for the longest life of a lease", "domain cut off", "two_places", breaks{noWorkerEnd: true}, false, 2, 0},
	{"end of orders by the worker's clock", "late and duplicate delivery", "doubled", breaks{}, true, 2, 0},
	{
		"fencing by epoch, with the room check", "pause", "overcommitted",
		breaks{noYield: true, rules: cell.Rules{NoFence: true, NoRoom: true}},
		false, 1, 40,
	},
}

// planned is a fault to be brought about at the nth time that a step happens.
type planned struct {
	step, nth int
	row       int
}

// life runs a whole life of several tasks, in which every step happens, and
// returns what the witness saw.
func life(seed uint64, broken breaks, faults ...planned) ([]string, map[string]bool) {
	return newBench(seed, broken, 3, 2, 2).live(faults)
}

func (b *bench) live(faults []planned) ([]string, map[string]bool) {
	b.run(6 * clock.Second)
	b.arm(faults)
	seen := map[string]bool{}
	next := b.step
	b.step = func(name, who string) {
		seen[name] = true
		next(name, who)
	}
	b.script()
	b.run(20 * clock.Second)
	b.until(4*clock.Minute, b.watch.done)
	if slices.ContainsFunc(faults, func(one planned) bool { return faultRows[one.row].name == "late and duplicate delivery" }) {
		b.run(40 * clock.Second) // for what arrives late
	}
	b.watch.atRest()
	return b.watch.faults, seen
}

func (b *bench) arm(faults []planned) {
	count := map[string]int{}
	b.step = func(name, who string) {
		count[name]++
		for _, one := range faults {
			if steps[one.step].event == name && count[name] == one.nth {
				b.fired++
				// As its own event, so that the step itself is through.
				b.after(0, func() { faultRows[one.row].inject(b, who) })
			}
		}
	}
}

// script is the callers', operators' and platform's part.
func (b *bench) script() {
	for i := range 14 {
		class := route.Batch
		if i%4 == 3 {
			class = route.Urgent
		}
		// These names have homes in all three failure domains.
		b.after(clock.Millis(i)*300, func() { b.work(fmt.Sprintf("w%02d", i+6), clock.Millis(5000+2000*i), class) })
	}
	for i := range b.flood {
		b.after(clock.Millis(i)*200, func() { b.work(fmt.Sprintf("x%02d", i), clock.Millis(1000+100*i), route.Batch) })
	}
	b.after(5*clock.Second, func() { b.quit("w15") })
	b.after(4*clock.Second, b.throttleOne)
	b.after(5*clock.Second, b.throttleOne)
	b.after(6*clock.Second, func() { b.mark(mark.Domain, "b", true) })
	b.after(16*clock.Second, func() { b.mark(mark.Domain, "b", false) })
	b.after(9*clock.Second, b.shutdownOne)
}

// quit cancels a job as its caller.
func (b *bench) quit(work string) {
	id, accepted := b.watch.accepted[work]
	if !accepted {
		return
	}
	b.watch.gone[work] = true
	b.procs[0].cancel(id)
}

func (b *bench) throttleOne() {
	for _, p := range b.procs {
		for _, one := range p.owners {
			if !one.Owns() {
				continue
			}
			for _, id := range one.state.IDs() {
				if entry, _ := one.state.Job(id); entry.Active() {
					one.sched.act(colocation.Action{Do: colocation.Throttle, VM: entry.VM, Job: id, Attempt: entry.Attempt}, "matrix")
					return
				}
			}
		}
	}
}

// shutdownOne ends the entry that owns a cell gracefully.
func (b *bench) shutdownOne() {
	p := b.owner("a.0")
	if p == nil {
		return
	}
	for _, one := range p.owners {
		one.Handover()
	}
	b.after(2*clock.Second, func() {
		if !p.dead {
			b.kill(p)
		}
	})
}

// kinds reduces what a witness saw to the invariants that broke.
func kinds(faults []string) map[string]bool {
	found := map[string]bool{}
	for _, one := range faults {
		_, text, _ := strings.Cut(one, ": ")
		kind, _, _ := strings.Cut(text, ":")
		found[kind] = true
	}
	return found
}

// Each safeguard is switched off in turn, and the matrix must notice at some
// step of the fault that is given.
func TestMatrixNoticesBrokenSafeguards(t *testing.T) {
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			row := slices.IndexFunc(faultRows, func(fault faultRow) bool { return fault.name == variant.fault })
			for step := range steps {
				b := newBench(uint64(row*100+step), variant.broken, 3, 2, variant.workers)
				b.late, b.flood = variant.late, variant.flood
				faults, _ := b.live([]planned{{step: step, nth: 1 + step%2, row: row}})
				if kinds(faults)[variant.breaks] {
					t.Logf("at %s: %s", steps[step].name, faults[0])
					return
				}
			}
			t.Errorf("%s does not break %q at any step", variant.fault, variant.breaks)
		})
	}
}

func TestLifeWithoutFaults(t *testing.T) {
	faults, seen := life(1, breaks{})
	if diff := cmp.Diff([]string(nil), faults); diff != "" {
		t.Error(diff)
	}
	for _, step := range steps {
		if !seen[step.event] {
			t.Errorf("step %q does not happen", step.name)
		}
	}
}

func TestFaultMatrix(t *testing.T) {
	for row, fault := range faultRows {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for step := range steps {
				b := newBench(uint64(row*100+step), breaks{}, 3, 2, 2)
				faults, _ := b.live([]planned{{step: step, nth: 1 + step%2, row: row}})
				if b.fired != 1 {
					t.Errorf("at %s: the fault did not come about", steps[step].name)
				}
				if diff := cmp.Diff([]string(nil), faults); diff != "" {
					t.Errorf("at %s:\n%s", steps[step].name, diff)
				}
			}
		})
	}
}

func TestPairsOfFaults(t *testing.T) {
	const pairs = 40
	random := rand.New(rand.NewPCG(7, 7))
	for i := range pairs {
		var two []planned
		for range 2 {
			two = append(two, planned{step: random.IntN(len(steps)), nth: 1 + random.IntN(3), row: random.IntN(len(faultRows))})
		}
		name := fmt.Sprintf("%d %s at %s, %s at %s", i, faultRows[two[0].row].name, steps[two[0].step].name, faultRows[two[1].row].name, steps[two[1].step].name)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faults, _ := life(uint64(5000+i), breaks{}, two...)
			if diff := cmp.Diff([]string(nil), faults); diff != "" {
				t.Error(diff)
			}
		})
	}
}
