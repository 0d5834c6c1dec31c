package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Dump is the state that an owner's decisions rest on.
type Dump struct {
	Cell      string        `json:"cell"`
	Owner     string        `json:"owner"`
	Epoch     int64         `json:"epoch"`
	Owns      bool          `json:"owns"`
	Untrusted string        `json:"untrusted,omitempty"`
	Applied   stream.Offset `json:"applied"`
	CellTime  clock.Millis  `json:"cell_time_ms"`
	Jobs      int           `json:"jobs"`
	Ended     int           `json:"ended_jobs"`
	Terms     cell.Terms    `json:"terms"`
	Records   cell.Counters `json:"records"`
	Did       Counters      `json:"did"`

	ViewBroken  bool          `json:"view_broken"`
	ViewSince   clock.Millis  `json:"view_since_ms"`
	ViewAtEnd   clock.Millis  `json:"view_at_end_ms"`
	Silence     clock.Millis  `json:"owner_silent_ms"`
	MayRenew    bool          `json:"may_renew"`
	RenewShares []string      `json:"renewers"`
	Snapshot    stream.Offset `json:"snapshot_at"`

	Scheduler *SchedulerDump    `json:"scheduler,omitempty"`
	Workers   map[string]VMDump `json:"workers"`
}

// SchedulerDump is the working memory of the cell's owner.
type SchedulerDump struct {
	Waiting  int      `json:"waiting"`
	Delayed  int      `json:"delayed"`
	Plans    int      `json:"plans"`
	Orders   int      `json:"orders"`
	Outbox   int      `json:"outbox"`
	Leavers  int      `json:"leavers"`
	Suspects []string `json:"suspects"`
	SetAside []string `json:"set_aside"`
}

// VMDump is what is known of one worker of the cell.
type VMDump struct {
	Tasks     int           `json:"tasks"`
	Dropped   stream.Offset `json:"dropped,omitempty"`
	Stopped   bool          `json:"stopped"`
	Gone      bool          `json:"gone"`
	Boot      string        `json:"boot"`
	ReadingMS clock.Millis  `json:"reading_age_ms"`
	FailingMS clock.Millis  `json:"out_of_reach_ms"`
}

// Dump returns the state that decisions rest on.
func (owner *Owner) Dump() any {
	now := owner.now()
	name, _ := owner.state.Owner()
	return Dump{
		Cell: owner.options.Cell, Owner: name, Epoch: owner.state.Epoch(), Owns: owner.Owns(),
		Untrusted: owner.state.Untrusted(), Applied: owner.state.Applied(), CellTime: owner.state.Now(),
		Jobs: owner.state.Len(), Ended: owner.state.Ended(), Terms: owner.state.Terms(),
		Records: owner.state.Counters(), Did: owner.count,
		ViewBroken: owner.view.broken, ViewSince: owner.view.since, ViewAtEnd: owner.view.atEnd,
		Silence: owner.silence(), MayRenew: owner.signs.May(now, owner.state.Terms().Hold),
		RenewShares: owner.share.Live(), Snapshot: owner.state.SnapshotAt(),
		Scheduler: owner.sched.dump(), Workers: owner.dumpWorkers(now),
	}
}

func (owner *Owner) dumpWorkers(now clock.Millis) map[string]VMDump {
	workers := make(map[string]VMDump, len(owner.plant.machines))
	for name, vm := range owner.plant.machines {
		row := VMDump{Stopped: vm.stopped, Gone: vm.gone}
		if kept := owner.state.VM(name); kept != nil {
			row.Tasks, row.Dropped = len(kept.Jobs), kept.Dropped
		}
		row.read(owner.readings[name], now)
		if at := owner.checks[name]; at != nil && at.failing != 0 {
			row.FailingMS = now - at.failing
		}
		workers[name] = row
	}
	return workers
}

func (row *VMDump) read(reading lease.Reading, now clock.Millis) {
	if reading.Known() {
		row.Boot, row.ReadingMS = reading.Boot, now-reading.Received
	}
}

func (sched *scheduler) dump() *SchedulerDump {
	if sched == nil {
		return nil
	}
	aside := map[string]bool{}
	for name := range sched.trials {
		if sched.setAside(name) {
			aside[name] = true
		}
	}
	return &SchedulerDump{
		Waiting: sched.waiting.Len(), Delayed: sched.delayed.Len(), Plans: len(sched.plans),
		Orders: sched.orders.Len(), Outbox: sched.outbox.Len(), Leavers: len(sched.leavers),
		Suspects: sortedKeys(sched.suspects), SetAside: sortedKeys(aside),
	}
}
