package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// worker is the in-memory state of a worker. What belongs to an incarnation is
// reset by workerRestarted.
type worker struct {
	id          string
	incarnation int64 // 0: unknown
	entry       fleet.Entry
	listed      bool   // it is in the current list of workers
	unknownPool string // pool of the last entry that was ignored, as the tables do not have it
	runs        map[*run]struct{}
	sortedCache []*run // runs in a deterministic order; nil: to be sorted again
	committed   fleet.Room
	longRunning fleet.Room      // the part of committed that belongs to long-running tasks
	runsEnded   int             // number of runs that were detached from it; changes show that a limit per worker may allow more
	lastOffer   workerState     // as of the newest readOffers in which it was usable
	promised    fleet.Room      // held for long-running tasks that are being relocated here
	reserved    *reservation    // step that this worker is reserved for; nil: none
	timeline    timeline.Worker // when its runs are expected to end

	clockMS                int64        // its clock in its last report
	clockReadAt            clock.Millis // owner's time of that reading; 0: never
	leaseUntilMS           int64        // end of the longest lease granted to its runs, on its clock
	lastReportAt           clock.Millis // time of the last report of its current incarnation to this owner; 0: none
	runsEndBy              clock.Millis // while lastReportAt is 0: its runs have ended by then
	runsEndProof           proof        // why they have ended by then
	recordedRest           clock.Millis // remaining time of its leases in the loaded list of unresponsive workers; notListed without it
	incarnationFrom        evidence     // what showed its present incarnation
	incarnationKnownAt     clock.Millis // when that was seen first
	reportedIncarnation    int64        // incarnation named in its last report; 0: none was named
	reportedHoldSentAt     clock.Millis // when the hold that its last report answered was sent
	incarnationUnprovenAt  clock.Millis // when a start was found that a later incarnation may have executed, if no hold sent since was answered; 0: none
	unresponsive           bool         // belongs in the next list of unresponsive workers; leases are not renewed
	namedInList            int          // number of the newest encoded list of unresponsive workers that names it; unnamed: none
	leasesLapsed           bool         // its leases have expired since its last report
	missedHolds            int          // consecutive unanswered holds
	holdInFlight           bool         // a hold is in flight
	holdSentAt             clock.Millis // when the newest hold was sent
	holdAddress            string       // to which address that was
	nextHoldAt             clock.Millis
	skipHoldWait           bool             // the next hold requests an immediate report
	endsApplied            int64            // highest number of a reported end that was applied
	endsRecorded           int64            // highest number of an applied end that is recorded
	backoffUntil           clock.Millis     // no new runs are placed before it
	failuresInARow         int              // consecutive failed runs
	failedRuns             []failedRun      // the newest of them
	longestFailure         clock.Millis     // longest duration of one of them
	lastFailureAt          clock.Millis     // when a run last failed
	failing                bool             // its consecutive failures are too many to be by chance, and are not caused by their jobs or images
	stallsInARow           int              // consecutive stalls without a completed run
	lastDoneAt             clock.Millis     // when it last reported a completed run
	workDone, workExpected float64          // recent work of its batch runs in ms, decayed: done, and expected
	workDecayedAt          clock.Millis     // when workDone and workExpected were last decayed
	uncertainStarts        []uncertainStart // unanswered starts that may still be executed
	token                  int64            // fencing token of orders to its present incarnation
	earlierFenced          bool             // its present incarnation executes no order to an earlier one any more
	holdToken              int64            // token of the newest hold
	holdUntilMS            int64            // end of the lease that the newest hold grants; 0: none
	uncertainGrant         uncertainGrant   // leases of unanswered orders that may still be executed
	starts                 startCounts      // its starts under way
	silentSince            clock.Millis     // while starts are open: when it last answered one, or the first of them was sent
	pace                   int              // pace of its best-effort tasks in percent
	paceChangedAt          clock.Millis     // when pace last changed
	quietSince             clock.Millis     // since when no best-effort task has worked on it, by its reports; 0: one works
	usesLowHeadroomWait    bool             // a long-running task has little headroom, so holds use the wait for low headroom
	plan                   bestEffortPlan   // summary for best-effort placement, valid if planValid is set
	planValid              bool
}

