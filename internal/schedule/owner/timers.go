package owner

import (
	"container/heap"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// timer is an action that is due at a time.
type timer struct {
	at       clock.Millis
	sequence int // order of adding; breaks ties within a millisecond
	action   func()
}

// timers is a priority queue of actions, earliest first.
type timers struct {
	heap  timerHeap
	added int
}

// add schedules an action.
func (t *timers) add(at clock.Millis, action func()) {
	t.added++
	heap.Push(&t.heap, timer{at: at, sequence: t.added, action: action})
}

// runDue runs the actions that are due.
func (t *timers) runDue(now clock.Millis) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		due, _ := heap.Pop(&t.heap).(timer)
		due.action()
	}
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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
