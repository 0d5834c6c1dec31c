package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// simulation is a deployment in virtual time: backend servers with slots and
// interference, and requests that were all drawn before any policy ran.
type simulation struct {
	now     float64 // milliseconds
	events  events
	seq     int
	setup   setup
	servers []*simServer
	results results
}

type setup struct {
	name                         string
	domains                      int
	serversPerDomain             int
	entriesPerDomain             int
	slots                        int
	intraDomainMS, interDomainMS float64 // one-way network latency
	meanMS                       float64 // mean service time without interference
	deadlineMS                   float64
	seconds                      float64
	load                         func(second float64) float64 // share of the slots' capacity under interference
	noisy                        bool
	repeatable                   bool
	hedgePercent, retryPercent   int
	fault                        func(sim *simulation, at float64) // called every 100 ms
	entryDown                    func(domain int, at float64) bool
	domainMarks                  func(at float64) (out bool, since float64) // of the last failure domain: marked out, and its start of service
}

// simServer is a backend server with a guard, slots, and interference from batch
// tasks that come and go.
type simServer struct {
	id, domain    int
	busySlots     int
	assignedSlots int       // slots that oraclePolicy has assigned
	interference  []float64 // by second: slowdown factor at full load
	failureMode   string    // "", "refuse", "reset", "hang", "gone"
	answersLost   bool      // answers of requests already running are lost
}

type call struct {
	at, demand, deadline float64
	entry                int
	attempts             int
	finished             bool
}

type results struct {
	offered, answered, refused, late, failed, retries, sent, guardRefusals int
	latencies                                                              []float64
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

func (sim *simulation) after(delay float64, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + delay, sim.seq, run})
}

// interferenceFactors are slowdown factors by the kind of batch task on the
// same VM.
var interferenceFactors = []float64{1, 1.2, 1.6, 2.5, 5, 10}

func newSimulation(s setup, seed uint64) *simulation {
	sim := &simulation{setup: s}
	rng := rand.New(rand.NewPCG(seed, 1))
	for id := range s.domains * s.serversPerDomain {
		b := &simServer{id: id, domain: id / s.serversPerDomain}
		interference, until := 1.0, 0.0
		for second := range int(s.seconds) + 30 {
			if float64(second) >= until && s.noisy {
				interference, until = 1, float64(second)+1+rng.Float64()*8
				if rng.Float64() < 0.5 {
					interference = interferenceFactors[rng.IntN(len(interferenceFactors))]
				}
			}
			b.interference = append(b.interference, interference)
		}
		sim.servers = append(sim.servers, b)
	}
	return sim
}

// slowdown returns the slowdown factor now, which grows with the server's load.
func (sim *simulation) slowdown(b *simServer) float64 {
	interference := b.interference[min(int(sim.now/1000), len(b.interference)-1)]
	return 1 + (interference-1)*(0.5+0.5*float64(b.busySlots)/float64(sim.setup.slots))
}

// capacity returns the requests per ms that all slots can serve in a second of
// the run.
func (sim *simulation) capacity(second int) float64 {
	total := 0.0
	for _, b := range sim.servers {
		total += float64(sim.setup.slots) / (sim.setup.meanMS * b.interference[second])
	}
	return total
}

// calls draws all requests of a run.
func (sim *simulation) calls(seed uint64) []*call {
	rng := rand.New(rand.NewPCG(seed, 2))
	var all []*call
	entries := sim.setup.domains * sim.setup.entriesPerDomain
	const sigma = 0.3
	for at := 0.0; at < sim.setup.seconds*1000; {
		rate := sim.capacity(int(at/1000)) * sim.setup.load(at/1000)
		at += rng.ExpFloat64() / rate
		demand := sim.setup.meanMS * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		entry := rng.IntN(entries)
		for sim.setup.entryDown != nil && sim.setup.entryDown(entry/sim.setup.entriesPerDomain, at) {
			entry = rng.IntN(entries)
		}
		all = append(all, &call{at: at, demand: demand, entry: entry, deadline: at + sim.setup.deadlineMS})
	}
	return all
}

func (sim *simulation) net(entry int, b *simServer) float64 {
	if entry/sim.setup.entriesPerDomain == b.domain {
		return sim.setup.intraDomainMS
	}
	return sim.setup.interDomainMS
}

// send simulates one attempt; done is called with its result, at most once.
func (sim *simulation) send(c *call, b *simServer, done func(result string)) {
	sim.results.sent++
	net := sim.net(c.entry, b)
	sim.after(net, func() {
		switch {
		case b.failureMode == "hang":
		case b.failureMode == "gone":
			sim.after(net, func() { done("not_sent") })
		case b.failureMode == "refuse":
			sim.results.guardRefusals++
			sim.after(net, func() { done("refused") })
		case b.failureMode == "reset":
			sim.after(net, func() { done("failed") })
		case b.busySlots >= sim.setup.slots:
			sim.results.guardRefusals++
			sim.after(net, func() { done("refused") })
		default:
			b.busySlots++
			sim.after(c.demand*sim.slowdown(b), func() {
				b.busySlots--
				if !b.answersLost {
					sim.after(net, func() { done("answered") })
				}
			})
		}
	})
}

func (sim *simulation) finish(c *call, count *int) {
	if c.finished {
		return
	}
	c.finished = true
	if count == &sim.results.answered {
		sim.results.latencies = append(sim.results.latencies, sim.now-c.at)
	}
	*count++
}

// run sends all requests to a policy.
func (sim *simulation) run(calls []*call, arrive func(c *call), tick func()) results {
	for _, c := range calls {
		sim.after(c.at, func() {
			sim.results.offered++
			sim.after(sim.setup.deadlineMS, func() { sim.finish(c, &sim.results.late) })
			arrive(c)
		})
	}
	for at := 0.0; at < (sim.setup.seconds+1)*1000; at += 10 {
		sim.after(at, tick)
		if sim.setup.fault != nil && int(at)%100 == 0 {
			sim.after(at, func() { sim.setup.fault(sim, at) })
		}
	}
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	slices.Sort(sim.results.latencies)
	return sim.results
}

func (r results) quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

func share(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func (r results) String() string {
	return fmt.Sprintf("p50 %6.1f  p99 %6.1f  p99.9 %6.1f ms  answered %5.1f%%  refused %5.2f%%  late %5.2f%%  failed %5.2f%%  retries %6.2f%%  guard %5.1f%%",
		r.quantile(.5), r.quantile(.99), r.quantile(.999), share(r.answered, r.offered), share(r.refused, r.offered),
		share(r.late, r.offered), share(r.failed, r.offered), share(r.retries, r.offered), share(r.guardRefusals, r.offered))
}
