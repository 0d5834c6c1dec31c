// Command 11 shows what becomes of a start order that its worker carries out late, after the
// task is done and the worker has crashed and started again under its id, if the order that
// is to stop it in the new life gets no answer either.
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

// The deployment: one of eight workers has the label that the job requires.
const (
	workers   = 8
	cores     = 16
	runLength = clock.Second
	label     = "kind-b"
	jobID     = job.ID("00000000000000c1")
)

// Times of the case, from the submission. Late orders are carried out 2 to 12 s late.
const (
	settle      = 4 * time.Second
	startLateBy = 9500 * time.Millisecond
	stopLateBy  = 10 * time.Second
	crashAt     = 2500 * time.Millisecond
	restartAt   = 3500 * time.Millisecond
	watch       = 18 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	s, err := stage.New(ctx, stage.Options{Entries: []string{"a", "b", "c"}, Workers: workerOptions(), Program: os.Args[1], Record: os.Args[2]})
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer s.Close()
	time.Sleep(settle)
	target := s.Workers[0]
	if trouble {
		target.CarryOutLate(stage.StartOrder, jobID, startLateBy)
		target.CarryOutLate(stage.StopOrder, jobID, stopLateBy)
	}
	begun := time.Now()
	spec := job.Spec{ID: jobID, Text: "x", Steps: []job.Step{{Count: 1, MilliCPU: 1000, MemoryMB: 100, EstimateMS: int64(runLength), Label: label}}}
	if status := s.Submit(ctx, s.Entries[0], spec); status != http.StatusOK {
		fmt.Println("cannot run: the submission was answered with", status)
		return 2
	}
	time.Sleep(time.Until(begun.Add(crashAt)))
	s.Call(ctx, s.Entries[0], http.MethodGet, string(jobID), nil)
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
	time.Sleep(time.Until(begun.Add(watch)))
	s.Call(ctx, s.Entries[0], http.MethodGet, string(jobID), nil)
	return judge(s)
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

// judge looks for a start after an end as done that was acknowledged.
func judge(s *stage.Stage) int {
	doneAt := clock.Millis(0)
	for _, end := range s.Ends() {
		if end.Task.Job == jobID && end.Acked && doneAt == 0 {
			doneAt = end.At
		}
	}
	if doneAt == 0 {
		fmt.Println("cannot run: no end was acknowledged")
		return 2
	}
	again := 0
	for _, start := range s.Starts() {
		if start.Task.Job == jobID && start.At > doneAt {
			again++
			s.Record.Add("case", "rule_broken", "worker", start.Worker, "run", start.Run, "after_done_ms", start.At-doneAt)
		}
	}
	fmt.Printf("%d starts after the task was done and acknowledged\n", again)
	if again > 0 {
		return 1
	}
	return 0
}
