package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// worker is one incarnation of a worker in memory.
type worker struct {
	id      string
	born    int64 // 0: not known yet
	entry   fleet.Entry
	listed  bool // it stands in the list of workers
	runs    map[*run]struct{}
	inLine  []*run // the same in an order that repeats; nil: to be sorted anew
	used    fleet.Room
	lasting fleet.Room   // the part of it that lasting tasks use
	kept    *reservation // for whose tasks its room is kept; nil: nobody's

	clockMS   int64        // its clock ...
	clockAt   clock.Millis // ... as read at this time; 0: never
	untilMS   int64        // no lease of its runs lasts longer, on its clock
	contactAt clock.Millis // of its last answer; 0: none to this owner
	bound     clock.Millis // without an answer to this owner: its runs are over by then
	silent    bool         // recorded as silent, or to be: its lease is not renewed
	trusted   bool         // no record says that it is silent, so its lease may be renewed
	lapsed    bool         // its leases have run out since its last answer
	misses    int          // holds unanswered in a row
	holding   bool         // a hold is under way
	holdSent  clock.Millis
	nextHold  clock.Millis
	hurry     bool         // the next hold does not wait for an end
	noted     int64        // ends up to this number are taken into account
	acked     int64        // ends up to this number are recorded
	restUntil clock.Millis // no new runs before
	faults    int          // runs that went wrong in a row
	stalls    int          // times in a row that it stood still
	doneAt    clock.Millis // when it last listed a good end
	got, due  float64      // milliseconds of work that its short runs did lately, and should have done
	speedAt   clock.Millis // when these sums were last aged
	doubts    []doubt      // starts without an answer that may still be carried out
	pace      int          // of all that fills it, in percent
	pacedAt   clock.Millis
	watched   bool     // a headroom is low, so reports are wanted soon
	plan      fillPlan // for tasks that fill, if planned
	planned   bool
}

// doubt is a start that got no answer. It may reach a later incarnation of the
// worker, which knows nothing of the run.
type doubt struct {
	task job.Task
	run  int
	born int64
	at   clock.Millis
}

// doubtKept is how long an order may be on its way.
const doubtKept clock.Millis = 15 * clock.Second

// within reports whether a room holds an amount.
func within(amount, room fleet.Room) bool {
	return amount.MilliCPU <= room.MilliCPU && amount.MemoryMB <= room.MemoryMB && amount.GPUs <= room.GPUs
}

// free is the room that is committed to no run.
func (w *worker) free() fleet.Room {
	return less(w.entry.Room, w.used)
}

// less is a room without a part of it.
func less(room, part fleet.Room) fleet.Room {
	add(&room, part, -1)
	return room
}

func (w *worker) address() fleet.Address { return fleet.Address{ID: w.id, Host: w.entry.Address} }

// clockNow is a lower bound of the worker's clock.
func (w *worker) clockNow(now clock.Millis) int64 {
	passed := int64(now - w.clockAt)
	return w.clockMS + passed - passed*driftPercent/100
}

// contactAge is how long ago a worker answered this owner, or -1 when it never
// did.
func (o *Owner) contactAge(w *worker) clock.Millis {
	if w.contactAt == 0 {
		return -1
	}
	return o.now - w.contactAt
}

// SetWorkers replaces the list of workers.
func (o *Owner) SetWorkers(entries []fleet.Entry) {
	if !o.enter() {
		return
	}
	for _, w := range o.workers {
		w.listed = false
	}
	for _, entry := range entries {
		o.setWorker(entry)
	}
	for id, w := range o.workers {
		if !w.listed && len(w.runs) == 0 && !w.holding && !w.silent && w.trusted {
			o.options.Log.Info().Str("event", "worker_gone").Str("worker", id).Send()
			o.release(w)
			delete(o.workers, id)
		}
	}
	o.reorder()
	o.placeDue = true
}

