package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Sizes of a deployment.
const (
	domainCount         = 3
	always              = 100 // percent
	partitionPercent    = 35
	leavingPercent      = 50
	maxViews            = 6   // up to this number of entries, each has proxies of its own to the workers
	workerProcesses     = 12  // at most
	workersPerProcess   = 4   // at least
	directWorkerCores   = 2   // processor share with which an owner calls all workers itself
	linkedWorkerPerCore = 600 // above what an owner calls itself, also with twice the share
)

// Kinds of changes of the owner that a soak can be aimed at.
const (
	aimNone      = "seed"
	aimPartition = "partition" // the owner is cut off with workers, and its successor loses the cell soon
	aimDelay     = "delay"     // the successor waits between claim and first append, while the owner runs on
	aimSleep     = "sleep"     // the owner sleeps with answers of the store under way, and goes on with workers that only it reaches
	aimOneWay    = "oneway"    // workers hear the owner and are not heard, then nobody reaches them and the owner is killed
)

// plan is what is drawn for a seed before it is run.
type plan struct {
	seed    uint64
	entries int
	workers int
	length  clock.Millis // of the faults
	links   bool
	cores   float64 // processor share in the settings of an entry
	strong  int     // every entry whose number is a multiple has twice that share; 0: none
	slow    int     // percent of workers with a slow clock
	aimed   int     // percent of changes of the owner that are aimed at cut workers
	apart   int     // percent of changes of the owner that are partitions
	leaving int     // percent of successors that lose the cell soon
	delayed int     // percent of changes of the owner after which the cell's records are slow for the new owner
	lanes   [laneCount]bool
	aim     string
}

// newPlan draws the plan of a seed.
func newPlan(options option.Soak, seed uint64) plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := plan{
		seed: seed, entries: options.Entries, workers: options.Workers, length: clock.FromDuration(options.For),
		links: seed%2 == 0, cores: directWorkerCores, slow: 20 * rng.IntN(3), aimed: 40 + rng.IntN(61),
	}
	if options.Links != "seed" {
		p.links = options.Links == "on"
	}
	if p.links {
		p.cores = min(float64(p.workers)/linkedWorkerPerCore, 1)
	}
	if rng.IntN(2) == 0 {
		p.apart = partitionPercent
	}
	if rng.IntN(2) == 0 {
		p.leaving = leavingPercent
	}
	if rng.IntN(2) == 0 {
		p.strong = 2 + rng.IntN(3)
	}
	if rng.IntN(2) == 0 {
		p.delayed = 60
	}
	p.lanes[ownerLane] = true
	for lane := range p.lanes {
		p.lanes[lane] = p.lanes[lane] || rng.IntN(3) > 0
	}
	return p.withAim(options.Aim)
}

// withAim returns the plan with all faults aimed at one kind of change of the owner.
func (p plan) withAim(aim string) plan {
	if aim == aimNone {
		return p
	}
	p.aim = aim
	p.apart, p.leaving, p.delayed = 0, 0, 0
	p.lanes = [laneCount]bool{ownerLane: true}
	if aim == aimPartition {
		p.apart, p.leaving = always, always
	} else {
		p.strong = 0 // hand-overs would come between
	}
	return p
}

// coresOf returns the processor share of an entry.
func (p plan) coresOf(entry int) float64 {
	if p.strong != 0 && entry%p.strong == 0 {
		return 2 * p.cores
	}
	return p.cores
}

// view returns the number of the view of an entry. Workers have an address, and a
// proxy, for each view.
func (p plan) view(entry int) int { return entry % p.views() }

func (p plan) views() int {
	if p.entries <= maxViews {
		return p.entries
	}
	return domainCount
}

func domain(number int) string { return string(rune('a' + number%domainCount)) }

func (p plan) domains() []string {
	domains := make([]string, domainCount)
	for i := range domains {
		domains[i] = domain(i)
	}
	return domains
}

// workerGroups divides the workers among processes. Workers of a group are in one
// failure domain.
func (p plan) workerGroups(rng *rand.Rand) [][]workerSetting {
	groups := make([][]workerSetting, min(workerProcesses, (p.workers+workersPerProcess-1)/workersPerProcess))
	for i := range p.workers {
		group := i % len(groups)
		groups[group] = append(groups[group], workerSetting{
			ID: fmt.Sprintf("w%03d", i), Domain: domain(group), SlowClock: rng.IntN(100) < p.slow,
		})
	}
	return groups
}

// laneNames lists the lanes of faults that are played.
func (p plan) laneNames() string {
	var names []string
	for number, name := range [laneCount]string{"owner", "cut", "store", "process"} {
		if p.lanes[number] {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// newRand returns random numbers of a stream of the plan's seed.
func (p plan) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.seed, stream)) }
