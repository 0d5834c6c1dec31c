package owner

import (
	"container/heap"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// timer is something to do at a time.
type timer struct {
	at     clock.Millis
	number int // keeps the order of timers of one millisecond
	act    func()
}

// timers is a queue of things to do, earliest first.
type timers struct {
	heap  timerHeap
	count int
}

// add plans an action.
func (t *timers) add(at clock.Millis, act func()) {
	t.count++
	heap.Push(&t.heap, timer{at: at, number: t.count, act: act})
}

// run does what is due.
func (t *timers) run(now clock.Millis) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		due, _ := heap.Pop(&t.heap).(timer)
		due.act()
	}
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(value any) {
	planned, _ := value.(timer)
	*h = append(*h, planned)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	planned := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return planned
}
