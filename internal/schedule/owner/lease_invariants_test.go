package owner

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// leaseEvidence is what an owner concludes the end of a worker's leases from.
type leaseEvidence string

const (
	recordedRest         leaseEvidence = "recorded rest"
	renewWindow          leaseEvidence = "renew window"
	previousOwnerStopped leaseEvidence = "previous owner stopped"
	workerRestart        leaseEvidence = "worker restart"
	ownGrant             leaseEvidence = "own grant"
)

// grant is a lease that an owner granted on a worker.
type grant struct {
	endsAt, grantedAt clock.Millis
	epoch             int64
	order             string // kind of the order that carries it
}

func (g grant) String() string {
	return fmt.Sprintf("%s of owner %d, granted at %d", g.order, g.epoch, g.grantedAt)
}

// leaseAudit is what the simulation knows of leases, from outside of the owners.
type leaseAudit struct {
	grants    map[string]grant           // longest lease granted on the incarnation of a worker, by its id
	rest      map[string]clock.Millis    // durable list of unresponsive workers: rest of their leases, by id
	judged    map[*simOwner]judgedLeases // ends that owners concluded when they loaded their state
	restEpoch int64                      // epoch of the owner that wrote that list
	enabled   bool
}

// judgedLeases are the ends of leases that an owner concluded from records, by the
// worker's id.
type judgedLeases map[string]judgedLease

type judgedLease struct {
	endsAt   clock.Millis
	evidence leaseEvidence
}

func newLeaseAudit() *leaseAudit {
	return &leaseAudit{grants: map[string]grant{}, rest: map[string]clock.Millis{}, judged: map[*simOwner]judgedLeases{}}
}

// endsAt returns when the worker's clock is past a reading.
func (m *simWorker) endsAt(now clock.Millis, until int64) clock.Millis {
	left := until - m.Clock(now)
	if m.SlowClock {
		const slow, real = 49, 50 // a slow clock shows 49 of 50 ms
		left = left * real / slow
	}
	return now + clock.Millis(left)
}

// extendLease notes a lease that the worker accepted.
func (m *simWorker) extendLease(now clock.Millis, until int64) {
	m.leaseUntil = max(m.leaseUntil, min(until, m.Clock(now)+int64(standin.MaxLease)))
}

// checkGrant checks that a granted lease ends no later than a next owner may assume.
func (sim *simulation) checkGrant(s *simOwner, to fleet.Address, until int64, order string) {
	m, w := sim.workers[to.ID], s.owner.workers[to.ID]
	if !sim.audit.enabled || until == 0 || m == nil || w == nil || w.incarnation != m.Entry.Incarnation || s.epoch < fleet.TokenEpoch(m.tokenSeen) {
		return // no lease, or none that the worker accepts
	}
	granted := grant{endsAt: m.endsAt(sim.now, until), grantedAt: sim.now, epoch: s.epoch, order: order}
	if granted.endsAt > sim.audit.grants[to.ID].endsAt {
		sim.audit.grants[to.ID] = granted
	}
	if rest, listed := sim.audit.rest[to.ID]; listed {
		from := sim.now
		if next := sim.nextFenced(sim.audit.restEpoch); next != nil {
			from = next.fencedAt
		}
		sim.checkPromise(to.ID, granted, from+rest, recordedRest)
	}
	if next := sim.nextFenced(s.epoch); next != nil {
		sim.checkPromise(to.ID, granted, next.fencedAt+s.owner.renewedLeaseSpan(sim.assumedWindow(next)), renewWindow)
	}
}

// checkPromise checks that a lease ends by the time that the next owner may assume.
func (sim *simulation) checkPromise(worker string, granted grant, promisedEnd clock.Millis, broken leaseEvidence) {
	if over := granted.endsAt - promisedEnd; over > 0 {
		sim.violationf("%s: lease by %v ends %d ms after the promise to the next owner; broken evidence: %s", worker, granted, over, broken)
	}
}

// nextFenced returns the first owner after an epoch that has fenced the earlier ones, or
// nil.
func (sim *simulation) nextFenced(epoch int64) *simOwner {
	for _, later := range sim.owners[epoch:] {
		if later.fencedAt != 0 {
			return later
		}
	}
	return nil
}

// assumedWindow returns the least time after its fence for which an owner assumes that the
// previous one renewed leases.
func (sim *simulation) assumedWindow(s *simOwner) clock.Millis {
	if window := sim.previousRenewWindow(s); window != 0 {
		return window
	}
	return sim.times.RenewLimit
}

// auditRecords takes the list of unresponsive workers that has become durable. No
// lease that was granted until then may end after the rest that it states.
func (sim *simulation) auditRecords(records []journal.Record) {
	for _, record := range records {
		if record.Key != keyUnresponsive || !sim.audit.enabled {
			continue
		}
		sim.audit.rest = map[string]clock.Millis{}
		list := sim.unresponsiveIn(record)
		sim.audit.restEpoch = list.Epoch
		for _, listed := range list.Workers {
			sim.audit.rest[listed.ID] = listed.Remaining
			sim.checkPromise(listed.ID, sim.longestLease(listed.ID), sim.now+listed.Remaining, recordedRest)
		}
	}
}

