// Command 11 plays a cancellation of a submission that the owner has not recorded yet,
// while the store falls silent twice for less than a second.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/review/rig3"
)

// Exit codes of the script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// Times of a try.
const (
	firstSilence  = 750 * time.Millisecond // from the arrival of the append that meets it
	secondSilence = 935 * time.Millisecond // the same
	submitAfter   = 100 * time.Millisecond // after the second silence has begun
	cancelAfter   = 200 * time.Millisecond // the same
	tries         = 8
	between       = 1500 * time.Millisecond
	arrivalLimit  = 3 * time.Second
	calmMargin    = 500 * time.Millisecond
)

const (
	entries = 6
	workers = 12
)

func main() { os.Exit(run()) }

func run() int {
	rig, err := rig3.New(rig3.Options{Entries: entries, Program: os.Getenv("PROGRAM"), Record: os.Getenv("RECORD")})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rig.Close()
	if err := start(rig); err != nil {
		rig.Logf("the case could not run: %v", err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	for try := range tries {
		result := play(rig, try, trouble)
		if result == broken || !trouble {
			return result
		}
		if result == notRun {
			rig.Logf("the case could not run")
			return notRun
		}
		time.Sleep(between)
	}
	rig.Logf("HELD: no cancelled submission ran on")
	return held
}

func start(rig *rig3.Rig) error {
	for i := range workers {
		_, err := rig.AddWorker(rig3.WorkerOptions{
			ID: fmt.Sprintf("i-%02d", i), Domain: rig3.Domains[i%len(rig3.Domains)], Room: fleet.Room{MilliCPU: 64000, MemoryMB: 250000},
			Work: func(job.Task) worker.Work { return worker.Work{Room: fleet.Room{MilliCPU: 1000, MemoryMB: 1000}} },
		})
		if err != nil {
			return err
		}
	}
	if err := rig.Start(); err != nil {
		return err
	}
	time.Sleep(rig3.Contact)
	return nil
}

// lasting is a submission of three tasks that last.
func lasting() job.Spec {
	return job.Spec{Text: "review", Steps: []job.Step{{Count: 3, MilliCPU: 1000, MemoryMB: 1000, Lasting: true}}}
}

// play submits and cancels one submission, with the store silent if trouble is set.
func play(rig *rig3.Rig, try int, trouble bool) int {
	id := func(kind int) job.ID { return job.ID(fmt.Sprintf("%014x%02x", time.Now().UnixMilli(), try<<4|kind)) }
	first, second, subject := id(1), id(2), id(3)
	var calls errgroup.Group
	var mu sync.Mutex
	var submitted, cancelled int
	submit := func(entry int, id job.ID) { calls.Go(func() error { rig.Submit(entry, id, lasting()); return nil }) }
	rig.Logf("try %d begins; the submission to be cancelled is %s", try+1, subject)
	openAgain := time.Now()
	if trouble {
		arrivals := make(chan time.Time, 1)
		rig.Gate.OnAppend(func(int64, int64) {
			select {
			case arrivals <- time.Now():
			default:
			}
		})
		rig.Gate.Shut()
		rig.Logf("store     falls silent")
		submit(0, first)
		at, ok := await(arrivals)
		if !ok {
			rig.Gate.Open()
			return notRun
		}
		time.Sleep(firstSilence / 2)
		submit(1, second)
		time.Sleep(time.Until(at.Add(firstSilence)))
		// The store answers, until the next append arrives.
		next := make(chan time.Time, 1)
		rig.Gate.OnAppend(func(int64, int64) {
			rig.Gate.Shut()
			select {
			case next <- time.Now():
			default:
			}
		})
		rig.Logf("store     answers again")
		rig.Gate.Open()
		if at, ok = await(next); !ok {
			rig.Gate.Open()
			return notRun
		}
		rig.Logf("store     falls silent")
		rig.Gate.OnAppend(nil)
		time.Sleep(time.Until(at.Add(submitAfter)))
		openAgain = at.Add(secondSilence)
	}
	calls.Go(func() error {
		status := rig.Submit(2, subject, lasting())
		mu.Lock()
		defer mu.Unlock()
		submitted = status
		return nil
	})
	time.Sleep(cancelAfter - submitAfter)
	calls.Go(func() error {
		status := rig.Delete(3, subject)
		mu.Lock()
		defer mu.Unlock()
		cancelled = status
		return nil
	})
	time.Sleep(time.Until(openAgain))
	if trouble {
		rig.Logf("store     answers again")
	}
	rig.Gate.Open()
	_ = calls.Wait()
	acknowledged := time.Now()
	for _, other := range []job.ID{first, second} {
		if trouble {
			rig.Delete(4, other)
		}
	}
	if cancelled != http.StatusOK {
		rig.Logf("the cancellation was not acknowledged by 2xx (%d); the submission was answered by %d", cancelled, submitted)
		return held
	}
	return judge(rig, subject, submitted, acknowledged)
}

func await(arrivals <-chan time.Time) (time.Time, bool) {
	select {
	case at := <-arrivals:
		return at, true
	case <-time.After(arrivalLimit):
		return time.Time{}, false
	}
}

// judge looks whether a task of the cancelled submission runs after all bounds: the
// deployment was calm for contact_ms, and after it for cancel_ms and stop_ms.
func judge(rig *rig3.Rig, subject job.ID, submitted int, acknowledged time.Time) int {
	if submitted != http.StatusOK {
		rig.Logf("the cancellation was acknowledged; the submission was answered by %d", submitted)
	}
	time.Sleep(time.Until(acknowledged.Add(rig3.Contact + rig3.Cancel + rig3.Stop + calmMargin)))
	left := 0
	for _, w := range rig.Workers() {
		for task, number := range w.Tasks() {
			if task.Job == subject {
				left++
				rig.Logf("run       task %v run %d is on %s", task, number, w.ID())
			}
		}
	}
	_, state := rig.State(4, subject)
	if left > 0 {
		rig.Logf("BROKEN: %d tasks of %s run %.1f s after its cancellation was acknowledged by 200; its state is shown as %q",
			left, subject, time.Since(acknowledged).Seconds(), state)
		return broken
	}
	rig.Logf("no task of %s runs; its state is shown as %q", subject, state)
	return held
}
