package owner

import (
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// cutDomain is a failure domain with an owner and a worker that reach each other
// and nothing else.
type cutDomain struct {
	owner    *manualOwner
	worker   *standin.Worker
	answered int // holds that the worker has answered
}

// newCutDomain returns a domain whose owner has started run 1 of manualTask, and is
// cut off from now on.
func newCutDomain(t *testing.T) *cutDomain {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	d := &cutDomain{owner: m, worker: standin.New(testEntry("w"), m.now-clock.Minute)}
	d.worker.DrawWork = func(job.Task) standin.Work { return standin.Work{Length: clock.Minute} }
	m.owner.SetWorkers([]fleet.Entry{d.worker.Entry})
	d.advance(25)
	m.acknowledge()
	d.advance(100)
	m.submit()
	d.advance(25)
	m.acknowledge()
	if len(m.starts) != 1 {
		t.Fatalf("%d starts ordered, want one", len(m.starts))
	}
	m.owner.Started(m.starts[0], d.worker.Start(m.starts[0], m.now))
	return d
}

// advance lets time pass in the domain, in ticks of its owner.
func (d *cutDomain) advance(length clock.Millis) {
	for end := d.owner.now + length; d.owner.now < end; {
		d.owner.advance(25)
		for ; d.answered < len(d.owner.holds); d.answered++ {
			order := d.owner.holds[d.answered]
			d.owner.owner.Report("w", d.worker.Hold(order, d.owner.now))
		}
		d.worker.Advance(d.owner.now)
	}
}

// overlap lets time pass until an owner outside of the domain has ended the run and
// the worker has, and returns how long the run went on.
func (d *cutDomain) overlap(outside *manualOwner) clock.Millis {
	d.owner.t.Helper()
	outside.timeToEnd(outside.now)
	ended := outside.now
	d.advance(ended - d.owner.now)
	for d.worker.Running(manualTask) != 0 {
		d.advance(25)
	}
	return d.owner.now - ended
}

// An owner in a cut-off domain renews leases there while two others follow each other.
func TestHandoverEndsNoRunOfCutOffOwner(t *testing.T) {
	const silence, tenure = 1500, 1100 // until the second owner claims, and until it hands over
	d := newCutDomain(t)
	second := d.owner.successor(silence)
	second.advance(25)
	second.acknowledge()
	third := second.successor(tenure)
	third.owner.PreviousOwnerStopped(StopReleased)
	if overlap := d.overlap(third); overlap > 0 {
		t.Errorf("the run went on for %d ms after it had ended for the third owner", overlap)
	}
}

// One takeover of an owner in a cut-off domain waits for the leases there.
func TestTakeoverEndsNoRunOfCutOffOwner(t *testing.T) {
	d := newCutDomain(t)
	second := d.owner.successor(0)
	if overlap := d.overlap(second); overlap > 0 {
		t.Errorf("the run went on for %d ms after it had ended for the second owner", overlap)
	}
}