// longestLease returns the longest lease that was granted on a worker and that it has
// accepted or may accept yet.
func (sim *simulation) longestLease(worker string) grant {
	granted := sim.audit.grants[worker]
	if m := sim.workers[worker]; m != nil && granted.epoch < fleet.TokenEpoch(m.tokenSeen) {
		granted.endsAt = min(granted.endsAt, m.endsAt(sim.now, m.leaseUntil))
	}
	return granted
}

func (sim *simulation) unresponsiveIn(record journal.Record) unresponsiveList {
	var list unresponsiveList
	if err := codec.Unmarshal(record.Value, &list); err != nil {
		sim.t.Fatal(err)
	}
	return list
}

// auditLoad notes what an owner concludes from the records about leases.
func (sim *simulation) auditLoad(s *simOwner) {
	judged := judgedLeases{}
	for id, w := range s.owner.workers {
		judged[id] = judgedLease{endsAt: w.runsEndBy, evidence: renewWindow}
		if _, listed := sim.audit.rest[id]; listed {
			judged[id] = judgedLease{endsAt: w.runsEndBy, evidence: recordedRest}
		}
	}
	sim.audit.judged[s] = judged
}

// evidenceOf returns what an owner's present conclusion on a worker's leases is drawn
// from.
func (sim *simulation) evidenceOf(s *simOwner, w *worker) leaseEvidence {
	judged, loaded := sim.audit.judged[s][w.id]
	switch {
	case w.lastReportAt != 0:
		return ownGrant
	case !loaded:
		return renewWindow
	case w.runsEndBy == judged.endsAt:
		return judged.evidence
	case w.runsEndBy < judged.endsAt:
		return previousOwnerStopped
	default:
		return workerRestart
	}
}

// ownerEvent is a line of an owner's log.
type ownerEvent struct {
	Event  string
	Worker string
	Job    job.ID
	Step   int
	Index  int
	Run    int
	Cause  string
	Reason string
}

// ownerLog checks what an owner concludes, by its log.
type ownerLog struct {
	sim   *simulation
	owner *simOwner
}

// logOf returns the log of an owner, which is read in plays that check its
// conclusions.
func (sim *simulation) logOf(s *simOwner) zerolog.Logger {
	if !sim.audit.enabled {
		return zerolog.Nop()
	}
	return zerolog.New(&ownerLog{sim: sim, owner: s})
}

// Write implements io.Writer.
func (l *ownerLog) Write(line []byte) (int, error) {
	l.sim.tracef("owner %d: %s", l.owner.epoch, bytes.TrimSpace(line))
	if l.sim.audit.enabled && (bytes.Contains(line, []byte(`"run_ended"`)) || bytes.Contains(line, []byte(`"lease_lapsed"`))) {
		var event ownerEvent
		if err := json.Unmarshal(line, &event); err != nil {
			return 0, err
		}
		l.sim.checkConclusion(l.owner, event)
	}
	return len(line), nil
}

// checkConclusion checks that the owner that the store obeys calls a worker's leases
// or a run ended only when they have ended. What an owner that has been fenced
// concludes has no effect.
func (sim *simulation) checkConclusion(s *simOwner, event ownerEvent) {
	m, w := sim.workers[event.Worker], s.owner.workers[event.Worker]
	if s.epoch != sim.epoch || m == nil || w == nil || m.down {
		return
	}
	m.Advance(sim.now)
	left := m.endsAt(sim.now, m.leaseUntil) - sim.now
	if event.Event == "lease_lapsed" && left > 0 && w.incarnation == m.Entry.Incarnation {
		sim.violationf("%s: owner %d judged its leases lapsed %d ms early, by %v; wrong evidence: %s",
			event.Worker, s.epoch, left, sim.audit.grants[event.Worker], sim.evidenceOf(s, w))
	}
	task := job.Task{Job: event.Job, Step: event.Step, Index: event.Index}
	if event.Event == "run_ended" && m.Running(task) == event.Run {
		sim.violationf("%v run %d: owner %d ended it as %s (%s) while it executes on %s; evidence: %s",
			task, event.Run, s.epoch, event.Cause, event.Reason, event.Worker, sim.evidenceOf(s, w))
	}
}

// checkBeginsInTime checks that a run that has just begun has not been called over by
// the owner that the store obeys.
func (sim *simulation) checkBeginsInTime(m *simWorker, order fleet.Start) {
	for _, s := range sim.owners {
		if s.epoch != sim.epoch || !s.loaded || !sim.audit.enabled {
			continue
		}
		task := s.owner.task(order.Task)
		if task != nil && task.runNumber >= order.Run && s.owner.currentRun(order.Task, order.Run) == nil {
			sim.violationf("%v run %d: begins on %s by an order of owner %d after owner %d had called it over",
				order.Task, order.Run, m.Entry.ID, fleet.TokenEpoch(order.Token), s.epoch)
		}
	}
}

// tracef adds a line to the trace, which is printed if the play breaks a rule.
func (sim *simulation) tracef(format string, values ...any) {
	if *traceHostile {
		sim.trace = append(sim.trace, fmt.Sprintf("%6d ", sim.now-clock.Hour)+fmt.Sprintf(format, values...))
	}
}
