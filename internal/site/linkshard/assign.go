package linkshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Capacities by which links are chosen.
const (
	workersPerCore       = 160 // one worker's calls take 1.5 ms of a core per second; most of a link's cores are needed for its callers
	directWorkersPerCore = 250 // up to this number of workers per core, the owner makes all calls itself
	overprovisionFactor  = 1.5 // links are chosen for this multiple of the workers, so that some may fail
)

// Entry is an entry that can serve as a link.
type Entry struct {
	Address string // listen address for peers
	Domain  string // failure domain
	Cores   float64
}

// capacity returns how many workers the entry can serve as a link without slowing
// its callers.
func (e Entry) capacity() int { return max(int(e.Cores*workersPerCore), 1) }

// Worker is a worker that needs a link.
type Worker struct {
	ID     string
	Domain string
}

// callsDirectly reports whether an owner with the given cores calls its workers
// without links. Unknown cores (0) count as sufficient.
func callsDirectly(workers int, cores float64) bool {
	return cores <= 0 || float64(workers) <= cores*directWorkersPerCore
}

// ChooseLinks returns the entries that should be links: in each failure domain, the
// entries with the most cores until their capacity covers overprovisionFactor times
// the domain's workers; then the strongest of all other entries until the total
// capacity covers the workers of domains with too few entries.
func ChooseLinks(entries []Entry, workers []Worker) []Entry {
	ranked := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Address, b.Address))
	})
	missing := map[string]float64{}
	totalMissing := overprovisionFactor * float64(len(workers))
	for _, w := range workers {
		missing[w.Domain] += overprovisionFactor
	}
	var chosen, remaining []Entry
	for _, e := range ranked {
		if missing[e.Domain] <= 0 {
			remaining = append(remaining, e)
			continue
		}
		missing[e.Domain] -= float64(e.capacity())
		totalMissing -= float64(e.capacity())
		chosen = append(chosen, e)
	}
	for _, e := range remaining {
		if totalMissing <= 0 {
			break
		}
		totalMissing -= float64(e.capacity())
		chosen = append(chosen, e)
	}
	return chosen
}

// AssignLinks returns the address of each worker's link, by weighted rendezvous
// hashing. Links of the worker's failure domain come first; no link is assigned
// more workers than its capacity while another has capacity left. When a link is
// lost, only its own workers are reassigned, and workers that a link at capacity
// could not take before.
func AssignLinks(workers []Worker, links []Entry) map[string]string {
	if len(links) == 0 {
		return nil
	}
	byDomain := lo.GroupBy(links, func(link Entry) string { return link.Domain })
	load := make(map[string]int, len(links))
	assigned := make(map[string]string, len(workers))
	for _, w := range workers {
		link, ok := bestLink(w, byDomain[w.Domain], load, hasCapacity)
		if !ok {
			link, ok = bestLink(w, links, load, hasCapacity)
		}
		if !ok {
			link, _ = bestLink(w, links, load, ignoreLoad)
		}
		load[link.Address]++
		assigned[w.ID] = link.Address
	}
	return assigned
}

func hasCapacity(link Entry, load int) bool { return load < link.capacity() }

func ignoreLoad(Entry, int) bool { return true }

// bestLink returns the link with the highest weighted hash among those that admit
// one more worker, or false if none does.
func bestLink(w Worker, links []Entry, load map[string]int, admits func(link Entry, load int) bool) (Entry, bool) {
	var best Entry
	highest := math.Inf(-1)
	for _, link := range links {
		if !admits(link, load[link.Address]) {
			continue
		}
		if weight := rendezvousWeight(w.ID, link); weight > highest {
			best, highest = link, weight
		}
	}
	return best, !math.IsInf(highest, -1)
}

// rendezvousWeight returns a link's weight for a worker. The share of workers for
// which a link has the highest weight is proportional to its cores.
func rendezvousWeight(worker string, link Entry) float64 {
	const steps = 1 << 53 // exactly representable in a float64
	hash := xxhash.Sum64String(worker + "\x00" + link.Address)
	uniform := (float64(hash%steps) + 0.5) / steps
	return -max(link.Cores, math.SmallestNonzeroFloat32) / math.Log(uniform)
}
