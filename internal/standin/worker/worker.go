// Package worker is a stand-in of one worker as the platform describes it: it
// checks fencing tokens, incarnations, leases and room, runs tasks for drawn
// lengths, and lists ends until they are acknowledged.
//
// It is a state machine that is told the time, so that tests play it in virtual
// time; [Serve] runs it by the real clock.
//
// # Usage
//
//	standin := worker.New(entry, now)
//	standin.Draw = func(task job.Task) worker.Work { return worker.Work{Length: 800} }
//	answer := standin.Start(order, now)
//	report := standin.Hold(hold, now)
package worker

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Times of a worker.
const (
	MaxLease clock.Millis = 6000 // longer leases are shortened to it
	stopTime clock.Millis = 300  // that a stop takes
)

// slowPart: a slow clock loses one part in so many.
const slowPart = 50

// epoch is the Unix time, in milliseconds, of world time 0.
const epoch = 1_700_000_000_000

// Work is what a run is.
type Work struct {
	Length clock.Millis // 0: until it is stopped
	Fails  bool
	Room   fleet.Room
	Usage  int64 // to be reported: milli-CPU, or the tail latency in ms
}

// Worker is one worker. It is not safe for concurrent use.
type Worker struct {
	Entry   fleet.Entry
	Slow    bool                                  // its clock runs 2 % slow
	Guarded bool                                  // it refuses what does not fit
	Draw    func(task job.Task) Work              // what a run of a task is
	OnEnd   func(task job.Task, c fleet.EndCause) // told of each end
	OnNoted func(task job.Task)                   // told when a good end was acknowledged, with no lapse between

	still  clock.Millis // since when all that it runs stands still; 0: it does not
	origin clock.Millis // when its clock read zero
	token  int64
	until  int64 // end of the lease, on its clock
	runs   map[job.Task]*run
	closed map[job.Task]int // highest run that was stopped or has ended
	ended  []fleet.End
	count  int64 // ends so far
	stale  int64 // ends up to this number were followed by a lapse
	acked  int64 // ends up to this number are forgotten, also those to come
}

// run is one run of a task.
type run struct {
	number int
	begun  clock.Millis
	stops  clock.Millis // when a stop is complete; 0: none
	work   Work
}

// New returns a worker that starts now.
func New(entry fleet.Entry, now clock.Millis) *Worker {
	w := &Worker{
		Entry: entry, Guarded: true,
		Draw:    func(job.Task) Work { return Work{Length: clock.Second} },
		OnEnd:   func(job.Task, fleet.EndCause) {},
		OnNoted: func(job.Task) {},
	}
	w.Boot(now)
	return w
}

// Boot starts a new incarnation under the same id, which knows nothing.
func (w *Worker) Boot(now clock.Millis) {
	w.Entry.Born = epoch + int64(now)
	w.origin = now
	w.token, w.until, w.count, w.stale, w.acked = 0, 0, 0, 0, 0
	w.still = 0
	w.runs = map[job.Task]*run{}
	w.closed = map[job.Task]int{}
	w.ended = nil
}

// StandStill lets nothing that runs get on any more. Calls are still answered.
func (w *Worker) StandStill(now clock.Millis) {
	w.Pass(now)
	w.still = now
}

// GoOn ends StandStill.
func (w *Worker) GoOn(now clock.Millis) {
	if w.still == 0 {
		return
	}
	for _, r := range w.runs {
		r.begun += now - max(w.still, r.begun)
	}
	w.still = 0
}

// worked is how long a run has got on.
func (w *Worker) worked(r *run, now clock.Millis) clock.Millis {
	if w.still != 0 {
		now = w.still
	}
	return max(now-r.begun, 0)
}

// Clock returns what its clock reads.
func (w *Worker) Clock(now clock.Millis) int64 {
	passed := int64(now - w.origin)
	if w.Slow {
		passed -= passed / slowPart
	}
	return passed
}

// Tasks lists what runs, in an order that repeats.
func (w *Worker) Tasks() []job.Task {
	tasks := make([]job.Task, 0, len(w.runs))
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b job.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return tasks
}

// Running returns the number of the run of a task, or 0.
func (w *Worker) Running(task job.Task) int {
	if r := w.runs[task]; r != nil {
		return r.number
	}
	return 0
}

// Used is the room in use.
func (w *Worker) Used() fleet.Room {
	var used fleet.Room
	for _, r := range w.runs {
		used.MilliCPU += r.work.Room.MilliCPU
		used.MemoryMB += r.work.Room.MemoryMB
	}
	return used
}

