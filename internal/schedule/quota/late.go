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

// lateStart is a start that may be carried out, or executing, although no current
// run stands for it.
type lateStart struct {
	account   *Account
	room      fleet.Room
	until     clock.Millis // it cannot begin or go on after this time
	stoppedAt clock.Millis // when its stop was confirmed; 0: it was not
}

// HoldLate counts a start on a worker until a time, or longer if it is counted
// already.
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

// ExtendLate moves the time until which a late start may begin; others are not
// counted.
func (l *Ledger) ExtendLate(worker string, start Start, until clock.Millis) {
	if late := l.late[worker][start]; late != nil {
		late.until = max(late.until, until)
	}
}

// StopConfirmed notes that a worker has confirmed a stop: it lists the run until
// it has ended, and does not begin it any more.
func (l *Ledger) StopConfirmed(worker string, start Start, now clock.Millis) {
	if late := l.late[worker][start]; late != nil {
		late.stoppedAt = now
	}
}

// Settle removes the late starts of a worker that its report proves to be over,
// and reports whether there were any. The report was requested at a time and does
// not list them, and they were stopped before or cannot begin any more.
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

// Expire removes late starts of workers that have not reported since they could
// last begin, once a lease granted then is over, and reports whether there were
// any.
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
