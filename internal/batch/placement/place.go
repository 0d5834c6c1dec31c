package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

const (
	// Random starts per tree: the least harmful of eight is already in the
	// lowest eighth of the fitting workers on average.
	probes = 8
	// Visits of one search for a worker off the avoided VMs and used racks.
	maxVisits = 512
	// Workers of one search whose harm is asked for besides the candidates.
	maxHarmAsked = 32
	// Harm closer than this, as a fraction, is decided by fit.
	harmStep = 0.01
)

// Need is what a task asks of its worker.
type Need struct {
	Size   amount.Amount
	Pools  []string // in order of preference
	Class  route.Class
	Kind   string   // what it runs; see Index.Harm
	Avoid  []string // VMs to use only when nothing else fits
	Spread string   // group whose members go to different racks while they can; see Join
	// Job and Overdue ask, when a batch task finds no room, that a worker be
	// held for it: other batch tasks stay off it until this one fits.
	Job     string
	Overdue bool
}

// Kind tells a placement from the two refusals.
type Kind string

// The kinds.
const (
	Placed    Kind = ""
	NoRoom    Kind = "no_room"    // may fit later
	NeverFits Kind = "never_fits" // no worker of the pools could take it when empty
)

// Refusal says why a task has no worker.
type Refusal struct {
	Kind   Kind
	Reason string // for operators and callers
}

// Place chooses a worker for a task and commits nothing. The name is empty
// when there is a refusal.
func (x *Index) Place(need Need) (vm string, refusal Refusal) {
	x.calls++
	if need.Size.Negative() {
		return "", Refusal{NeverFits, "the size is negative"}
	}
	chosen := x.find(need)
	if chosen == nil {
		refusal = x.refuse(need)
		if refusal.Kind == NoRoom && need.Overdue && need.Class == route.Batch {
			x.keep(need)
		}
		return "", refusal
	}
	x.Unhold(need.Job)
	return chosen.Name, Refusal{}
}

// find returns a worker with room, or nil.
func (x *Index) find(need Need) *entry {
	used := x.usedRacks(need.Spread)
	if len(used) == 0 && len(need.Avoid) == 0 {
		return cmp.Or(x.search(need, nil, x.harmless(need, anyone)), x.heldRoom(need))
	}
	for _, accept := range preferences(need, used) {
		if chosen := x.search(need, used, x.harmless(need, accept)); chosen != nil {
			return chosen
		}
	}
	return x.heldRoom(need)
}

// harmless narrows a filter to workers below MaxHarm, where that applies.
func (x *Index) harmless(need Need, accept func(*entry) bool) func(*entry) bool {
	if x.MaxHarm <= 0 || need.Class == route.Urgent || need.Overdue {
		return accept
	}
	asked := 0
	return func(e *entry) bool {
		asked++
		return asked <= probes+maxHarmAsked && accept(e) && x.harm(e, need) < x.MaxHarm
	}
}

func anyone(*entry) bool { return true }

// preferences returns the filters of a search, strictest first.
func preferences(need Need, used map[string]int) []func(*entry) bool {
	welcome := func(e *entry) bool { return !slices.Contains(need.Avoid, e.Name) }
	apart := func(e *entry) bool { return used[e.Rack] == 0 && welcome(e) }
	var filters []func(*entry) bool
	if len(used) > 0 {
		filters = append(filters, apart)
	}
	if len(need.Avoid) > 0 {
		filters = append(filters, welcome)
	}
	return append(filters, anyone)
}

// search looks through pools by preference and free accelerators, fewest first.
func (x *Index) search(need Need, used map[string]int, accept func(*entry) bool) *entry {
	view := freeView(need.Class)
	for _, name := range need.Pools {
		pool, known := x.pools[name]
		if !known {
			continue
		}
		trees := pool.forests[view].trees
		for level := int(need.Size.Accelerators); level < len(trees); level++ {
			if chosen := x.choose(trees[level], need, used, accept); chosen != nil {
				return chosen
			}
		}
	}
	return nil
}

