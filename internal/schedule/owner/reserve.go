package owner

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// Limits of reservations.
const (
	reserveAfter           clock.Millis = 500               // wait after which a worker may be reserved for a task that is not large
	reservationGrace       clock.Millis = 1000              // time after the promised start at which a reservation expires
	reservationMoveGain    clock.Millis = 300               // least gain for which a reservation moves; a report changes estimates by about as much
	urgentSlack            clock.Millis = 500               // slack below which a job counts as about to be late
	longestHold            clock.Millis = placementInterval // longest wait of a task that is not large for which reservations that are not strict hold it back
	strictAfter            clock.Millis = 2 * clock.Second  // wait after which a reservation may become strict
	maxReservedShare                    = 1.0 / 30          // share of the workers of a step's pools from which, if reserved, tasks that are not large reserve no more; at least one worker
	maxReservedForLarge                 = 1.0 / 2           // the same for large tasks
	maxStrictShare                      = 1.0 / 30          // share of all workers whose reservations may be strict, but at least one worker
	searchesPerPass                     = 2                 // searches for an earliest start in a placement pass; bounds its cost
	reservationLogsPerPass              = 16                // log lines on reservations in a placement pass
)

// reservation reserves room on a worker for a task of one step, from the time at which
// the room is surely free; runs may still use it until then. Without it, smaller tasks
// that arrive later take all room before enough of it is free for a large task. Tasks
// that end before that time, or fit beside the reserved one, may start meanwhile.
type reservation struct {
	job      *jobState
	step     *stepState
	room     fleet.Room
	priority int           // of the job's queue
	start    timeline.Ends // when the room is free, as expected now
	promised clock.Millis  // sure start when it was made or moved
	madeAt   clock.Millis
	moves    int
	strict   bool // it also holds back tasks that are not large, however long they wait
}

// reservations counts the reservations of workers, and what a placement pass may still
// spend on them.
type reservations struct {
	reserved int // workers reserved now
	strict   int // of these, strict ones
	searches int // left in this pass
	logs     int // lines left in this pass
	next     int // index in Owner.sortedWorkers of the reservation that was last considered for a move
}

// exemptions tell which reservations do not hold a task back.
type exemptions struct {
	urgent   bool // exempt from those of jobs that are on time: its job is late unless it starts about now
	heldLong bool // exempt from those that are not strict: it is not large and has waited for longestHold
}

// include reports whether they contain all of a task's other exemptions.
func (e exemptions) include(other exemptions) bool {
	return (e.urgent || !other.urgent) && (e.heldLong || !other.heldLong)
}

// candidate is a task that a reservation may hold back.
type candidate struct {
	step       *stepState
	mustPlace  bool // see taskState.mustRun
	priority   int  // of its job's queue
	exemptions exemptions
	endsBy     clock.Millis // when it surely ends if it starts now; for a checkpointing task, when it likely ends
}

// newCandidate describes a task to the reservations.
func (o *Owner) newCandidate(task *taskState, step *stepState) candidate {
	queue, _ := o.tables.Queue(task.job.spec.Queue)
	length := expectedLength(o.taskLengths(task.job, step), runProgress{})
	c := candidate{
		step: step, mustPlace: task.mustRun(o.now), priority: queue.Priority,
		exemptions: o.exemptions(task, step), endsBy: o.now + length.Sure,
	}
	if step.spec.Checkpointing {
		c.endsBy = o.now + length.Likely
	}
	if step.spec.Lasting {
		c.endsBy = timeline.Never
	}
	return c
}

// exemptions returns which reservations do not hold a task back. Tasks that are not
// large are exempt from most after a short wait: they delay a reserved task a little,
// while held back they would wait for as long as they run.
func (o *Owner) exemptions(task *taskState, step *stepState) exemptions {
	return exemptions{urgent: o.isUrgent(task.job), heldLong: o.waited(task) >= longestHold && !o.isLarge(step)}
}

// waited returns how long a task could have been placed but was not.
func (o *Owner) waited(task *taskState) clock.Millis {
	return o.now - max(task.waitingSince, task.job.submittedAt)
}

// isUrgent reports whether a job that has not missed its objective yet misses it unless
// it starts about now.
func (o *Owner) isUrgent(j *jobState) bool {
	return o.now <= j.deadlines.dueAt && j.deadlines.dueAt-o.remainingPath(j)-o.now < urgentSlack
}

// reservationBlocks reports whether a worker's reservation keeps a task off it.
// Best-effort tasks, which commit no processors, and tasks that must run ignore
// reservations: a long-running task that lost its worker or has waited too long
// is placed wherever there is room, as its caller limits how long it may be
// without a run.
func (w *worker) reservationBlocks(c candidate) bool {
	held := w.reserved
	switch {
	case held == nil || held.step == c.step || c.step.spec.Fills || c.mustPlace:
		return false
	case c.precedes(held):
		return false
	case c.endsBy <= held.start.Sure:
		return false
	}
	return !committedRoom(c.step.spec).Plus(held.room, 1).FitsIn(w.timeline.FreeAt(w.freeRoom(), held.start.Sure))
}

