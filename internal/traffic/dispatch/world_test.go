package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// world is a deployment in virtual time: workers with slots and noise, and
// requests that were all drawn before any policy ran.
type world struct {
	now     float64 // milliseconds
	events  events
	seq     int
	setup   setup
	workers []*box
	tally   tally
}

type setup struct {
	name              string
	domains           int
	workersPerDomain  int
	entriesPerDomain  int
	slots             int
	near, far         float64 // one way, ms
	meanMS            float64 // service time without noise
	deadlineMS        float64
	seconds           float64
	load              func(second float64) float64 // share of what the slots carry under noise
	noisy             bool
	repeatable        bool
	hedge, retryShare int
	fault             func(w *world, at float64) // called every 100 ms
	entryGone         func(domain int, at float64) bool
	marks             func(at float64) (out bool, since float64) // of the last failure domain
}

// box is a worker: a guard, slots, and noise from batch tasks in waves.
type box struct {
	id, domain int
	busy       int
	committed  int       // for the all-knowing chooser
	harm       []float64 // by second: slowdown at full load by the batch tasks there
	broken     string    // "", "refuse", "reset", "hang", "gone"
	lost       bool      // answers do not come back either
}

type call struct {
	at, demand, deadline float64
	entry                int
	attempts             int
	finished             bool
}

type tally struct {
	offered, answered, refused, late, failed, retries, sent, guard int
	latencies                                                      []float64
}

type event struct {
	at  float64
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(delay float64, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + delay, w.seq, run})
}

// harms are slowdowns by the kind of batch task beside the service.
var harms = []float64{1, 1.2, 1.6, 2.5, 5, 10}

func newWorld(s setup, seed uint64) *world {
	w := &world{setup: s}
	rng := rand.New(rand.NewPCG(seed, 1))
	for id := range s.domains * s.workersPerDomain {
		b := &box{id: id, domain: id / s.workersPerDomain}
		harm, until := 1.0, 0.0
		for second := range int(s.seconds) + 30 {
			if float64(second) >= until && s.noisy {
				harm, until = 1, float64(second)+1+rng.Float64()*8
				if rng.Float64() < 0.5 {
					harm = harms[rng.IntN(len(harms))]
				}
			}
			b.harm = append(b.harm, harm)
		}
		w.workers = append(w.workers, b)
	}
	return w
}

// slowdown shifts with the worker's load.
func (w *world) slowdown(b *box) float64 {
	harm := b.harm[min(int(w.now/1000), len(b.harm)-1)]
	return 1 + (harm-1)*(0.5+0.5*float64(b.busy)/float64(w.setup.slots))
}

// capacity is the requests per ms that all slots carry in a second.
func (w *world) capacity(second int) float64 {
	total := 0.0
	for _, b := range w.workers {
		total += float64(w.setup.slots) / (w.setup.meanMS * b.harm[second])
	}
	return total
}

// calls draws all requests.
func (w *world) calls(seed uint64) []*call {
	rng := rand.New(rand.NewPCG(seed, 2))
	var all []*call
	entries := w.setup.domains * w.setup.entriesPerDomain
	const sigma = 0.3
	for at := 0.0; at < w.setup.seconds*1000; {
		rate := w.capacity(int(at/1000)) * w.setup.load(at/1000)
		at += rng.ExpFloat64() / rate
		demand := w.setup.meanMS * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		entry := rng.IntN(entries)
		for w.setup.entryGone != nil && w.setup.entryGone(entry/w.setup.entriesPerDomain, at) {
			entry = rng.IntN(entries)
		}
		all = append(all, &call{at: at, demand: demand, entry: entry, deadline: at + w.setup.deadlineMS})
	}
	return all
}

func (w *world) net(entry int, b *box) float64 {
	if entry/w.setup.entriesPerDomain == b.domain {
		return w.setup.near
	}
	return w.setup.far
}

// send delivers one attempt; done gets how it ended, at most once.
func (w *world) send(c *call, b *box, done func(result string)) {
	w.tally.sent++
	net := w.net(c.entry, b)
	w.after(net, func() {
		switch {
		case b.broken == "hang":
		case b.broken == "gone":
			w.after(net, func() { done("not_sent") })
		case b.broken == "refuse":
			w.tally.guard++
			w.after(net, func() { done("refused") })
		case b.broken == "reset":
			w.after(net, func() { done("failed") })
		case b.busy >= w.setup.slots:
			w.tally.guard++
			w.after(net, func() { done("refused") })
		default:
			b.busy++
			w.after(c.demand*w.slowdown(b), func() {
				b.busy--
				if !b.lost {
					w.after(net, func() { done("answered") })
				}
			})
		}
	})
}

func (w *world) finish(c *call, count *int) {
	if c.finished {
		return
	}
	c.finished = true
	if count == &w.tally.answered {
		w.tally.latencies = append(w.tally.latencies, w.now-c.at)
	}
	*count++
}

// run drives a policy through all requests.
func (w *world) run(calls []*call, arrive func(c *call), tick func()) tally {
	for _, c := range calls {
		w.after(c.at, func() {
			w.tally.offered++
			w.after(w.setup.deadlineMS, func() { w.finish(c, &w.tally.late) })
			arrive(c)
		})
	}
	for at := 0.0; at < (w.setup.seconds+1)*1000; at += 10 {
		w.after(at, tick)
		if w.setup.fault != nil && int(at)%100 == 0 {
			w.after(at, func() { w.setup.fault(w, at) })
		}
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	slices.Sort(w.tally.latencies)
	return w.tally
}

func (t tally) quantile(q float64) float64 {
	if len(t.latencies) == 0 {
		return 0
	}
	return t.latencies[min(int(q*float64(len(t.latencies))), len(t.latencies)-1)]
}

func share(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("p50 %6.1f  p99 %6.1f  p99.9 %6.1f ms  answered %5.1f%%  refused %5.2f%%  late %5.2f%%  failed %5.2f%%  retries %6.2f%%  guard %5.1f%%",
		t.quantile(.5), t.quantile(.99), t.quantile(.999), share(t.answered, t.offered), share(t.refused, t.offered),
		share(t.late, t.offered), share(t.failed, t.offered), share(t.retries, t.offered), share(t.guard, t.offered))
}
