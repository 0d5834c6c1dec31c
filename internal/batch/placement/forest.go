package placement

import "github.com/oriolepier/oriolepier/internal/base/amount"

// forest is one tree for each count of accelerators.
type forest struct {
	trees []*node
}

// move puts a worker where its offer belongs.
func (f *forest) move(held *entry, view int) {
	offer, takes := held.offers(view)
	place := &held.places[view]
	if !takes || offer.Negative() {
		f.drop(held, view)
		return
	}
	level := int(offer.Accelerators)
	if held.levels[view] == level && place.cores == offer.MilliCores && place.memory == offer.MemoryMB {
		return
	}
	f.drop(held, view)
	place.cores, place.memory = offer.MilliCores, offer.MemoryMB
	f.grow(level)
	f.trees[level] = insert(f.trees[level], place)
	held.levels[view] = level
}

func (f *forest) grow(level int) {
	for len(f.trees) <= level {
		f.trees = append(f.trees, nil)
	}
}

// drop takes a worker out if it is in.
func (f *forest) drop(held *entry, view int) {
	level := held.levels[view]
	if level == absent {
		return
	}
	f.trees[level] = remove(f.trees[level], &held.places[view])
	held.levels[view] = absent
}

// fits reports whether any worker has the amount to offer.
func (f *forest) fits(size amount.Amount) bool {
	for level := int(size.Accelerators); level < len(f.trees); level++ {
		tree := f.trees[level]
		if tree.first(tree.rankOf(size.MilliCores), size.MemoryMB) != nil {
			return true
		}
	}
	return false
}

// sample visits some workers that have the amount to offer, each tree from
// random starts.
func (x *Index) sample(f *forest, size amount.Amount, visit func(*entry)) {
	for level := int(size.Accelerators); level < len(f.trees); level++ {
		x.probe(f.trees[level], size, visit)
	}
}

// probe visits workers of one tree that have the amount to offer, from random
// starts; the same one may come up again. It visits none only if none has.
func (x *Index) probe(tree *node, size amount.Amount, visit func(*entry)) {
	low := tree.rankOf(size.MilliCores)
	width := tree.size() - low
	lowest := tree.first(low, size.MemoryMB)
	if lowest == nil {
		return
	}
	for range probes {
		hit := tree.first(low+x.random.Int32N(width), size.MemoryMB)
		if hit == nil {
			hit = lowest
		}
		visit(hit.worker)
	}
}