// precedes reports whether a task is served before a reservation: its queue is
// served first, it was held back long enough, or it would be late otherwise while
// the reserved task is not.
func (c candidate) precedes(held *reservation) bool {
	if c.priority != held.priority {
		return c.priority < held.priority
	}
	onTime := held.start.Sure <= held.job.deadlines.dueAt-held.step.length.likely
	return c.exemptions.heldLong && !held.strict || c.exemptions.urgent && onTime
}

// mustRun reports whether a long-running task may not be held back any longer:
// it has run before, or has waited for longRunningMaxWait.
func (t *taskState) mustRun(now clock.Millis) bool {
	return t.spec().Lasting && (t.runNumber > 0 || now-t.waitingSince >= longRunningMaxWait)
}

// refreshReservations ends the reservations that are not needed any more or lost
// their worker, updates the expected starts of the others, and moves one that can
// start clearly earlier elsewhere.
func (o *Owner) refreshReservations(usablePools map[string]*poolCapacity) {
	o.reservations.reserved, o.reservations.strict = 0, 0
	o.reservations.searches, o.reservations.logs = searchesPerPass, reservationLogsPerPass
	for _, w := range o.sortedWorkers {
		if w.reserved == nil {
			continue
		}
		if outcome := o.refreshReservation(w); outcome != "" {
			o.endReservation(w, outcome)
			continue
		}
		o.reservations.reserved++
		if w.reserved.strict {
			o.reservations.strict++
		}
	}
	o.makeStrict()
	o.moveNextReservation(usablePools)
}

// makeStrict makes the reservation of the job that has waited longest strict, unless
// maxStrictShare is in use, so that a steady stream of small tasks keeps no large one
// from starting.
func (o *Owner) makeStrict() {
	if o.reservations.reserved == o.reservations.strict || float64(o.reservations.strict) >= max(1, maxStrictShare*float64(len(o.sortedWorkers))) {
		return
	}
	var longest *reservation
	for _, w := range o.sortedWorkers {
		held := w.reserved
		if held == nil || held.strict || o.now-held.job.lastPlacementChangeAt < strictAfter {
			continue
		}
		if longest == nil || held.job.lastPlacementChangeAt < longest.job.lastPlacementChangeAt {
			longest = held
		}
	}
	if longest != nil {
		longest.strict = true
	}
}

// refreshReservation updates the expected start of a worker's reservation, and
// returns its outcome if it ends, or "".
func (o *Owner) refreshReservation(w *worker) string {
	held := w.reserved
	if held.job.state.Final() || len(held.step.reservedOn) > held.step.waiting {
		return "not_needed"
	}
	start, ok := w.timeline.Start(w.freeRoom(), held.room, o.now)
	if !ok || !o.isUsable(w) || o.isOnTrial(w) {
		return "worker_lost"
	}
	held.start = start
	if o.now >= held.promised+reservationGrace {
		o.renewReservation(w)
	}
	return ""
}

// renewReservation sets a new promised start for a reservation that has expired, as the
// room was not free in time. The reservation stays on its worker until it moves, so that
// no other task takes the room that is free already.
func (o *Owner) renewReservation(w *worker) {
	o.logReservation("reservation_expired", w).Int64("late_ms", int64(o.now-w.reserved.promised)).Send()
	o.options.Metrics.Reservation("expired")
	w.reserved.promised = w.reserved.start.Sure
}

// releaseReservation ends a worker's reservation, if it has one.
func (o *Owner) releaseReservation(w *worker) {
	if w.reserved == nil {
		return
	}
	step := w.reserved.step
	step.reservedOn = slices.DeleteFunc(step.reservedOn, func(other *worker) bool { return other == w })
	w.reserved = nil
}

// notePlacement observes the wait of a task that is about to be placed on a worker. If
// the worker is reserved for the task's step, the reservation is kept and ends; if it is
// reserved for another one, the placement counts as a backfill.
func (o *Owner) notePlacement(task *taskState, step *stepState, w *worker) {
	if !step.spec.Fills && !step.spec.Lasting {
		o.options.Metrics.observeWait(o.isLarge(step), o.waited(task))
	}
	switch held := w.reserved; {
	case held == nil || step.spec.Fills:
	case held.step != step:
		o.options.Metrics.Backfills.Inc()
	default:
		o.endReservation(w, "kept")
	}
}

// endReservation ends the reservation of a worker with an outcome.
func (o *Owner) endReservation(w *worker, outcome string) {
	o.logReservation("reservation_ended", w).Str("outcome", outcome).Send()
	o.options.Metrics.Reservation(outcome)
	o.releaseReservation(w)
}

