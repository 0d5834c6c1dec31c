// Command 7 shows how long a task of a cancelled job runs on, after the open connections to
// its worker went silent some seconds before the cancellation.
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

// The deployment, and the jobs: a batch whose tasks start together on one worker, and a
// long-running one there.
const (
	workers    = 8
	cores      = 16
	runLength  = clock.Second
	label      = "kind-b"
	batchTasks = 24
	batchJob   = job.ID("00000000000000e1")
	lastingJob = job.ID("00000000000000e2")
)

// Times of the case.
const (
	settle     = 4 * time.Second
	afterBatch = 3 * time.Second
	silentFor  = 4500 * time.Millisecond // from the silence to the cancellation; contact_ms is 3 s
	watch      = 25 * time.Second        // from the cancellation
)

// bound is the time from the answer to a cancellation by which its tasks must be gone.
const bound = stage.Cancel + stage.Stop

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	s, err := stage.New(ctx, stage.Options{
		Entries: []string{"a", "b", "c"}, Workers: workerOptions(), Program: os.Args[1], Record: os.Args[2],
		Lasting: map[job.ID]bool{lastingJob: true},
	})
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer s.Close()
	time.Sleep(settle)
	owner, epoch := s.Owner()
	if owner == nil {
		fmt.Println("cannot run: nobody owns the cell")
		return 2
	}
	s.Record.Add("case", "begins", "owner", owner.Name, "epoch", epoch, "trouble", trouble)
	lasting := job.Step{Count: 1, MilliCPU: 500, MemoryMB: 100, Label: label, Lasting: true}
	batch := job.Step{Count: batchTasks, MilliCPU: 500, MemoryMB: 100, EstimateMS: int64(runLength), Label: label}
	for id, step := range map[job.ID]job.Step{lastingJob: lasting, batchJob: batch} {
		if status := s.Submit(ctx, s.Entries[0], job.Spec{ID: id, Text: "x", Steps: []job.Step{step}}); status != http.StatusOK {
			fmt.Println("cannot run: a submission was answered with", status)
			return 2
		}
	}
	time.Sleep(afterBatch)
	if trouble {
		owner.Silence(s.Workers[0])
	}
	time.Sleep(silentFor)
	status, _ := s.Call(ctx, s.Entries[0], http.MethodDelete, string(lastingJob), nil)
	if status != http.StatusOK {
		fmt.Println("cannot run: the cancellation was answered with", status)
		return 2
	}
	cancelledAt := s.Clock.Now()
	time.Sleep(watch)
	return judge(s, cancelledAt)
}

func workerOptions() []stage.WorkerOptions {
	var options []stage.WorkerOptions
	for i := range workers {
		worker := stage.WorkerOptions{ID: fmt.Sprintf("worker-%d", i), Domain: string(rune('a' + i%3)), Cores: cores, Work: runLength, Labels: []string{"kind-a"}}
		if i == 0 {
			worker.Labels = []string{label}
		}
		options = append(options, worker)
	}
	return options
}

// judge looks for the end of the cancelled job's task.
func judge(s *stage.Stage, cancelledAt clock.Millis) int {
	for _, end := range s.Ends() {
		if end.Task.Job != lastingJob || end.At < cancelledAt {
			continue
		}
		fmt.Printf("the task ended %d ms after the answer to its cancellation; the bound is %d ms\n", end.At-cancelledAt, bound)
		if end.At-cancelledAt > bound {
			s.Record.Add("case", "rule_broken", "after_ms", end.At-cancelledAt)
			return 1
		}
		return 0
	}
	fmt.Println("the task has not ended")
	return 1
}