// uncertainStart is a start order that got no answer. It may still reach a
// later incarnation of the worker, which has no record of the run.
type uncertainStart struct {
	task        job.Task
	run         int
	incarnation int64        // incarnation that it was meant for; 0: its run is no longer current, so it is stopped in any incarnation
	at          clock.Millis // when the order timed out; uncertainStartTTL counts from here
}

// uncertainStartTTL is the longest time an order can be in transit.
const uncertainStartTTL clock.Millis = 15 * clock.Second

// uncertainGrant covers the leases of all unanswered orders to a worker. These orders may
// still be executed, also by a later incarnation, as an order names its worker by the id.
// On the clock of a later incarnation, such a lease can be as long as workers accept.
type uncertainGrant struct {
	untilMS int64        // end of the longest of them, on the clock of the incarnation that it was meant for
	at      clock.Millis // when the newest of these orders timed out; 0: there is none
}

// noteUncertainGrant notes an unanswered order that grants a lease.
func (w *worker) noteUncertainGrant(untilMS int64, now clock.Millis) {
	if untilMS == 0 {
		return
	}
	if now-w.uncertainGrant.at > uncertainStartTTL {
		w.uncertainGrant = uncertainGrant{}
	}
	w.uncertainGrant = uncertainGrant{untilMS: max(w.uncertainGrant.untilMS, untilMS), at: now}
}

// freeRoom returns the room that is neither committed to runs nor promised to
// tasks that are being relocated to the worker.
func (w *worker) freeRoom() fleet.Room {
	return w.entry.Room.Plus(w.committed, -1).Plus(w.promised, -1)
}

// currentAddress returns the address of a worker's present incarnation, or "" while its
// entry is that of an earlier one.
func (w *worker) currentAddress() string {
	if w.entry.Incarnation < w.incarnation {
		return ""
	}
	return w.entry.Address
}

// entryIsCurrent reports whether a worker's entry is that of the incarnation that
// reports. Labels and capacity of any other incarnation may differ. Start times are not
// compared by size: the worker's time of day may have been set back.
func (w *worker) entryIsCurrent() bool {
	return w.reportedIncarnation == 0 || w.entry.Incarnation == w.reportedIncarnation
}

func (w *worker) address() fleet.Address { return fleet.Address{ID: w.id, Host: w.entry.Address} }

// clockLowerBound returns a lower bound of the worker's clock: it may run slow
// by driftPercent.
func (w *worker) clockLowerBound(now clock.Millis) int64 {
	elapsed := int64(now - w.clockReadAt)
	return w.clockMS + elapsed - elapsed*driftPercent/100
}

// clockUpperBound returns an upper bound of the worker's clock, which the last report
// read after its hold was sent.
func (w *worker) clockUpperBound(now clock.Millis) int64 {
	return w.clockMS + int64(now-w.reportedHoldSentAt)
}

// expectedClock returns the lower bound of the worker's clock, or -1 if it has not
// been read.
func (w *worker) expectedClock(now clock.Millis) int64 {
	if w.clockReadAt == 0 {
		return -1
	}
	return w.clockLowerBound(now)
}

// contactAge returns the age of the last report of a worker's current
// incarnation to this owner, or -1 without one.
func (o *Owner) contactAge(w *worker) clock.Millis { return age(w.lastReportAt, o.now) }

// age returns the time since an event, or -1 if it has not happened or is not
// known.
func age(at, now clock.Millis) clock.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}

// SetWorkers replaces the list of workers.
func (o *Owner) SetWorkers(entries []fleet.Entry) {
	if !o.beginInput() {
		return
	}
	o.workersKnown = true
	for _, w := range o.workers {
		w.listed = false
	}
	for _, entry := range entries {
		if o.namesPool(entry) {
			o.updateWorker(entry)
		}
	}
	for id, w := range o.workers {
		if !w.listed && len(w.runs) == 0 && !w.holdInFlight && !w.unresponsive && o.isDelistingRecorded(w) {
			o.options.Log.Info().Str("event", "worker_gone").Str("worker", id).Send()
			o.releaseReservation(w)
			delete(o.workers, id)
		}
	}
	o.sortWorkers()
	o.updateTotalRoom()
	o.placementDue = true
}

