package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// listLabelled makes an incarnation of worker w with a label the only worker listed.
func (m *manualOwner) listLabelled(incarnation int64, label string) {
	entry := testEntry("w")
	entry.Incarnation, entry.Address, entry.Labels = incarnation, "w:1", []string{label}
	m.owner.SetWorkers([]fleet.Entry{entry})
}

// submitLabelled submits a job of one task that requires a label.
func (m *manualOwner) submitLabelled(label string) {
	m.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 60000, Label: label}), func(Verdict) {})
}

// newLabelledWorker returns an owner with worker w of incarnation 1 and a label, in contact.
func newLabelledWorker(t *testing.T, label string) *manualOwner {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.listLabelled(1, label)
	m.advance(25)
	m.acknowledge()
	m.report(1)
	return m
}

// The entry of a worker's earlier incarnation says nothing of the labels of the
// incarnation that reports.
func TestReportingIncarnationIsNotUsedByLabelsOfEarlierEntry(t *testing.T) {
	m := newLabelledWorker(t, "b")
	m.missHold()
	m.submitLabelled("b")
	m.report(2)
	m.advance(25)
	m.acknowledge()
	if diff := cmp.Diff([]fleet.Start(nil), m.starts); diff != "" {
		t.Fatalf("starts by the labels of the earlier incarnation (-want +got):\n%s", diff)
	}
	m.listLabelled(2, "b")
	m.report(2)
	m.advance(25)
	m.acknowledge()
	if len(m.starts) != 1 {
		t.Errorf("%d starts once the entry of the reporting incarnation is listed, want one", len(m.starts))
	}
}

// A start that did not reach its worker is not repeated while the worker misses holds:
// it may be answered by the next incarnation, which may lack the label.
func TestStartIsNotRepeatedToIncarnationOfUnknownLabels(t *testing.T) {
	m := newLabelledWorker(t, "b")
	m.submitLabelled("b")
	m.advance(25)
	m.acknowledge()
	if len(m.starts) != 1 {
		t.Fatalf("%d starts ordered, want one", len(m.starts))
	}
	m.owner.Started(m.starts[0], fleet.Answer{Outcome: fleet.NotSent})
	m.missHold()
	m.advance(m.owner.options.Times.OrderRetry)
	if len(m.starts) != 1 {
		t.Errorf("%d starts ordered while the worker misses a hold, want one", len(m.starts))
	}
	m.report(1)
	m.advance(m.owner.options.Times.OrderRetry)
	if len(m.starts) != 2 {
		t.Errorf("%d starts ordered after the same incarnation reported, want two", len(m.starts))
	}
}
