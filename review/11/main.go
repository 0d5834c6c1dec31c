// Command 11 plays a cancellation of a submission that the owner has not recorded yet,
// while the store falls silent twice for less than a second.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
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
	cancelAfter   = 100 * time.Millisecond // after the submission was sent
	patience      = 80 * time.Millisecond  // of the caller that leaves
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

// subject is a submission that is cancelled before it has an answer.
type subject struct {
	id        job.ID
	leaves    bool // its caller closes the connection before it cancels
	submitted int  // status; 0 without an answer
	cancelled int  // the same
}

// play submits and cancels two submissions, with the store silent if trouble is set.
func play(rig *rig3.Rig, try int, trouble bool) int {
	now := time.Now().UnixMilli()
	id := func(kind int) job.ID { return job.ID(fmt.Sprintf("%014x%02x", now, try<<4|kind)) }
	others := []job.ID{id(1), id(2)}
	subjects := []*subject{{id: id(3)}, {id: id(4), leaves: true}}
	rig.Logf("try %d begins; the submissions to be cancelled are %s and %s", try+1, subjects[0].id, subjects[1].id)
	calls := new(errgroup.Group)
	openAgain := time.Now()
	if trouble {
		at, ok := silenceTwice(rig, calls, others)
		if !ok {
			rig.Gate.Open()
			return notRun
		}
		time.Sleep(time.Until(at.Add(submitAfter)))
		openAgain = at.Add(secondSilence)
	}
	for _, x := range subjects {
		x.submitAndCancel(rig, calls)
	}
	time.Sleep(time.Until(openAgain))
	if trouble {
		rig.Logf("store     answers again")
	}
	rig.Gate.Open()
	_ = calls.Wait() // the calls return no error
	acknowledged := time.Now()
	if trouble {
		for _, other := range others {
			rig.Delete(4, other)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(rig3.Contact + rig3.Cancel + rig3.Stop + calmMargin)))
	result := held
	for _, x := range subjects {
		result = max(result, x.judge(rig, acknowledged))
	}
	return result
}

// silenceTwice makes the store silent, lets it answer until the next append arrives, and
// makes it silent again. It returns when that append arrived.
func silenceTwice(rig *rig3.Rig, calls *errgroup.Group, others []job.ID) (at time.Time, ok bool) {
	submit := func(entry int, id job.ID) { calls.Go(func() error { rig.Submit(entry, id, lasting()); return nil }) }
	arrivals := make(chan time.Time, 1)
	rig.Gate.OnAppend(func(int64, int64) { noteTime(arrivals) })
	rig.Gate.Shut()
	rig.Logf("store     falls silent")
	submit(0, others[0])
	if at, ok = await(arrivals); !ok {
		return at, false
	}
	time.Sleep(firstSilence / 2)
	submit(1, others[1])
	time.Sleep(time.Until(at.Add(firstSilence)))
	next := make(chan time.Time, 1)
	rig.Gate.OnAppend(func(int64, int64) {
		rig.Gate.Shut()
		noteTime(next)
	})
	rig.Logf("store     answers again")
	rig.Gate.Open()
	if at, ok = await(next); !ok {
		return at, false
	}
	rig.Logf("store     falls silent")
	rig.Gate.OnAppend(nil)
	return at, true
}

// noteTime sends the time unless an earlier one was not received.
func noteTime(to chan<- time.Time) {
	select {
	case to <- time.Now():
	default:
	}
}

// submitAndCancel submits the submission at one entry and cancels it at another.
func (x *subject) submitAndCancel(rig *rig3.Rig, calls *errgroup.Group) {
	calls.Go(func() error {
		if x.leaves {
			x.submitted = rig.SubmitAndLeave(2, x.id, lasting(), patience)
		} else {
			x.submitted = rig.Submit(2, x.id, lasting())
		}
		return nil
	})
	calls.Go(func() error {
		time.Sleep(cancelAfter)
		x.cancelled = rig.Delete(3, x.id)
		return nil
	})
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
func (x *subject) judge(rig *rig3.Rig, acknowledged time.Time) int {
	if x.cancelled != http.StatusOK {
		rig.Logf("the cancellation of %s was not acknowledged by 2xx (%d); the submission was answered by %d", x.id, x.cancelled, x.submitted)
		return held
	}
	left := 0
	for _, w := range rig.Workers() {
		for task, number := range w.Tasks() {
			if task.Job == x.id {
				left++
				rig.Logf("run       %s run %d is on %s", platform.FormatTask(task), number, w.ID())
			}
		}
	}
	_, state := rig.State(4, x.id)
	if left > 0 {
		rig.Logf("BROKEN: %d tasks of %s run %.1f s after its cancellation was acknowledged by 200; its state is shown as %q",
			left, x.id, time.Since(acknowledged).Seconds(), state)
		return broken
	}
	rig.Logf("no task of %s runs; its state is shown as %q", x.id, state)
	return held
}
