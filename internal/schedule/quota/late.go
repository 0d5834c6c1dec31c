package quota

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Start identifies a start on a worker.
type Start struct {
	Task job.Task
	Run  int
}

// lateStart is a start that a worker may still execute, or is executing, although the
// owner counts its run as ended.
type lateStart struct {
	account   *Account
	room      fleet.Room
	until     clock.Millis // the worker cannot begin it after this time
	stoppedAt clock.Millis // when its stop was confirmed; 0: it was not
}

// HoldLate counts a start on a worker that may begin until a time. If it is counted
// already, the later time is valid.
func (l *Ledger) HoldLate(worker string, start Start, account *Account, room fleet.Room, until clock.Millis) {
	if account == nil {
		return
	}
	starts := l.late[worker]
	if starts == nil {
		starts = map[Start]*lateStart{}
		l.late[worker] = starts
	}
	if known := starts[start]; known != nil {
		known.until = max(known.until, until)
		return
	}
	starts[start] = &lateStart{account: account, room: room, until: until}
	account.Add(room, 1)
}

// ExtendLate extends the time until which a late start may begin. It ignores starts
// that are not counted as late.
func (l *Ledger) ExtendLate(worker string, start Start, until clock.Millis) {
	if late := l.late[worker][start]; late != nil {
		late.until = max(late.until, until)
	}
}

// StopConfirmed notes that a worker has confirmed the stop of a late start: from then
// on the worker does not begin it, and reports it until it has ended.
func (l *Ledger) StopConfirmed(worker string, start Start, now clock.Millis) {
	if late := l.late[worker][start]; late != nil {
		late.stoppedAt = now
	}
}

// Settle removes the late starts of a worker that its report proves to be over, and
// reports whether it removed any. These are not listed, and when the report was
// requested, their stop was confirmed or they could not begin any more.
func (l *Ledger) Settle(worker string, listed func(Start) bool, requestedAt clock.Millis) bool {
	removed := false
	for start, late := range l.late[worker] {
		stopped := late.stoppedAt != 0 && late.stoppedAt <= requestedAt
		if !listed(start) && (stopped || late.until <= requestedAt) {
			l.remove(worker, start)
			removed = true
		}
	}
	return removed
}

// Expire removes late starts that no report has settled, once a lease granted at the
// last time at which they could begin has expired. It reports whether it removed any.
func (l *Ledger) Expire(now, leaseSpan clock.Millis) bool {
	removed := false
	for worker, starts := range l.late {
		for start, late := range starts {
			if now >= late.until+leaseSpan {
				l.remove(worker, start)
				removed = true
			}
		}
	}
	return removed
}

// LateStarts returns the number of late starts.
func (l *Ledger) LateStarts() int {
	count := 0
	for _, starts := range l.late {
		count += len(starts)
	}
	return count
}

func (l *Ledger) remove(worker string, start Start) {
	late := l.late[worker][start]
	late.account.Add(late.room, -1)
	delete(l.late[worker], start)
	if len(l.late[worker]) == 0 {
		delete(l.late, worker)
	}
}
