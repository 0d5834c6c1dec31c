package owner

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// outGrace is the few seconds after which a failure domain that is out must see
// no start.
const outGrace = 4 * clock.Second

// witness sees what workers run and what callers are told, and nothing of the
// system itself. Work is known by its payload, so that a job with two ids is
// seen as doubled.
type witness struct {
	bench    *bench
	runs     map[string]clock.Millis // payload: declared length
	now      map[string]int          // payload: places where it runs
	finished map[string]int
	due      map[string]string // payload: checkpoint of a stop, not yet resumed
	attempts map[string]int    // starts by payload and attempt
	starts   int
	outAt    map[string]clock.Millis
	accepted map[string]string // payload: id
	gone     map[string]bool   // payload: its caller cancelled it
	faults   []string
	firstRun map[string]clock.Millis
	unheard  map[string]finish // finishes that are in no stream yet
	stopped  map[string]finish // stops with a checkpoint that are in no stream yet
}

// finish is an end of work on a worker.
type finish struct {
	at  clock.Millis
	who *agent
}

// heard takes note that an end is in a stream.
func (w *witness) heard(end cell.End) {
	switch end.Phase {
	case worker.Finished:
		delete(w.unheard, w.workOf(end.ID))
	case worker.Stopped:
		delete(w.stopped, w.workOf(end.ID))
	}
}

// lostWith reports whether an end that is in no stream went down with its
// worker or its whole failure domain, so that nobody could hear of it.
func (w *witness) lostWith(one finish) bool {
	domain := one.who.vm.FailureDomain
	return one.who.diedAt >= one.at || w.bench.cutOff(domain) || w.bench.cutUntil[domain] >= one.at
}

func newWitness(b *bench) *witness {
	return &witness{
		bench: b, runs: map[string]clock.Millis{}, now: map[string]int{}, finished: map[string]int{},
		due: map[string]string{}, outAt: map[string]clock.Millis{},
		accepted: map[string]string{}, gone: map[string]bool{}, firstRun: map[string]clock.Millis{},
		attempts: map[string]int{}, unheard: map[string]finish{}, stopped: map[string]finish{},
	}
}

func (w *witness) sawf(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d: ", w.bench.now-clock.Hour)+fmt.Sprintf(format, values...))
}

func (w *witness) marked(domain string, out bool) {
	delete(w.outAt, domain)
	if out {
		w.outAt[domain] = w.bench.now
	}
}

// started judges a start and returns how long the work still takes.
func (w *witness) started(a *agent, order worker.StartOrder) clock.Millis {
	work := order.Payload
	w.starts++
	if _, known := w.firstRun[work]; !known {
		w.firstRun[work] = w.bench.now
	}
	attempt := fmt.Sprint(work, " attempt ", order.Attempt)
	w.attempts[attempt]++
	if w.attempts[attempt] > 1 {
		w.sawf("not_resumed: %s was started twice", attempt)
	}
	w.now[work]++
	if one, unheard := w.unheard[work]; unheard && w.lostWith(one) {
		delete(w.unheard, work)
		w.finished[work]--
	}
	if w.now[work] > 1 {
		w.sawf("two_places: %s attempt %d on %s", work, order.Attempt, a.vm.Name)
	}
	if w.finished[work] > 0 {
		w.sawf("doubled: %s started after it had finished", work)
	}
	if !a.vm.Size.Fits(a.used().Add(order.Size)) {
		w.sawf("overcommitted: %s by %s", a.vm.Name, work)
	}
	if out, yes := w.outAt[a.vm.FailureDomain]; yes && w.bench.now-out > outGrace {
		w.sawf("start_in_out_domain: %s on %s, %d ms after", work, a.vm.Name, w.bench.now-out)
	}
	return w.resume(work, order)
}

func (w *witness) resume(work string, order worker.StartOrder) clock.Millis {
	one, unheard := w.stopped[work]
	excused := unheard && w.lostWith(one)
	if due := w.due[work]; due != "" && order.Resume != due && !excused {
		w.sawf("not_resumed: %s went on from %q instead of %q", work, order.Resume, due)
	}
	delete(w.due, work)
	delete(w.stopped, work)
	if order.Resume == "" {
		return w.runs[work]
	}
	parts := strings.Split(order.Resume, "/")
	left, _ := strconv.Atoi(parts[len(parts)-1])
	return clock.Millis(left)
}

func (w *witness) ended(a *agent, one *running) {
	work := w.workOf(one.Job)
	w.now[work]--
	switch one.Phase {
	case worker.Finished:
		w.finished[work]++
		w.unheard[work] = finish{at: w.bench.now, who: a}
		if w.finished[work] > 1 {
			w.sawf("doubled: %s finished twice", work)
		}
	case worker.Stopped:
		if one.Checkpoint != "" {
			w.due[work] = one.Checkpoint
			w.stopped[work] = finish{at: w.bench.now, who: a}
		}
	}
}

// workOf finds the payload of a job id: ids end in a hash of caller and key.
func (w *witness) workOf(id string) string {
	for work := range w.runs {
		if strings.HasSuffix(id, job.ID("", "caller", work)) {
			return work
		}
	}
	return id
}

// atRest judges what must hold once all has healed.
func (w *witness) atRest() {
	for _, work := range sortedKeys(w.accepted) {
		status, known := w.bench.status(w.accepted[work])
		switch {
		case !known:
			w.sawf("lost: %s is not known", work)
		case !status.Phase.Over():
			w.sawf("lost: %s is still %s (%s)", work, status.Phase, status.Reason)
		case status.Phase == job.Finished && w.finished[work] != 1:
			w.sawf("lost: %s is called finished but ran to its end %d times", work, w.finished[work])
		case status.Phase == job.Parked:
			w.sawf("lost: %s was parked: %s", work, status.Reason)
		case status.Phase == job.Cancelled && !w.gone[work]:
			w.sawf("lost: %s was cancelled by nobody", work)
		}
	}
}

func (w *witness) done() bool {
	for _, id := range w.accepted {
		status, known := w.bench.status(id)
		if !known || !status.Phase.Over() {
			return false
		}
	}
	return true
}
