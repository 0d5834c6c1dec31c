// Package worker is a stand-in of one worker of the platform. It checks fencing
// tokens, leases and free capacity, runs tasks for drawn lengths, and reports ends
// until they are acknowledged.
//
// It is a state machine whose methods take the current time, so that tests run it
// in virtual time; [Host] runs it by the real clock.
//
// # Usage
//
//	standin := worker.New(entry, now)
//	standin.DrawWork = func(task job.Task) worker.Work { return worker.Work{Length: 800} }
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
	MaxLease     clock.Millis = 6000 // longest lease; longer ones are shortened to it
	stopDuration clock.Millis = 300  // from a stop order to the end of the run
)

// slowClockDivisor makes a slow clock lose 1/50 of the time that passes.
const slowClockDivisor = 50

// unixOriginMS is the Unix time, in milliseconds, that time 0 of the clock stands
// for.
const unixOriginMS = 1_700_000_000_000

// Work describes a run.
type Work struct {
	Length clock.Millis // duration; 0 runs until it is stopped
	Fails  bool         // the run ends with a failure after Length
	Room   fleet.Room   // capacity that the run uses
	Usage  int64        // usage in reports: milli-CPU, or the tail latency in ms
}

// Worker is one worker. It is not safe for concurrent use.
type Worker struct {
	Entry          fleet.Entry
	SlowClock      bool                                  // the clock runs 2 % slow
	AdmissionCheck bool                                  // starts that exceed the free capacity are refused
	DrawWork       func(task job.Task) Work              // draws the work of a run of the task
	OnEnd          func(task job.Task, c fleet.EndCause) // called at each end of a run
	OnAcknowledged func(task job.Task)                   // called when a successful end is acknowledged, unless the lease lapsed between the end and the acknowledgement
	OnEvent        func(event Event)                     // called for each start, end, acknowledged end and extended lease

	stalledSince  clock.Millis // since when all runs are stalled; 0 if they are not
	bootedAt      clock.Millis // when the present incarnation started
	clockStart    int64        // reading of its clock then
	token         int64
	leaseUntil    int64 // end of the lease, by the clock of the worker
	runs          map[job.Task]*run
	closedRuns    map[job.Task]int // highest number of a run that was stopped or has ended
	unackedEnds   []fleet.End
	endCount      int64 // number of the last end
	lapsedThrough int64 // ends up to this number came before a lapse of the lease
}

// maxEndsPerReport is the number of ends that a report lists at most.
const maxEndsPerReport = 500

// EventKind is what happened on a worker.
type EventKind string

// The kinds of events.
const (
	RunStarted    EventKind = "started"
	RunEnded      EventKind = "ended"
	RunAcked      EventKind = "acknowledged" // a successful end was acknowledged before the lease lapsed
	LeaseExtended EventKind = "lease"
)

// Event is something that happened on a worker. Times are those of the clock that
// the worker is run by, not of its own clock.
type Event struct {
	Kind  EventKind
	At    clock.Millis // of an end, the time at which it took effect
	Task  job.Task
	Run   int
	Cause fleet.EndCause // of an end
	Token int64          // fencing token of the order that caused the event; 0 if none did
	Until clock.Millis   // of a lease: when it lapses
}

// run is one run of a task.
type run struct {
	number    int
	startedAt clock.Millis
	stopsAt   clock.Millis // when the ordered stop is complete; 0 if none was ordered
	work      Work
}

// New returns a worker that has just started.
func New(entry fleet.Entry, now clock.Millis) *Worker {
	w := &Worker{
		Entry: entry, AdmissionCheck: true,
		DrawWork:       func(job.Task) Work { return Work{Length: clock.Second} },
		OnEnd:          func(job.Task, fleet.EndCause) {},
		OnAcknowledged: func(job.Task) {},
		OnEvent:        func(Event) {},
	}
	w.Restart(now)
	return w
}

// Restart starts a new incarnation under the same id, with no runs and no state, whose
// clock starts at 0.
func (w *Worker) Restart(now clock.Millis) {
	w.Entry.Incarnation = unixOriginMS + int64(now)
	w.bootedAt, w.clockStart = now, 0
	w.token, w.leaseUntil, w.endCount, w.lapsedThrough = 0, 0, 0, 0
	w.stalledSince = 0
	w.runs = map[job.Task]*run{}
	w.closedRuns = map[job.Task]int{}
	w.unackedEnds = nil
}

// StartClockAt sets what the clock read at the start of the present incarnation. It must
// be called before the first order.
func (w *Worker) StartClockAt(reading int64) { w.clockStart = reading }