// reserve reserves a worker for a step whose next task no worker can run: the one on
// which the task surely starts first. Large tasks reserve at once, others after
// reserveAfter.
func (o *Owner) reserve(j *jobState, step *stepState, pools []string, usablePools map[string]*poolCapacity) {
	if step.spec.Fills || step.spec.Lasting || len(step.reservedOn) >= step.waiting || o.reservations.searches == 0 {
		return
	}
	share := maxReservedForLarge
	if !o.isLarge(step) {
		share = maxReservedShare
		if o.now-j.lastPlacementChangeAt < reserveAfter {
			return
		}
	}
	if float64(o.reservations.reserved) >= max(1, share*float64(countWorkers(pools, usablePools))) {
		return
	}
	w, start := o.earliestStart(step, pools, usablePools)
	if w == nil {
		return
	}
	queue, _ := o.tables.Queue(j.spec.Queue)
	w.reserved = &reservation{
		job: j, step: step, room: committedRoom(step.spec), priority: queue.Priority, start: start, promised: start.Sure, madeAt: o.now,
	}
	step.reservedOn = append(step.reservedOn, w)
	o.reservations.reserved++
	o.options.Metrics.Reservation("made")
	o.logReservation("worker_reserved", w).Int("reserved", o.reservations.reserved).Send()
}

// canUseReservation reports whether a worker reserved for the step has room for a
// task of it now.
func (s *stepState) canUseReservation() bool {
	return slices.ContainsFunc(s.reservedOn, func(w *worker) bool { return committedRoom(s.spec).FitsIn(w.freeRoom()) })
}

// countWorkers returns the number of usable workers in some pools.
func countWorkers(pools []string, usablePools map[string]*poolCapacity) int {
	count := 0
	for _, name := range pools {
		if pool := usablePools[name]; pool != nil {
			count += len(pool.workers)
		}
	}
	return count
}

// earliestStart returns the worker that is not reserved on which a task of a
// step surely starts first, of all that it may use, or nil.
func (o *Owner) earliestStart(step *stepState, pools []string, usablePools map[string]*poolCapacity) (best *worker, start timeline.Ends) {
	o.reservations.searches--
	required := committedRoom(step.spec)
	for _, name := range pools {
		pool := usablePools[name]
		if pool == nil {
			continue
		}
		o.passCost += len(pool.workers)
		for _, w := range pool.workers {
			if w.reserved != nil || o.isOnTrial(w) || !required.FitsIn(w.freeWithoutBatch()) || !constraintsAllow(step, w) {
				continue
			}
			if expected, ok := w.timeline.Start(w.freeRoom(), required, o.now); ok && (best == nil || expected.Sure < start.Sure) {
				best, start = w, expected
			}
		}
	}
	return best, start
}

// moveNextReservation considers the next reservation in turn, and moves it if it
// starts clearly earlier on another worker.
func (o *Owner) moveNextReservation(usablePools map[string]*poolCapacity) {
	if o.reservations.reserved == 0 {
		return
	}
	for range o.sortedWorkers {
		o.reservations.next = (o.reservations.next + 1) % len(o.sortedWorkers)
		if w := o.sortedWorkers[o.reservations.next]; w.reserved != nil {
			o.moveReservation(w, usablePools)
			return
		}
	}
}

// moveReservation moves a worker's reservation if it starts clearly earlier on
// another one.
func (o *Owner) moveReservation(w *worker, usablePools map[string]*poolCapacity) {
	held := w.reserved
	queue, _ := o.tables.Queue(held.job.spec.Queue)
	to, start := o.earliestStart(held.step, queue.Pools, usablePools)
	if to == nil || start.Sure+reservationMoveGain > held.start.Sure {
		return
	}
	o.logReservation("reservation_moved", w).Str("to", to.id).Int64("new_start_ms", int64(start.Sure-o.now)).Send()
	o.options.Metrics.Reservation("moved")
	o.releaseReservation(w)
	to.reserved = held
	held.step.reservedOn = append(held.step.reservedOn, to)
	held.start, held.promised = start, start.Sure
	held.moves++
}

// logReservation begins a log line on a worker's reservation; lines beyond the
// limit of a placement pass are dropped.
func (o *Owner) logReservation(event string, w *worker) *zerolog.Event {
	if o.reservations.logs == 0 {
		return nil
	}
	o.reservations.logs--
	held := w.reserved
	return o.options.Log.Info().Str("event", event).Str("job", string(held.job.spec.ID)).Str("worker", w.id).
		Int64("milli_cpu", held.room.MilliCPU).Int64("memory_mb", held.room.MemoryMB).
		Int64("free_milli_cpu", w.freeRoom().MilliCPU).Int64("free_memory_mb", w.freeRoom().MemoryMB).
		Int64("likely_start_ms", int64(held.start.Likely-o.now)).Int64("sure_start_ms", int64(held.start.Sure-o.now)).
		Int64("waited_ms", int64(o.now-held.job.lastPlacementChangeAt)).Int64("reserved_ms", int64(o.now-held.madeAt)).
		Int("moves", held.moves).Bool("strict", held.strict).Int64("contact_age_ms", int64(o.contactAge(w)))
}

// freeWithoutBatch is the room of a worker once all but its long-running tasks
// have ended.
func (w *worker) freeWithoutBatch() fleet.Room {
	return w.entry.Room.Plus(w.longRunning, -1).Plus(w.promised, -1)
}