// namesPool reports whether the tables have the pool of an entry. Any other entry
// comes from another writer, or for a pool of newer tables, and names no worker yet.
func (o *Owner) namesPool(entry fleet.Entry) bool {
	if o.tables.Version == 0 {
		return true // no tables are known
	}
	_, known := o.tables.Pool(entry.Service)
	if w := o.workers[entry.ID]; !known && w != nil && w.unknownPool != entry.Service {
		w.unknownPool = entry.Service
		o.options.Log.Warn().Str("event", "worker_entry_ignored").Str("worker", w.id).Str("pool", entry.Service).
			Int64("manifest", o.tables.Version).Int("runs", len(w.runs)).Send()
	}
	return known
}

func (o *Owner) updateWorker(entry fleet.Entry) {
	w := o.workers[entry.ID]
	if w == nil {
		w = o.newWorker(entry.ID)
	}
	if !w.listed && w.entry.ID == "" || w.entry.Draining != entry.Draining || w.entry.Address != entry.Address {
		o.options.Log.Info().Str("event", "worker_listed").Str("worker", entry.ID).Str("pool", entry.Service).
			Str("failure_domain", entry.Domain).Bool("draining", entry.Draining).Int64("born", entry.Incarnation).
			Str("address", entry.Address).Str("address_before", w.entry.Address).Send()
	}
	if entry.Incarnation > w.incarnation {
		o.workerRestarted(w, entry.Incarnation, evidenceWorkerRestartedListed)
		o.endRunsOfOldIncarnations(w)
	}
	w.listed = true
	w.entry = entry
}

func (o *Owner) newWorker(id string) *worker {
	w := &worker{
		id: id, runs: map[*run]struct{}{}, namedInList: unnamed, pace: fullPace, recordedRest: notListed,
		token: o.newestToken(), holdToken: o.newestToken(),
		runsEndBy: o.fencedAt + o.previousOwnerLeaseSpan(), runsEndProof: proof{evidence: evidenceRenewWindow, at: o.fencedAt},
	}
	o.workers[id] = w
	return w
}

// inheritedWorker returns the worker of a recorded run, and adds it if it is
// not listed.
func (o *Owner) inheritedWorker(id string, incarnation int64) *worker {
	w := o.workers[id]
	if w == nil {
		w = o.newWorker(id)
		o.sortWorkers()
	}
	if incarnation > w.incarnation {
		w.incarnation = incarnation
		w.incarnationFrom, w.incarnationKnownAt = evidenceWorkerRestartedRecorded, o.now
	}
	return w
}

// updateTotalRoom sums up the room of the listed workers.
func (o *Owner) updateTotalRoom() {
	o.totalRoom = fleet.Room{}
	for _, w := range o.sortedWorkers {
		if w.listed {
			o.totalRoom = o.totalRoom.Plus(w.entry.Room, 1)
		}
	}
}

func (o *Owner) sortWorkers() {
	o.sortedWorkers = o.sortedWorkers[:0]
	for _, w := range o.workers {
		o.sortedWorkers = append(o.sortedWorkers, w)
	}
	slices.SortFunc(o.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
}

// workerRestarted resets the state of a worker that has a newer incarnation. Its runs
// are left to endRunsOfOldIncarnations.
func (o *Owner) workerRestarted(w *worker, incarnation int64, from evidence) {
	if w.incarnation != 0 {
		o.options.Log.Warn().Str("event", "worker_restarted").Str("worker", w.id).
			Int64("born", incarnation).Int64("before", w.incarnation).Int("runs", len(w.runs)).
			Str("evidence", from.String()).Int64("contact_age_ms", int64(o.contactAge(w))).Send()
		w.endsApplied, w.endsRecorded = 0, 0
		w.clockReadAt, w.clockMS, w.leaseUntilMS = 0, 0, 0
		w.lastReportAt = 0
		w.runsEndBy, w.runsEndProof = o.now+uncertainStartTTL+o.longestLeaseSpan(), proof{evidence: evidenceRestartUnreported, at: o.now}
		w.leasesLapsed = false
		o.raiseToken(w)
		o.holdUncertainStarts(w)
	}
	w.incarnation = incarnation
	w.incarnationFrom, w.incarnationKnownAt = from, o.now
}

// namedOther reports whether a worker's last report named another incarnation than the
// given one, if both are named.
func (w *worker) namedOther(incarnation int64) bool {
	return incarnation != 0 && w.reportedIncarnation != 0 && w.reportedIncarnation != incarnation
}

// workerRestartedEarlier resets the state of a worker whose new incarnation has an
// earlier start time, since its time of day was set back. The highest start time stays
// that of the worker, and all runs and starts so far belong to an incarnation before it.
func (o *Owner) workerRestartedEarlier(w *worker) {
	o.workerRestarted(w, w.incarnation, evidenceWorkerRestartedReported)
	for r := range w.runs {
		r.incarnation = min(r.incarnation, w.incarnation-1)
	}
	for i := range w.uncertainStarts {
		w.uncertainStarts[i].incarnation = min(w.uncertainStarts[i].incarnation, w.incarnation-1)
	}
}

// endRunsOfOldIncarnations ends the runs of a worker's earlier incarnations. Runs
// whose start may have reached the new incarnation, or may still, are stopped there:
// only a report shows which incarnation has a run.
func (o *Owner) endRunsOfOldIncarnations(w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case r.incarnation >= w.incarnation:
		case r.startUnanswered || r.startsOpen > 0 || r.reportedAt == 0:
			o.stopInNewIncarnation(r)
		default:
			o.endRun(r, endWorkerRestarted, w.restartProof(), "")
		}
	}
}

