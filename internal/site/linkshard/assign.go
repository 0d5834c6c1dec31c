package linkshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Sizes by which links are chosen.
const (
	workersPerCore = 160 // a worker's calls take 1.5 ms of a core a second; most of a link's is its callers'
	directPerCore  = 250 // up to so many workers the owner makes all calls itself
	spareFactor    = 1.5 // links are chosen for so many times the workers, so that some may fail
)

// Entry is an entry that could be a link.
type Entry struct {
	Address string // at which it answers peers
	Domain  string // failure domain
	Cores   float64
}

// capacity is how many workers an entry carries without harm to its callers.
func (e Entry) capacity() int { return max(int(e.Cores*workersPerCore), 1) }

// Worker is a worker that needs a link.
type Worker struct {
	ID     string
	Domain string
}

// direct reports whether an owner with so many cores makes the calls to its
// workers itself. Unknown cores, 0, are enough for all.
func direct(workers int, cores float64) bool {
	return cores <= 0 || float64(workers) <= cores*directPerCore
}

// Choose returns the entries that should be links: in each failure domain the
// strongest, until they carry its workers with room to spare; then the strongest
// anywhere for the workers of domains with too few entries.
func Choose(entries []Entry, workers []Worker) []Entry {
	ranked := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Address, b.Address))
	})
	wanted := map[string]float64{}
	total := spareFactor * float64(len(workers))
	for _, w := range workers {
		wanted[w.Domain] += spareFactor
	}
	var chosen, left []Entry
	for _, e := range ranked {
		if wanted[e.Domain] <= 0 {
			left = append(left, e)
			continue
		}
		wanted[e.Domain] -= float64(e.capacity())
		total -= float64(e.capacity())
		chosen = append(chosen, e)
	}
	for _, e := range left {
		if total <= 0 {
			break
		}
		total -= float64(e.capacity())
		chosen = append(chosen, e)
	}
	return chosen
}

// Assign gives each worker the address of its link, by weighted rendezvous
// hashing: links of the worker's failure domain first, none above its capacity
// while another has room. When a link goes, only its own workers move, but for
// those that a full link had turned away.
func Assign(workers []Worker, links []Entry) map[string]string {
	if len(links) == 0 {
		return nil
	}
	byDomain := lo.GroupBy(links, func(link Entry) string { return link.Domain })
	load := make(map[string]int, len(links))
	assigned := make(map[string]string, len(workers))
	for _, w := range workers {
		link, ok := best(w, byDomain[w.Domain], load, fits)
		if !ok {
			link, ok = best(w, links, load, fits)
		}
		if !ok {
			link, _ = best(w, links, load, anyLoad)
		}
		load[link.Address]++
		assigned[w.ID] = link.Address
	}
	return assigned
}

func fits(link Entry, load int) bool { return load < link.capacity() }

func anyLoad(Entry, int) bool { return true }

// best returns the link with the highest weighted hash among those that admit
// one more worker.
func best(w Worker, links []Entry, load map[string]int, admits func(link Entry, load int) bool) (Entry, bool) {
	var found Entry
	highest := math.Inf(-1)
	for _, link := range links {
		if !admits(link, load[link.Address]) {
			continue
		}
		if weight := rendezvous(w.ID, link); weight > highest {
			found, highest = link, weight
		}
	}
	return found, !math.IsInf(highest, -1)
}

// rendezvous is a link's weight for a worker; links win in proportion to their
// cores.
func rendezvous(worker string, link Entry) float64 {
	const steps = 1 << 53 // exact in a float64
	hash := xxhash.Sum64String(worker + "\x00" + link.Address)
	uniform := (float64(hash%steps) + 0.5) / steps
	return -max(link.Cores, math.SmallestNonzeroFloat32) / math.Log(uniform)
}