// choose returns the best of a bounded number of candidates of one tree.
func (x *Index) choose(tree *node, need Need, used map[string]int, accept func(*entry) bool) *entry {
	var best *entry
	var lead rate
	seen := false
	x.probe(tree, need.Size, func(worker *entry) {
		seen = true
		if !accept(worker) {
			return
		}
		got := x.rate(worker, need, used)
		if best == nil || got.less(lead) {
			best, lead = worker, got
		}
	})
	if best != nil || !seen {
		return best
	}
	return firstAccepted(tree, need, accept)
}

// firstAccepted searches in order when no random candidate was accepted.
func firstAccepted(tree *node, need Need, accept func(*entry) bool) *entry {
	low := tree.rankOf(need.Size.MilliCores)
	var found *entry
	left := maxVisits + len(need.Avoid)
	tree.walk(low, need.Size.MemoryMB, func(hit *node) bool {
		left--
		if accept(hit.worker) {
			found = hit.worker
		}
		return found == nil && left > 0
	})
	return found
}

// rate orders candidates: fewer of the spread group on the rack first, then
// less harm, then the tighter fit.
type rate struct {
	members int
	harm    int
	left    float64 // dominant share of the worker that stays free
}

func (r rate) less(other rate) bool {
	if r.members != other.members {
		return r.members < other.members
	}
	if r.harm != other.harm {
		return r.harm < other.harm
	}
	return r.left < other.left
}

func (x *Index) rate(worker *entry, need Need, used map[string]int) rate {
	free := worker.Size.Sub(worker.Committed).Sub(need.Size)
	return rate{
		members: used[worker.Rack],
		harm:    int(x.harm(worker, need) / harmStep),
		left:    free.DominantShare(worker.Size),
	}
}

func (x *Index) harm(worker *entry, need Need) float64 {
	if x.Harm == nil {
		return worker.Worker.Harm
	}
	return worker.Worker.Harm + x.Harm(worker.Name, need.Kind, need.Size)
}

// refuse tells waiting from never.
func (x *Index) refuse(need Need) Refusal {
	names := strings.Join(need.Pools, ", ")
	seen := false
	for _, name := range need.Pools {
		pool, known := x.pools[name]
		if !known {
			continue
		}
		empty := &pool.forests[emptyView(need.Class)]
		seen = seen || pool.workers > 0 || len(pool.gone) > 0
		if pool.forests[freeView(need.Class)].fits(need.Size) {
			return Refusal{NoRoom, fmt.Sprintf("the workers of %s that have room run services that it would slow too much", names)}
		}
		if empty.fits(need.Size) || pool.fitted(need) {
			return Refusal{NoRoom, fmt.Sprintf("no worker of %s has %s free%s", names, text(need.Size), beside(need.Class))}
		}
	}
	if !seen {
		return Refusal{NoRoom, fmt.Sprintf("no worker of %s is known", names)}
	}
	return Refusal{NeverFits, fmt.Sprintf("no worker of %s could hold %s when empty%s", names, text(need.Size), beside(need.Class))}
}

func beside(class route.Class) string {
	if class == route.Urgent {
		return ""
	}
	return " beside its reserve"
}

// fitted reports whether a worker that is gone could have taken the task.
func (g *group) fitted(need Need) bool {
	return slices.ContainsFunc(g.gone, func(kept capacity) bool {
		if need.Class == route.Urgent {
			return kept.urgent.Fits(need.Size)
		}
		return kept.batch.Fits(need.Size)
	})
}

// text names the dimensions that are asked for.
func text(a amount.Amount) string {
	var parts []string
	if a.MilliCores != 0 {
		parts = append(parts, fmt.Sprintf("%g cores", float64(a.MilliCores)/1000))
	}
	if a.MemoryMB != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", a.MemoryMB))
	}
	if a.Accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", a.Accelerators))
	}
	return strings.Join(parts, ", ")
}
