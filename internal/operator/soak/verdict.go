package soak

import (
	"io"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Verdict is the outcome of a seed.
type Verdict struct {
	Seed       uint64         `json:"seed"`
	Entries    int            `json:"entries"`
	Workers    int            `json:"workers"`
	Links      bool           `json:"links"`
	Strong     int            `json:"strong,omitempty"` // every entry whose number is a multiple has twice the processor share
	Lanes      string         `json:"lanes"`            // of faults: owner, cut, store, process
	Apart      int            `json:"apart_percent"`    // changes of the owner that are partitions
	Leaving    int            `json:"leaving_percent"`  // successors that lose the cell soon
	Delayed    int            `json:"delayed_percent"`  // changes of the owner with slow records for the new one
	TookMS     clock.Millis   `json:"took_ms"`
	Faults     int            `json:"faults"`
	Owners     int64          `json:"owners"` // newest epoch
	Submitted  int            `json:"jobs_submitted"`
	Accepted   int            `json:"jobs_accepted"`
	Runs       int            `json:"runs"`
	Done       int            `json:"runs_done"`
	Lapsed     int            `json:"runs_lapsed"`
	Violations map[string]int `json:"broken"` // number by promise
	Failures   []string       `json:"failures,omitempty"`
	Kept       string         `json:"kept,omitempty"` // directory
}

// broken reports whether a promise was broken or the soak did not work.
func (v Verdict) broken() bool { return len(v.Violations)+len(v.Failures) > 0 }

// judge reads what the workers executed and judges it.
func (d *deployment) judge(callers *load, progress io.Writer) (Verdict, error) {
	v := Verdict{
		Seed: d.plan.seed, Entries: d.plan.entries, Workers: d.plan.workers, Links: d.plan.links, Strong: d.plan.strong,
		Lanes: d.plan.laneNames(), Apart: d.plan.apart, Leaving: d.plan.leaving, Delayed: d.plan.delayed,
		Faults: d.schedule.len(), Owners: d.owners.current().Epoch, Submitted: len(callers.submissions), Violations: map[string]int{},
	}
	processes, err := d.readProcesses(&v)
	if err != nil {
		return v, err
	}
	runs := collectRuns(processes)
	for _, r := range runs {
		v.Runs++
		v.Done += count(r.Cause == "done")
		v.Lapsed += count(r.Cause == "lapsed")
	}
	for _, s := range callers.submissions {
		v.Accepted += count(s.accepted)
	}
	violations := judge(runs, callers.submissions)
	for _, found := range violations {
		v.Violations[found.Promise]++
	}
	return v, d.explain(violations, progress)
}

func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}

// readProcesses reads the events of all processes of workers, and records processes
// that ended by themselves as failures.
func (d *deployment) readProcesses(v *Verdict) ([]processEvents, error) {
	for _, e := range d.entries {
		_, failures := e.report()
		v.Failures = append(v.Failures, failures...)
	}
	var processes []processEvents
	for _, g := range d.groups {
		events, err := readEvents(g.set.Events)
		if err != nil {
			return nil, err
		}
		deaths, failures := g.report()
		v.Failures = append(v.Failures, failures...)
		processes = append(processes, processEvents{events: events, deaths: deaths})
	}
	return processes, nil
}
