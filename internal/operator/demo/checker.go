package demo

import (
	"fmt"
	"sync"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// witness sees what workers do and says which promises were broken.
type witness struct {
	mu      sync.Mutex
	running map[job.Task]string // worker by task
	done    map[job.Task]int    // good ends by task
	broken  []string
}

func newWitness() *witness {
	return &witness{running: map[job.Task]string{}, done: map[job.Task]int{}}
}

// began notes that a run begins on a worker.
func (w *witness) began(task job.Task, on string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if other, twice := w.running[task]; twice {
		w.broken = append(w.broken, fmt.Sprintf("task %v runs on %s and %s", task, other, on))
	}
	if w.done[task] > 0 {
		w.broken = append(w.broken, fmt.Sprintf("task %v began on %s after it was done", task, on))
	}
	w.running[task] = on
}

// ended notes the end of a run.
func (w *witness) ended(task job.Task, cause fleet.EndCause) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, task)
	if cause == fleet.EndDone {
		w.done[task]++
	}
}

// verdict counts good runs, and lists what was broken.
func (w *witness) verdict(accepted []job.ID, completed int) (doneRuns int, broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	broken = append([]string{}, w.broken...)
	for _, runs := range w.done {
		doneRuns += runs
	}
	if completed < len(accepted) {
		broken = append(broken, fmt.Sprintf("%d of %d accepted jobs were not completed in time", len(accepted)-completed, len(accepted)))
	}
	return doneRuns, broken
}