// Stall stalls all runs. Calls are answered as before.
func (w *Worker) Stall(now clock.Millis) {
	w.Advance(now)
	w.stalledSince = now
}

// Resume resumes the runs that Stall stalled.
func (w *Worker) Resume(now clock.Millis) {
	if w.stalledSince == 0 {
		return
	}
	for _, r := range w.runs {
		r.startedAt += now - max(w.stalledSince, r.startedAt)
	}
	w.stalledSince = 0
}

// progress returns how long a run has run, without the time while stalled.
func (w *Worker) progress(r *run, now clock.Millis) clock.Millis {
	if w.stalledSince != 0 {
		now = w.stalledSince
	}
	return max(now-r.startedAt, 0)
}

// Clock returns the reading of the clock of the worker.
func (w *Worker) Clock(now clock.Millis) int64 {
	elapsed := int64(now - w.bootedAt)
	if w.SlowClock {
		elapsed -= elapsed / slowClockDivisor
	}
	return w.clockStart + elapsed
}

// Tasks returns the tasks with a run, in a deterministic sequence.
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

// Running returns the number of the current run of a task, or 0 if there is none.
func (w *Worker) Running(task job.Task) int {
	if r := w.runs[task]; r != nil {
		return r.number
	}
	return 0
}

// Used returns the capacity in use.
func (w *Worker) Used() fleet.Room {
	var used fleet.Room
	for _, r := range w.runs {
		used.MilliCPU += r.work.Room.MilliCPU
		used.MemoryMB += r.work.Room.MemoryMB
	}
	return used
}

// Advance advances the worker to the time now: leases lapse, runs end, stops complete.
// Each end takes effect at its own time, however late Advance is called.
func (w *Worker) Advance(now clock.Millis) {
	lapsesAt := w.lapsesAt()
	lapsed := now >= lapsesAt
	due := w.dueEnds(now)
	for _, end := range due {
		if end.at < lapsesAt {
			w.endRun(end)
		}
	}
	if !lapsed {
		return
	}
	w.lapsedThrough = w.endCount
	for _, task := range w.Tasks() {
		w.endRun(dueEnd{task: task, cause: fleet.EndLeaseLapsed, at: lapsesAt})
	}
}

// lapsesAt returns the first time at which the clock of the worker is past the end
// of the lease.
func (w *Worker) lapsesAt() clock.Millis {
	left := w.leaseUntil + 1 - w.clockStart
	if w.SlowClock {
		left = left * slowClockDivisor / (slowClockDivisor - 1)
	}
	at := w.bootedAt + clock.Millis(left)
	for w.Clock(at) <= w.leaseUntil {
		at++
	}
	return at
}

// dueEnd is an end of a run that is due.
type dueEnd struct {
	task  job.Task
	cause fleet.EndCause
	at    clock.Millis
}

// dueEnds returns the runs that have ended by now, without regard to the lease,
// ordered by time.
func (w *Worker) dueEnds(now clock.Millis) []dueEnd {
	var due []dueEnd
	for _, task := range w.Tasks() {
		r := w.runs[task]
		end := dueEnd{task: task, at: r.startedAt + r.work.Length}
		switch {
		case r.stopsAt != 0:
			end.cause, end.at = fleet.EndStopped, r.stopsAt
		case r.work.Length == 0 || w.progress(r, now) < r.work.Length:
			continue
		case r.work.Fails:
			end.cause = fleet.EndFailed
		}
		if end.at <= now {
			due = append(due, end)
		}
	}
	slices.SortStableFunc(due, func(a, b dueEnd) int { return cmp.Compare(a.at, b.at) })
	return due
}

func (w *Worker) endRun(end dueEnd) {
	r := w.runs[end.task]
	delete(w.runs, end.task)
	w.endCount++
	w.closedRuns[end.task] = max(w.closedRuns[end.task], r.number)
	w.unackedEnds = append(w.unackedEnds, fleet.End{Number: w.endCount, Task: end.task, Run: r.number, Cause: end.cause})
	w.OnEvent(Event{Kind: RunEnded, At: end.at, Task: end.task, Run: r.number, Cause: end.cause})
	w.OnEnd(end.task, end.cause)
}

// extendLease extends the lease up to MaxLease from now. It never shortens it.
func (w *Worker) extendLease(leaseUntil int64, now clock.Millis) {
	extended := min(leaseUntil, w.Clock(now)+int64(MaxLease))
	if extended <= w.leaseUntil {
		return
	}
	w.leaseUntil = extended
	w.OnEvent(Event{Kind: LeaseExtended, At: now, Token: w.token, Until: w.lapsesAt()})
}

