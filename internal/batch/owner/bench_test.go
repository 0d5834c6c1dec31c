package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/journal"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// bench runs entries, a log and workers in virtual time, in one thread and in
// the same order on every run.
type bench struct {
	now      clock.Millis
	agenda   appointments
	serial   int
	random   *rand.Rand
	broken   breaks
	streams  map[string][]stream.Record
	carried  map[*byte][]byte         // kinds of records by append
	first    map[string]stream.Offset // oldest record kept
	latency  clock.Millis             // of an append
	logDown  bool
	logCut   map[string]bool         // failure domains that can't reach the log
	peerCut  map[string]bool         // failure domains that others' orders don't reach
	cutUntil map[string]clock.Millis // when a failure domain was last cut off from all
	noConfig map[string]bool         // failure domains whose entries can't read the configuration
	loseAll  bool                    // answers of appends are lost
	twice    bool                    // orders arrive a second time, later
	late     bool                    // workers obey orders whose time is over
	procs    []*proc
	agents   map[string]*agent
	vms      []inventory.VM
	config   ledger.Config
	watch    *witness
	flood    int                    // tasks of the script besides the usual ones
	fired    int                    // faults brought about
	step     func(name, who string) // called as a step happens
}

type appointment struct {
	at     clock.Millis
	serial int
	run    func()
}

// appointments is a heap in order of time, then of making.
type appointments []*appointment

func (h appointments) Len() int { return len(h) }

func (h appointments) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}

func (h appointments) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *appointments) Push(x any)   { *h = append(*h, x.(*appointment)) }

func (h *appointments) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newBench(seed uint64, broken breaks, domains, entries, workers int) *bench {
	b := &bench{
		now: clock.Hour, broken: broken, latency: 20, random: rand.New(rand.NewPCG(seed, seed)),
		streams: map[string][]stream.Record{}, first: map[string]stream.Offset{},
		logCut: map[string]bool{}, peerCut: map[string]bool{}, agents: map[string]*agent{}, carried: map[*byte][]byte{}, noConfig: map[string]bool{}, cutUntil: map[string]clock.Millis{},
		step: func(string, string) {},
	}
	b.watch = newWitness(b)
	b.config = ledger.Config{Version: 1}
	var names []string
	for d := range domains {
		names = append(names, string(rune('a'+d)))
	}
	for _, domain := range names {
		b.config.Pools.Domains = append(b.config.Pools.Domains, pool.Domain{Name: domain, Cells: 1})
		for w := range workers {
			b.addWorker(domain, fmt.Sprintf("%s-w-%02d", domain, w))
		}
	}
	b.config.Pools.Pools = []pool.Pool{{
		Name: "batch", FailureDomains: names, HoldMS: 20 * clock.Second, LeaseMS: 6 * clock.Second, MaxMovesPerSec: 10, AllowEvict: true, AllowThrottle: true,
	}}
	for _, domain := range names {
		for e := range entries {
			b.boot(fmt.Sprintf("%s-e-%d", domain, e), domain)
		}
	}
	return b
}

func (b *bench) addWorker(domain, name string) {
	size := amount.Amount{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}
	vm := inventory.VM{Name: name, Role: inventory.Worker, FailureDomain: domain, Rack: domain + "-r", State: inventory.Live, Size: size, Agent: name}
	b.vms = append(b.vms, vm)
	b.agents[name] = newAgent(b, vm)
}

func (b *bench) after(d clock.Millis, run func()) {
	b.serial++
	heap.Push(&b.agenda, &appointment{b.now + d, b.serial, run})
}

func (b *bench) run(d clock.Millis) {
	end := b.now + d
	for {
		if len(b.agenda) == 0 || b.agenda[0].at > end {
			b.now = end
			return
		}
		next := heap.Pop(&b.agenda).(*appointment)
		b.now = next.at
		next.run()
	}
}

func (b *bench) until(limit clock.Millis, done func() bool) bool {
	for end := b.now + limit; b.now < end; b.run(clock.Second) {
		if done() {
			return true
		}
	}
	return done()
}

func (b *bench) cells() []string {
	var names []string
	for _, row := range b.config.Pools.Domains {
		names = append(names, cellsOf(b.config.Pools, row.Name)...)
	}
	return names
}

