// Package share decides between customers when workers are full: whose work comes
// next, and how many submissions of each are served in the ordinary order.
//
// A [FairQueue] holds the waiting work of each customer in the customer's own order, and
// chooses the customer with the smallest dominant share in proportion to its
// weight: weighted fair queueing over the resource of which a customer uses most
// (dominant resource fairness). A [Bucket] counts submissions against a rate.
//
// # Usage
//
//	queue := share.New[*quota.Account, job](total)
//	queue.Add(account, account.Weight(), work)
//	for !queue.Empty() {
//		next, until := queue.Next() // serve next until its share exceeds until
//		queue.Done()                // or queue.Keep(rest) if work is left
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

// FairQueue is the waiting work of customers, each with its own sequence (a flow).
type FairQueue[C Customer, T any] struct {
	total   fleet.Room
	flows   []*flow[C, T]
	current *flow[C, T] // whose first work Next has returned
}

// flow is the waiting work of one customer.
type flow[C Customer, T any] struct {
	customer C
	weight   float64
	work     []T
	weighted float64 // dominant share divided by weight
}

// New returns a queue without work, for workers with a total capacity.
func New[C Customer, T any](total fleet.Room) *FairQueue[C, T] { return &FairQueue[C, T]{total: total} }

// Add appends work to a customer's flow. Customers that are equally far from their
// share are served in the sequence of their first work.
func (q *FairQueue[C, T]) Add(customer C, weight float64, work T) {
	for _, known := range q.flows {
		if known.customer == customer {
			known.work = append(known.work, work)
			return
		}
	}
	added := &flow[C, T]{customer: customer, weight: WeightOf(weight), work: []T{work}}
	added.weigh(q.total)
	q.flows = append(q.flows, added)
}

func (f *flow[C, T]) weigh(total fleet.Room) {
	f.weighted = Dominant(f.customer.Used(), total) / f.weight
}

// Empty reports whether no work is left.
func (q *FairQueue[C, T]) Empty() bool { return len(q.flows) == 0 }

// Next returns the first work of the customer that is furthest below its share, and
// the dominant share at which the turn of that customer ends.
func (q *FairQueue[C, T]) Next() (work T, until float64) {
	q.current = q.flows[0]
	second := math.Inf(1)
	for _, other := range q.flows[1:] {
		if other.weighted < q.current.weighted {
			second, q.current = q.current.weighted, other
		} else {
			second = min(second, other.weighted)
		}
	}
	return q.current.work[0], second*q.current.weight + Quantum
}

// Done removes the work that Next returned.
func (q *FairQueue[C, T]) Done() {
	q.current.work = q.current.work[1:]
	q.current.weigh(q.total)
	if len(q.current.work) > 0 {
		return
	}
	for i := range q.flows {
		if q.flows[i] == q.current {
			q.flows = append(q.flows[:i], q.flows[i+1:]...)
			return
		}
	}
}

// Keep replaces the work that Next returned by the rest of it.
func (q *FairQueue[C, T]) Keep(rest T) {
	q.current.work[0] = rest
	q.current.weigh(q.total)
}