func (o *Owner) setWorker(entry fleet.Entry) {
	w := o.workers[entry.ID]
	if w == nil {
		w = o.newWorker(entry.ID)
	}
	if !w.listed && w.entry.ID == "" || w.entry.Draining != entry.Draining {
		o.options.Log.Info().Str("event", "worker_listed").Str("worker", entry.ID).Str("pool", entry.Service).
			Str("failure_domain", entry.Domain).Bool("draining", entry.Draining).Int64("born", entry.Born).Send()
	}
	if entry.Born > w.born {
		o.reborn(w, entry.Born)
	}
	w.listed = true
	w.entry = entry
}

func (o *Owner) newWorker(id string) *worker {
	w := &worker{id: id, runs: map[*run]struct{}{}, bound: o.claimed + o.formerSpan(), trusted: true, pace: fullPace}
	o.workers[id] = w
	return w
}

// inherit returns the worker of a recorded run. Its entry may be missing.
func (o *Owner) inherit(id string, born int64) *worker {
	w := o.workers[id]
	if w == nil {
		w = o.newWorker(id)
		o.reorder()
	}
	w.born = max(w.born, born)
	return w
}

func (o *Owner) reorder() {
	o.ordered = o.ordered[:0]
	for _, w := range o.workers {
		o.ordered = append(o.ordered, w)
	}
	slices.SortFunc(o.ordered, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
}

// reborn notes that a worker has started anew.
func (o *Owner) reborn(w *worker, born int64) {
	if w.born != 0 {
		o.options.Log.Warn().Str("event", "worker_restarted").Str("worker", w.id).
			Int64("born", born).Int64("before", w.born).Int("runs", len(w.runs)).Send()
		w.noted, w.acked = 0, 0
		w.clockAt, w.clockMS, w.untilMS = 0, 0, 0
		w.contactAt = 0
		w.bound = o.now + doubtKept
		w.lapsed = false
	}
	w.born = born
	o.settleFormer(w)
}

// settleFormer ends the runs of a worker's former incarnations: what ran there
// is over, and what was ordered without an answer must not begin now.
func (o *Owner) settleFormer(w *worker) {
	for _, r := range w.sorted() {
		switch {
		case r.born >= w.born:
		case r.unanswered:
			o.stop(r, "worker restarted")
		default:
			o.over(r, endGone, "")
		}
	}
}

// settleDoubts makes sure that starts meant for former incarnations of a
// worker, and still on their way, do not begin in the present one.
func (o *Owner) settleDoubts(w *worker) {
	kept := w.doubts[:0]
	for _, d := range w.doubts {
		switch {
		case o.now-d.at > doubtKept:
		case d.born < w.born:
			o.options.Effects.Stop(fleet.Stop{To: w.address(), Task: d.task, Run: d.run, Token: o.options.Epoch})
		default:
			kept = append(kept, d)
		}
	}
	w.doubts = kept
}

// sorted lists the runs of a worker in an order that repeats.
// The list is not to be changed; it stays as it is while runs come and go.
func (w *worker) sorted() []*run {
	if w.inLine != nil {
		return w.inLine
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
	w.inLine = runs
	return runs
}

// attach commits a worker's room to a run.
func (o *Owner) attach(r *run, w *worker) {
	r.worker = w
	r.task.run = r
	r.task.job.runs++
	w.runs[r] = struct{}{}
	w.planned, w.inLine = false, nil
	w.commit(r.task.spec(), 1)
	if hosts := r.task.job.steps[r.task.step].onHost; hosts != nil {
		hosts[w.id]++
	}
}

// commit adds what a number of a step's tasks take to what is committed.
func (w *worker) commit(step *job.Step, tasks int64) {
	amount := need(step)
	add(&w.used, amount, tasks)
	if step.Lasting {
		add(&w.lasting, amount, tasks)
	}
}

func add(sum *fleet.Room, amount fleet.Room, times int64) {
	sum.MilliCPU += times * amount.MilliCPU
	sum.MemoryMB += times * amount.MemoryMB
	sum.GPUs += times * amount.GPUs
}

// detach frees the room of a run that is over.
func (o *Owner) detach(r *run) {
	w := r.worker
	delete(w.runs, r)
	w.planned, w.inLine = false, nil
	r.task.run = nil
	r.task.job.runs--
	w.commit(r.task.spec(), -1)
	if hosts := r.task.job.steps[r.task.step].onHost; hosts != nil {
		hosts[w.id]--
	}
}