// mark is an operator's act, in force from now on.
func (b *bench) mark(kind mark.Kind, name string, out bool) {
	b.config.Marks = b.config.Marks.With(mark.Mark{Kind: kind, Name: name, Out: out})
	b.config.Version++
	if kind == mark.Domain {
		b.watch.marked(name, out)
	}
}

// proc is one life of an entry.
type proc struct {
	bench   *bench
	name    string
	domain  string
	dead    bool
	paused  clock.Millis // until then nothing runs
	journal *journal.Journal
	owners  []*Owner
	readAt  clock.Millis // of the config stream
	config  ledger.Config
	reading bool
}

func (b *bench) boot(name, domain string) *proc {
	b.serial++
	p := &proc{bench: b, name: name, domain: domain}
	clk := clock.Clock{Now: func() clock.Millis { return b.now }}
	p.journal = journal.New(journal.Options{Writer: fmt.Sprintf("%s/%d", name, b.serial), Clock: clk, Append: p.append})
	for _, at := range b.cells() {
		options := Options{Cell: at, Entry: name, Domain: domain, Clock: clk, Seed: b.random.Uint64(), Journal: p.journal, Agent: p.agent(), Log: zerolog.Nop()}
		p.owners = append(p.owners, newWith(options, b.broken))
	}
	b.procs = append(b.procs, p)
	b.loop(p, 50, p.journal.Tick)
	b.loop(p, 200, p.tick)
	b.loop(p, 500, p.readConfig)
	return p
}

func (b *bench) loop(p *proc, every clock.Millis, run func()) {
	var again func()
	again = func() {
		if p.dead {
			return
		}
		run()
		b.after(every, func() { p.do(again) })
	}
	b.after(clock.Millis(b.random.Int64N(int64(every))), func() { p.do(again) })
}

// do runs something in the process: never when dead, later when paused.
func (p *proc) do(run func()) {
	switch {
	case p.dead:
	case p.paused > p.bench.now:
		p.bench.after(p.paused-p.bench.now, func() { p.do(run) })
	default:
		run()
	}
}

func (p *proc) tick() {
	p.bench.cutOff(p.domain)
	if !p.reading {
		p.read()
	}
	for _, one := range p.owners {
		one.Tick()
	}
}

func (p *proc) reaches() bool { return !p.bench.logDown && !p.bench.logCut[p.domain] }

// read follows all streams.
func (p *proc) read() {
	b, sent := p.bench, p.bench.now
	p.reading = true
	b.after(5, func() {
		ok := p.reaches()
		pages := make([]stream.Page, len(p.owners))
		for i, one := range p.owners {
			pages[i] = b.page(one.stream, one.Next())
		}
		b.after(5, func() {
			p.do(func() {
				p.reading = false
				for i, one := range p.owners {
					p.take(one, pages[i], ok, sent)
				}
			})
		})
	})
}

func (p *proc) take(one *Owner, page stream.Page, ok bool, sent clock.Millis) {
	if !ok {
		one.ReadFailed()
		return
	}
	for _, rec := range page.Records {
		p.bench.noteRecords(rec.Data, "read", p.name)
	}
	one.Read(page, sent)
}

func (b *bench) page(name string, from stream.Offset) stream.Page {
	kept := b.streams[name]
	first := max(b.first[name], 1)
	page := stream.Page{First: first, End: first + stream.Offset(len(kept))}
	if at := int(max(from, first) - first); at < len(kept) {
		page.Records = slices.Clone(kept[at:min(len(kept), at+500)])
	}
	return page
}

// expire drops the records of a stream before an offset.
func (b *bench) expire(name string, first stream.Offset) {
	b.streams[name] = b.streams[name][first-max(b.first[name], 1):]
	b.first[name] = first
}

func (p *proc) readConfig() {
	b, sent := p.bench, p.bench.now
	b.after(10, func() {
		if !p.reaches() || b.noConfig[p.domain] {
			return
		}
		config := b.config
		b.after(5, func() { p.do(func() { p.config, p.readAt = config, sent }) })
	})
	world := World{Config: p.config, ConfigReadAt: p.readAt, VMs: slices.Clone(b.vms)}
	for _, other := range b.procs {
		cut := other.domain != p.domain && (b.peerCut[other.domain] || b.peerCut[p.domain])
		world.Entries = append(world.Entries, Peer{Name: other.name, Domain: other.domain, Live: !other.dead && other.paused <= b.now && !cut})
	}
	for _, one := range p.owners {
		one.SetWorld(world)
	}
}