// stopInNewIncarnation stops a run whose start may reach its worker's present
// incarnation, which knows of no stop that an earlier one has confirmed.
func (o *Owner) stopInNewIncarnation(r *run) {
	o.adopt(r)
	if r.stage != stageStopped {
		o.stopRun(r, "worker restarted")
		return
	}
	r.stage = stageStopping
	o.sendStop(r)
}

// adopt moves a run to the present incarnation of its worker, also for later owners.
func (o *Owner) adopt(r *run) {
	r.incarnation = r.worker.incarnation
	o.markTaskChanged(r.task)
}

// stopUncertainStarts sends stops for the unanswered starts of a worker's
// earlier incarnations, so that they cannot begin in the present one.
func (o *Owner) stopUncertainStarts(w *worker) {
	remaining := w.uncertainStarts[:0]
	for _, start := range w.uncertainStarts {
		switch {
		case o.now-start.at > uncertainStartTTL:
		case start.incarnation < w.incarnation:
			o.options.Effects.Stop(fleet.Stop{To: w.address(), Task: start.task, Run: start.run, Token: w.token})
		default:
			remaining = append(remaining, start)
		}
	}
	w.uncertainStarts = remaining
}

// sortedRuns returns the runs of a worker in a deterministic order. Callers
// must not modify the slice; attaching and detaching runs does not change it.
func (w *worker) sortedRuns() []*run {
	if w.sortedCache != nil {
		return w.sortedCache
	}
	runs := make([]*run, 0, len(w.runs))
	for r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.task.job.spec.ID, b.task.job.spec.ID),
			cmp.Compare(a.task.step, b.task.step),
			cmp.Compare(a.task.index, b.task.index),
		)
	})
	w.sortedCache = runs
	return runs
}

// attach adds a run to a worker and commits its room there.
func (o *Owner) attach(r *run, w *worker) {
	r.worker = w
	r.task.run = r
	r.task.job.runs++
	w.runs[r] = struct{}{}
	w.planValid, w.sortedCache = false, nil
	r.expected = w.timeline.Add(committedRoom(r.task.spec()), o.expectedEnds(r))
	w.commitRoom(r.task.spec(), 1)
	r.task.job.account.Add(requestedRoom(r.task.spec()), 1)
	if runCounts := r.task.job.steps[r.task.step].runsByWorker; runCounts != nil {
		runCounts[w.id]++
	}
}

// commitRoom commits room to a number of a step's tasks; a negative number
// frees it.
func (w *worker) commitRoom(step *job.Step, tasks int64) {
	amount := committedRoom(step)
	w.committed = w.committed.Plus(amount, tasks)
	if step.Lasting {
		w.longRunning = w.longRunning.Plus(amount, tasks)
	}
}

// detach removes an ended run from its worker and frees its room.
func (o *Owner) detach(r *run) {
	w := r.worker
	delete(w.runs, r)
	w.runsEnded++
	w.timeline.Remove(r.expected)
	w.planValid, w.sortedCache = false, nil
	if r.task.spec().Fills {
		w.quietSince = 0 // the next report covers a time in which it may have worked
	}
	r.task.run = nil
	r.task.job.runs--
	w.commitRoom(r.task.spec(), -1)
	r.task.job.account.Add(requestedRoom(r.task.spec()), -1)
	if runCounts := r.task.job.steps[r.task.step].runsByWorker; runCounts != nil {
		runCounts[w.id]--
	}
}
