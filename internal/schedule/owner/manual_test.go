package owner

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// manualOwner is an owner whose effects are recorded. The test answers each of
// them, so that it decides what is late, lost or out of sequence.
type manualOwner struct {
	t        *testing.T
	owner    *Owner
	now      clock.Millis
	pending  []journal.Record          // of the append in flight
	recorded map[string]journal.Record // acknowledged records by key
	starts   []fleet.Start
	stops    []fleet.Stop
	holds    []fleet.Hold
}

// manualTask is the only task of the job that manual tests submit.
var manualTask = job.Task{Job: bestEffortJob}

// newManualOwner returns an owner of an epoch that was claimed now.
func newManualOwner(t *testing.T, epoch int64, now clock.Millis) *manualOwner {
	t.Helper()
	m := &manualOwner{t: t, now: now, recorded: map[string]journal.Record{}}
	m.owner = New(Options{
		Epoch: epoch, Now: func() clock.Millis { return m.now }, WallClock: func() int64 { return int64(m.now) },
		Times: DefaultTimes(6000, 60*clock.Second), Log: zerolog.Nop(), Metrics: NewMetrics(metrics.NewSet()),
		Effects: Effects{
			Append: func(records []journal.Record) { m.pending = records },
			Start:  func(order fleet.Start) { m.starts = append(m.starts, order) },
			Stop:   func(order fleet.Stop) { m.stops = append(m.stops, order) },
			Hold:   func(order fleet.Hold) { m.holds = append(m.holds, order) },
			Pace:   func(fleet.Pace) {}, Resign: func(string) {},
		},
	})
	queues := []manifest.Queue{{Name: "q", Pools: []string{"pool"}, MaxFailures: 4}}
	m.owner.SetManifest(manifest.New(1, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
	return m
}

// successor returns the next owner, which claims after a delay and loads the
// acknowledged records.
func (m *manualOwner) successor(after clock.Millis) *manualOwner {
	m.t.Helper()
	next := newManualOwner(m.t, m.owner.options.Epoch+1, m.now+after)
	next.load(m)
	return next
}

func (m *manualOwner) load(previous *manualOwner) {
	m.t.Helper()
	var stored []journal.Stored
	for key, record := range previous.recorded {
		m.recorded[key] = record
		stored = append(stored, journal.Stored{Record: record})
	}
	m.owner.Fenced(1)
	if err := m.owner.Load(stored); err != nil {
		m.t.Fatal(err)
	}
}

// list makes a worker of an incarnation at an address the only one listed.
func (m *manualOwner) list(incarnation int64, address string) {
	entry := testEntry("w")
	entry.Incarnation, entry.Address = incarnation, address
	m.owner.SetWorkers([]fleet.Entry{entry})
}

// advance lets time pass with a tick at its end.
func (m *manualOwner) advance(passed clock.Millis) {
	m.now += passed
	m.owner.Tick()
}

// acknowledge confirms the append in flight.
func (m *manualOwner) acknowledge() {
	m.record(m.pending)
	m.owner.Appended(journal.Done)
}

// record stores records. One without a value removes its key.
func (m *manualOwner) record(records []journal.Record) {
	for _, record := range records {
		m.recorded[record.Key] = record
		if len(record.Value) == 0 {
			delete(m.recorded, record.Key)
		}
	}
}

// report answers the hold of the worker; its clock is the owner's.
func (m *manualOwner) report(incarnation int64, running ...fleet.Run) {
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: incarnation, Running: running})
}

// missHold leaves the hold of the worker unanswered.
func (m *manualOwner) missHold() {
	m.owner.Report("w", fleet.Report{Outcome: fleet.Unanswered})
}

// submit submits a job of one task.
func (m *manualOwner) submit() {
	m.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 60000}), func(Verdict) {})
}

// contact makes an incarnation of worker w known, which reports.
func (m *manualOwner) contact(incarnation int64) {
	m.list(incarnation, "w:1")
	m.advance(25)
	m.acknowledge()
	m.report(incarnation)
}

// placeRun makes an incarnation of worker w known and places run 1 of manualTask there.
// The append with its record is in flight then.
func (m *manualOwner) placeRun(incarnation int64) {
	m.contact(incarnation)
	m.submit()
	m.advance(25)
}

// orderStart makes worker w known and orders it to start run 1 of manualTask.
func (m *manualOwner) orderStart() fleet.Start {
	m.t.Helper()
	m.placeRun(1)
	m.acknowledge()
	if len(m.starts) != 1 {
		m.t.Fatalf("%d starts ordered, want one", len(m.starts))
	}
	return m.starts[0]
}

// startRun starts run 1 of manualTask on worker w.
func (m *manualOwner) startRun() fleet.Run {
	m.t.Helper()
	m.owner.Started(m.orderStart(), fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
	return fleet.Run{Task: manualTask, Run: 1}
}

// leaseEnd returns the end of the longest lease granted, in the owner's time.
func (m *manualOwner) leaseEnd() clock.Millis {
	var end int64
	for _, order := range m.starts {
		end = max(end, order.UntilMS)
	}
	for _, order := range m.holds {
		end = max(end, order.UntilMS)
	}
	return clock.Millis(end)
}

// holdsRun reports whether run 1 of manualTask counts as possibly executing.
func (m *manualOwner) holdsRun() bool { return m.owner.currentRun(manualTask, 1) != nil }

// timeToEnd cuts the worker off, ticks until run 1 of manualTask has ended, and
// returns the time since an earlier moment.
func (m *manualOwner) timeToEnd(since clock.Millis) clock.Millis {
	m.t.Helper()
	const limit = 30 * clock.Second
	m.missHold()
	for begun := m.now; m.holdsRun(); m.advance(25) {
		if m.now-begun > limit {
			m.t.Fatalf("the run has not ended after %d ms", limit)
		}
	}
	return m.now - since
}