func (p *proc) append(name string, data []byte, done func(stream.Offset, error)) {
	b := p.bench
	answer := func(off stream.Offset, err error) {
		b.after(b.latency/2, func() { p.do(func() { done(off, err) }) })
	}
	b.noteRecords(data, "append", p.name)
	if !p.reaches() && b.random.IntN(2) == 0 {
		answer(0, fault.Newf(fault.NotSent, "append", name, "no connection"))
		return
	}
	b.after(b.latency/2, func() {
		if !p.reaches() {
			answer(0, fault.Newf(fault.NotRun, "append", name, "down"))
			return
		}
		off := max(b.first[name], 1) + stream.Offset(len(b.streams[name]))
		b.streams[name] = append(b.streams[name], stream.Record{Offset: off, Data: data})
		b.noteRecords(data, "landed", p.name)
		b.noteEnds(data)
		if b.loseAll {
			answer(0, fault.Newf(fault.Unknown, "append", name, "answer lost"))
			return
		}
		answer(off, nil)
	})
}

// cutOff reports whether a failure domain reaches neither the log nor others.
func (b *bench) cutOff(domain string) bool {
	off := b.peerCut[domain] && (b.logCut[domain] || b.logDown)
	if off {
		b.cutUntil[domain] = b.now
	}
	return off
}

// noteRecords reports what an append carries as steps.
func (b *bench) noteRecords(data []byte, where, who string) {
	kinds, known := b.carried[&data[0]]
	if !known {
		batch, err := cell.DecodeBatch(data)
		if err != nil {
			return
		}
		for _, record := range batch.Records {
			kinds = append(kinds, record[0])
		}
		b.carried[&data[0]] = kinds
	}
	for _, kind := range kinds {
		b.step(stepNames[where][kind], who)
	}
}

// noteEnds tells the witness which ends are in a stream now.
func (b *bench) noteEnds(data []byte) {
	batch, _ := cell.DecodeBatch(data)
	for _, record := range batch.Records {
		var end cell.End
		if record[0] == byte(cell.KindEnd) && codec.Unmarshal(record[1:], &end) == nil {
			b.watch.heard(end)
		}
	}
}

// stepNames of what happens to records, by kind.
var stepNames = func() map[string][]string {
	names := map[string][]string{}
	for _, where := range []string{"append", "landed", "read"} {
		for kind := range 32 {
			names[where] = append(names[where], fmt.Sprintf("%s %d", where, kind))
		}
	}
	return names
}()

// submit sends a job through an entry; acked is called when it is accepted.
func (p *proc) submit(spec job.Spec, acked func(id string)) {
	home := job.Home(spec.Caller, spec.Key, p.bench.cells())
	p.bench.step("submit", p.name)
	p.do(func() {
		p.journal.Add(job.StreamName(home), cell.Encode(cell.Submit{Spec: spec}), func(_ stream.Offset, err error) {
			if err == nil {
				p.bench.step("acknowledge", p.name)
				acked(job.ID(home, spec.Caller, spec.Key))
			}
		})
	})
}

func (p *proc) cancel(id string) {
	home, _ := job.CellOf(id)
	p.do(func() { p.journal.Add(job.StreamName(home), cell.Encode(cell.Cancel{ID: id}), nil) })
}

func (b *bench) kill(p *proc) {
	p.dead = true
	b.after(5*clock.Second, func() { b.boot(p.name, p.domain) })
	b.procs = slices.DeleteFunc(b.procs, func(other *proc) bool { return other == p })
}

// owner returns the process that owns a cell and follows it, or nil.
func (b *bench) owner(name string) *proc {
	for _, p := range b.procs {
		for _, one := range p.owners {
			if one.options.Cell == name && one.Owns() && p.paused <= b.now {
				return p
			}
		}
	}
	return nil
}

func (b *bench) follower(p *proc, name string) *Owner {
	for _, one := range p.owners {
		if one.options.Cell == name {
			return one
		}
	}
	return nil
}

// status asks the live entry that read furthest.
func (b *bench) status(id string) (job.Status, bool) {
	home, _ := job.CellOf(id)
	var best *Owner
	for _, p := range b.procs {
		for _, one := range p.owners {
			if one.options.Cell == home && (best == nil || one.state.Applied() > best.state.Applied()) {
				best = one
			}
		}
	}
	return best.Status(id)
}
