package demo

import (
	"fmt"
	"sync"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// runChecker records the starts and ends of runs on all workers, and checks that a
// task runs on one worker at a time and not again after it is done.
type runChecker struct {
	mu         sync.Mutex
	running    map[job.Task]string // worker by task
	doneCounts map[job.Task]int    // successful ends by task
	violations []string
}

func newRunChecker() *runChecker {
	return &runChecker{running: map[job.Task]string{}, doneCounts: map[job.Task]int{}}
}

// recordStart records that a run of a task starts on a worker.
func (c *runChecker) recordStart(task job.Task, workerID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, alreadyRuns := c.running[task]; alreadyRuns {
		c.violations = append(c.violations, fmt.Sprintf("task %v runs on %s and %s", task, other, workerID))
	}
	if c.doneCounts[task] > 0 {
		c.violations = append(c.violations, fmt.Sprintf("task %v started on %s after it was done", task, workerID))
	}
	c.running[task] = workerID
}

// recordEnd records the end of a run.
func (c *runChecker) recordEnd(task job.Task, cause fleet.EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
	if cause == fleet.EndDone {
		c.doneCounts[task]++
	}
}

// results returns the number of successful runs, and the violated guarantees.
func (c *runChecker) results(accepted []job.ID, completed int) (doneRuns int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations = append([]string{}, c.violations...)
	for _, count := range c.doneCounts {
		doneRuns += count
	}
	if completed < len(accepted) {
		violations = append(violations, fmt.Sprintf("%d of %d accepted jobs were not completed in time", len(accepted)-completed, len(accepted)))
	}
	return doneRuns, violations
}
