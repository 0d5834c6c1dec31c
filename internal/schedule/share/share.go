// Package share decides between customers when workers are full: whose work comes
// next, and how many submissions of each are served in the ordinary order.
//
// [Lanes] holds the waiting work of each customer in the customer's own order, and
// chooses the customer with the smallest dominant share in proportion to its
// weight: weighted fair queueing over the resource of which a customer uses most
// (dominant resource fairness). A [Bucket] counts submissions against a rate.
//
// # Usage
//
//	lanes := share.New[job](total)
//	lanes.Add(account, account.Weight(), work)
//	for !lanes.Empty() {
//		next, until := lanes.Next() // serve next until its share exceeds until
//		lanes.Done()                // or lanes.Keep(rest) if work is left
//	}
package share

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Quantum is the share of all workers by which a customer may get ahead of the next
// one before its turn ends. A smaller one divides free workers more exactly, at the
// cost of more turns in a placement pass: at most about 1/Quantum more for each
// resource.
const Quantum = 0.02

// DefaultWeight is that of a customer without one.
const DefaultWeight = 1.0

// Dominant returns the largest share of a resource of all workers that is used.
func Dominant(used, total fleet.Room) float64 {
	return max(ratio(used.MilliCPU, total.MilliCPU), ratio(used.MemoryMB, total.MemoryMB), ratio(used.GPUs, total.GPUs))
}

func ratio(used, total int64) float64 { return float64(used) / float64(max(total, 1)) }

// WeightOf returns a weight that can be divided by.
func WeightOf(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return DefaultWeight
}

// Customer is a customer's usage, which changes while it is served.
type Customer interface {
	comparable
	Used() fleet.Room
}

// Lanes is the waiting work of customers, each with its own sequence.
type Lanes[C Customer, T any] struct {
	total   fleet.Room
	lanes   []*lane[C, T]
	current *lane[C, T] // that Next has returned the first work of
}

// lane is the waiting work of one customer.
type lane[C Customer, T any] struct {
	customer C
	weight   float64
	work     []T
	weighted float64 // dominant share divided by weight
}

// New returns lanes without work, for workers with a total capacity.
func New[C Customer, T any](total fleet.Room) *Lanes[C, T] { return &Lanes[C, T]{total: total} }

// Add appends work to a customer's lane. Customers that are equally far from their
// share are served in the sequence of their first work.
func (l *Lanes[C, T]) Add(customer C, weight float64, work T) {
	for _, known := range l.lanes {
		if known.customer == customer {
			known.work = append(known.work, work)
			return
		}
	}
	added := &lane[C, T]{customer: customer, weight: WeightOf(weight), work: []T{work}}
	added.weigh(l.total)
	l.lanes = append(l.lanes, added)
}

func (l *lane[C, T]) weigh(total fleet.Room) {
	l.weighted = Dominant(l.customer.Used(), total) / l.weight
}

// Empty reports whether no work is left.
func (l *Lanes[C, T]) Empty() bool { return len(l.lanes) == 0 }

// Next returns the first work of the customer that is furthest below its share, and
// the dominant share at which the turn of that customer ends.
func (l *Lanes[C, T]) Next() (work T, until float64) {
	l.current = l.lanes[0]
	second := math.Inf(1)
	for _, other := range l.lanes[1:] {
		if other.weighted < l.current.weighted {
			second, l.current = l.current.weighted, other
		} else {
			second = min(second, other.weighted)
		}
	}
	return l.current.work[0], second*l.current.weight + Quantum
}

// Done removes the work that Next returned.
func (l *Lanes[C, T]) Done() {
	l.current.work = l.current.work[1:]
	l.current.weigh(l.total)
	if len(l.current.work) > 0 {
		return
	}
	for i := range l.lanes {
		if l.lanes[i] == l.current {
			l.lanes = append(l.lanes[:i], l.lanes[i+1:]...)
			return
		}
	}
}

// Keep replaces the work that Next returned by the rest of it.
func (l *Lanes[C, T]) Keep(rest T) {
	l.current.work[0] = rest
	l.current.weigh(l.total)
}