// Pass lets time pass: leases lapse, runs end, stops complete.
func (w *Worker) Pass(now clock.Millis) {
	lapsed := w.Clock(now) > w.until
	if lapsed {
		w.stale = w.count
	}
	for _, task := range w.Tasks() {
		r := w.runs[task]
		over := r.work.Length > 0 && w.worked(r, now) >= r.work.Length
		switch {
		case lapsed:
			w.end(task, fleet.EndLapsed)
		case r.stops != 0 && now >= r.stops:
			w.end(task, fleet.EndStopped)
		case r.stops == 0 && over && r.work.Fails:
			w.end(task, fleet.EndFailed)
		case r.stops == 0 && over:
			w.end(task, fleet.EndDone)
		}
	}
}

func (w *Worker) end(task job.Task, cause fleet.EndCause) {
	r := w.runs[task]
	delete(w.runs, task)
	w.count++
	w.closed[task] = max(w.closed[task], r.number)
	w.ended = append(w.ended, fleet.End{Number: w.count, Task: task, Run: r.number, Cause: cause})
	w.OnEnd(task, cause)
}

// grant extends the lease; it never shortens.
func (w *Worker) grant(until int64, now clock.Millis) {
	w.until = max(w.until, min(until, w.Clock(now)+int64(MaxLease)))
}

// fenced reports whether a newer owner is known, and remembers the token.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// Start takes a start order.
func (w *Worker) Start(order fleet.Start, now clock.Millis) fleet.Answer {
	w.Pass(now)
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	r := w.runs[order.Task]
	switch {
	case w.fenced(order.Token):
		answer.Outcome = fleet.Fenced
	case order.UntilMS <= w.Clock(now):
		answer.Outcome = fleet.Late
	case r != nil && r.number == order.Run:
		w.grant(order.UntilMS, now)
	case order.Run <= w.closed[order.Task] || r != nil && order.Run < r.number:
		w.grant(order.UntilMS, now)
		answer.Outcome = fleet.Old
	default:
		answer.Outcome = w.begin(order, now)
	}
	return answer
}

// begin starts a run if there is room.
func (w *Worker) begin(order fleet.Start, now clock.Millis) fleet.Outcome {
	work := w.Draw(order.Task)
	used := w.Used()
	fits := used.MilliCPU+work.Room.MilliCPU <= w.Entry.Room.MilliCPU && used.MemoryMB+work.Room.MemoryMB <= w.Entry.Room.MemoryMB
	w.grant(order.UntilMS, now)
	if w.Guarded && !fits {
		return fleet.NoRoom
	}
	w.runs[order.Task] = &run{number: order.Run, begun: now, work: work}
	return fleet.Accepted
}

// Stop takes a stop order. A run that is not there can begin no more.
func (w *Worker) Stop(order fleet.Stop, now clock.Millis) fleet.Answer {
	w.Pass(now)
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	if w.fenced(order.Token) {
		answer.Outcome = fleet.Fenced
		return answer
	}
	if r := w.runs[order.Task]; r != nil && r.number <= order.Run {
		if r.stops == 0 {
			r.stops = now + stopTime
		}
		return answer
	}
	w.closed[order.Task] = max(w.closed[order.Task], order.Run)
	return answer
}

// Pace takes an order for a run's speed, which this stand-in does not model.
func (w *Worker) Pace(order fleet.Pace, now clock.Millis) fleet.Answer {
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	if w.fenced(order.Token) {
		answer.Outcome = fleet.Fenced
	}
	return answer
}

// Hold renews the lease, forgets acknowledged ends and reports.
func (w *Worker) Hold(order fleet.Hold, now clock.Millis) fleet.Report {
	w.Pass(now)
	report := fleet.Report{ClockMS: w.Clock(now), Born: w.Entry.Born}
	if w.fenced(order.Token) {
		report.Outcome = fleet.Fenced
		return report
	}
	if order.UntilMS > 0 {
		w.grant(order.UntilMS, now)
	}
	w.forget(order.Acked)
	for _, task := range w.Tasks() {
		r := w.runs[task]
		percent := 100 * w.worked(r, now) / max(r.work.Length, 1)
		report.Running = append(report.Running, fleet.Run{
			Task: task, Run: r.number, Percent: int(min(percent, 99)), Usage: r.work.Usage,
		})
	}
	report.Ended = slices.Clone(w.ended)
	return report
}

func (w *Worker) forget(acked int64) {
	w.acked = max(w.acked, acked)
	for _, end := range w.ended {
		if end.Number <= w.acked && end.Number > w.stale && end.Cause == fleet.EndDone {
			w.OnNoted(end.Task)
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(end fleet.End) bool { return end.Number <= w.acked })
}