// fenced reports whether an owner with a newer token has called, and records the
// token otherwise.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// Start handles a start order.
func (w *Worker) Start(order fleet.Start, now clock.Millis) fleet.Answer {
	w.Advance(now)
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	r := w.runs[order.Task]
	switch {
	case w.fenced(order.Token):
		answer.Outcome = fleet.Fenced
	case order.UntilMS <= w.Clock(now):
		answer.Outcome = fleet.LeaseExpired
	case r != nil && r.number == order.Run:
		w.extendLease(order.UntilMS, now)
	case order.Run <= w.closedRuns[order.Task] || r != nil && order.Run < r.number:
		w.extendLease(order.UntilMS, now)
		answer.Outcome = fleet.RunSuperseded
	default:
		answer.Outcome = w.startRun(order, now)
	}
	return answer
}

// startRun starts a run if the free capacity allows it.
func (w *Worker) startRun(order fleet.Start, now clock.Millis) fleet.Outcome {
	work := w.DrawWork(order.Task)
	used := w.Used()
	fits := used.MilliCPU+work.Room.MilliCPU <= w.Entry.Room.MilliCPU && used.MemoryMB+work.Room.MemoryMB <= w.Entry.Room.MemoryMB
	w.extendLease(order.UntilMS, now)
	if w.AdmissionCheck && !fits {
		return fleet.NoRoom
	}
	w.runs[order.Task] = &run{number: order.Run, startedAt: now, work: work}
	w.OnEvent(Event{Kind: RunStarted, At: now, Task: order.Task, Run: order.Run, Token: order.Token})
	return fleet.Accepted
}

// Stop handles a stop order. A run that has not started is refused from then on.
func (w *Worker) Stop(order fleet.Stop, now clock.Millis) fleet.Answer {
	w.Advance(now)
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	if w.fenced(order.Token) {
		answer.Outcome = fleet.Fenced
		return answer
	}
	if r := w.runs[order.Task]; r != nil && r.number <= order.Run {
		if r.stopsAt == 0 {
			r.stopsAt = now + stopDuration
		}
		return answer
	}
	w.closedRuns[order.Task] = max(w.closedRuns[order.Task], order.Run)
	return answer
}

// Pace handles an order for a run's speed, which this stand-in does not model.
func (w *Worker) Pace(order fleet.Pace, now clock.Millis) fleet.Answer {
	answer := fleet.Answer{ClockMS: w.Clock(now)}
	if w.fenced(order.Token) {
		answer.Outcome = fleet.Fenced
	}
	return answer
}

// Hold renews the lease, drops acknowledged ends and returns a report. While a hold
// waits, it is called again with WithoutAck, since a hold acknowledges only ends that
// the worker has when the hold arrives.
func (w *Worker) Hold(order fleet.Hold, now clock.Millis) fleet.Report {
	w.Advance(now)
	report := fleet.Report{ClockMS: w.Clock(now), Incarnation: w.Entry.Incarnation}
	if w.fenced(order.Token) {
		report.Outcome = fleet.Fenced
		return report
	}
	if order.UntilMS > 0 {
		w.extendLease(order.UntilMS, now)
	}
	w.acknowledge(order.Acked, now)
	for _, task := range w.Tasks() {
		r := w.runs[task]
		percent := 100 * w.progress(r, now) / max(r.work.Length, 1)
		report.Running = append(report.Running, fleet.Run{
			Task: task, Run: r.number, Percent: int(min(percent, 99)), Usage: r.work.Usage,
		})
	}
	report.Ended = slices.Clone(w.unackedEnds[:min(len(w.unackedEnds), maxEndsPerReport)])
	return report
}

// acknowledge drops the ends up to a number. Later ends are reported, whatever their
// numbers: the hold may have been meant for an earlier incarnation with more ends.
func (w *Worker) acknowledge(ackedThrough int64, now clock.Millis) {
	for _, end := range w.unackedEnds {
		if end.Number <= ackedThrough && end.Number > w.lapsedThrough && end.Cause == fleet.EndDone {
			w.OnEvent(Event{Kind: RunAcked, At: now, Task: end.Task, Run: end.Run, Token: w.token})
			w.OnAcknowledged(end.Task)
		}
	}
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(end fleet.End) bool { return end.Number <= ackedThrough })
}
