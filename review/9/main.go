// Command 9 shows when a long-running task starts again whose worker is lost for good, some
// seconds after this worker crashed and started again under its id.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/review/stage"
)

// The deployment, and the long-running job of one task.
const (
	workers   = 8
	cores     = 16
	runLength = clock.Second
	jobID     = job.ID("00000000000000d1")
)

// Times of the case, from the crash.
const (
	settle    = 4 * time.Second
	restartAt = time.Second
	submitAt  = 3 * time.Second
	loseAt    = 5 * time.Second
	watch     = 32 * time.Second
)

// bound is the time from the loss of a worker to the end of the span in which the rule
// requires a run: contact_ms until all is in touch, and 4 s and 3 s of calm.
const bound = stage.Contact + 7*clock.Second

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	s, err := stage.New(ctx, stage.Options{
		Entries: []string{"a", "b", "c"}, Workers: workerOptions(), Program: os.Args[1], Record: os.Args[2],
		Lasting: map[job.ID]bool{jobID: true},
	})
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer s.Close()
	time.Sleep(settle)
	target, begun := s.Workers[0], time.Now()
	if trouble {
		target.Crash()
	}
	time.Sleep(time.Until(begun.Add(restartAt)))
	if trouble {
		if err := target.Restart(); err != nil {
			fmt.Println("cannot run:", err)
			return 2
		}
	}
	time.Sleep(time.Until(begun.Add(submitAt)))
	step := job.Step{Count: 1, MilliCPU: 1000, MemoryMB: 100, EstimateMS: int64(runLength), Lasting: true}
	if status := s.Submit(ctx, s.Entries[0], job.Spec{ID: jobID, Text: "x", Steps: []job.Step{step}}); status != http.StatusOK {
		fmt.Println("cannot run: the submission was answered with", status)
		return 2
	}
	time.Sleep(time.Until(begun.Add(loseAt)))
	starts := s.Starts()
	if len(starts) != 1 || starts[0].Worker != target.ID {
		fmt.Println("cannot run: the task is not on the worker that is to be lost")
		return 2
	}
	lostAt := s.Clock.Now()
	if trouble {
		target.Lose()
	}
	time.Sleep(time.Until(begun.Add(watch)))
	s.Call(ctx, s.Entries[0], http.MethodGet, string(jobID), nil)
	if !trouble {
		return judgeCalm(s)
	}
	return judge(s, lostAt)
}

func workerOptions() []stage.WorkerOptions {
	var options []stage.WorkerOptions
	for i := range workers {
		options = append(options, stage.WorkerOptions{ID: fmt.Sprintf("worker-%d", i), Domain: string(rune('a' + i%3)), Cores: cores, Work: runLength})
	}
	return options
}

// judge looks for the first start after the loss.
func judge(s *stage.Stage, lostAt clock.Millis) int {
	for _, start := range s.Starts() {
		if start.At > lostAt {
			fmt.Printf("started again %d ms after the loss of its worker; the bound is %d ms\n", start.At-lostAt, bound)
			if start.At-lostAt > bound {
				s.Record.Add("case", "rule_broken", "after_ms", start.At-lostAt)
				return 1
			}
			return 0
		}
	}
	fmt.Println("not started again")
	return 1
}

// judgeCalm checks that the one run goes on.
func judgeCalm(s *stage.Stage) int {
	if len(s.Starts()) == 1 && len(s.Ends()) == 0 {
		fmt.Println("the run goes on")
		return 0
	}
	fmt.Println("the run has ended")
	return 1
}
