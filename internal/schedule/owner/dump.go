package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Dump is a snapshot of an owner's state, for operators.
type Dump struct {
	Epoch              int64          `json:"epoch"`
	OwnedFor           clock.Millis   `json:"owned_for_ms"`
	StoreAge           clock.Millis   `json:"store_age_ms"` // time since the newest acknowledged append was sent
	Manifest           int64          `json:"manifest"`
	DomainsOut         []string       `json:"failure_domains_out"`
	Jobs               map[string]int `json:"jobs"` // by state
	Waiting            int            `json:"tasks_waiting"`
	WaitingCPU         int64          `json:"waiting_milli_cpu"` // requested by tasks that the last placement pass left waiting, without those held back by a quota
	IdleCPU            int64          `json:"idle_milli_cpu"`    // of usable workers, not in use while tasks wait
	Blocked            map[string]int `json:"blocked_steps"`     // steps that wait, by the leading reason
	Workers            []WorkerDump   `json:"workers"`
	Customers          []CustomerDump `json:"customers,omitempty"`
	PreviousOwnerKnown bool           `json:"former_owner_known"`
}

// WorkerDump is an owner's view of a worker.
type WorkerDump struct {
	ID             string           `json:"id"`
	Domain         string           `json:"failure_domain"`
	Listed         bool             `json:"listed"`
	Draining       bool             `json:"draining"`
	Usable         bool             `json:"usable"`
	ContactAge     clock.Millis     `json:"contact_age_ms"` // negative: no report yet
	LeaseRemaining int64            `json:"lease_left_ms"`  // 0 before the first report
	Misses         int              `json:"misses"`         // consecutive unanswered holds
	Runs           int              `json:"runs"`
	FreeCPU        int64            `json:"free_milli_cpu"`
	FreeMB         int64            `json:"free_memory_mb"`
	Pace           int              `json:"pace_percent"` // of best-effort tasks
	Faults         int              `json:"faults"`       // consecutive failed runs
	Reserved       *ReservationDump `json:"reserved,omitempty"`
}

// ReservationDump is a reservation of a worker.
type ReservationDump struct {
	Job         string       `json:"job"`
	CPU         int64        `json:"milli_cpu"`
	MB          int64        `json:"memory_mb"`
	LikelyStart clock.Millis `json:"likely_start_ms"` // from now
	SureStart   clock.Millis `json:"sure_start_ms"`   // from now
	Age         clock.Millis `json:"age_ms"`
	Moves       int          `json:"moves"`
	Strict      bool         `json:"strict"` // small tasks do not pass it, however long they wait
}

// Dump returns a snapshot of the owner's state.
func (o *Owner) Dump() Dump {
	o.now = o.options.Now()
	dump := Dump{
		Epoch: o.options.Epoch, OwnedFor: o.now - o.claimedAt, StoreAge: o.now - o.ownershipConfirmedAt,
		Manifest: o.tables.Version, Jobs: map[string]int{}, PreviousOwnerKnown: o.unresponsiveListCurrent,
	}
	dump.WaitingCPU, dump.IdleCPU, dump.Blocked = o.blocked.waitingCPU, o.blocked.idleCPU, map[string]int{}
	for kind, steps := range o.blocked.steps {
		if steps > 0 {
			dump.Blocked[rejection(kind).String()] = steps
		}
	}
	for domain := range o.domainsOut {
		dump.DomainsOut = append(dump.DomainsOut, domain)
	}
	for _, j := range o.jobs {
		dump.Jobs[j.state.String()]++
		if j.state.Final() {
			continue
		}
		for i := range j.steps {
			if j.steps[i].ready {
				dump.Waiting += j.steps[i].waiting
			}
		}
	}
	dump.Customers = o.dumpCustomers()
	for _, w := range o.sortedWorkers {
		dump.Workers = append(dump.Workers, o.dumpWorker(w))
	}
	return dump
}

func (o *Owner) dumpWorker(w *worker) WorkerDump {
	dump := WorkerDump{
		ID: w.id, Domain: w.entry.Domain, Listed: w.listed, Draining: w.entry.Draining, Usable: o.isUsable(w),
		ContactAge: o.contactAge(w), Misses: w.missedHolds, Runs: len(w.runs), FreeCPU: w.freeRoom().MilliCPU, FreeMB: w.freeRoom().MemoryMB,
		Pace: w.pace, Faults: w.failuresInARow,
	}
	if held := w.reserved; held != nil {
		dump.Reserved = &ReservationDump{
			Job: string(held.job.spec.ID), CPU: held.room.MilliCPU, MB: held.room.MemoryMB, LikelyStart: held.start.Likely - o.now,
			SureStart: held.start.Sure - o.now, Age: o.now - held.madeAt, Moves: held.moves, Strict: held.strict,
		}
	}
	if w.lastReportAt != 0 {
		dump.LeaseRemaining = w.leaseUntilMS - w.clockLowerBound(o.now)
	}
	return dump
}
