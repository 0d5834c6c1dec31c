package linkshard

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// newTestSession returns a session of a link without a connection.
func newTestSession(clk clock.Clock) *session {
	return newSession(Entry{Address: "a0", Cores: 0.8}, clk, 0)
}

// enqueueStart queues a start and returns where its outcomes are recorded.
func enqueueStart(s *session) *[]fleet.Outcome {
	outcomes := &[]fleet.Outcome{}
	s.enqueue(order{Start: &fleet.Start{Run: 1}}, func(end completion) { *outcomes = append(*outcomes, end.result.outcome()) })
	return outcomes
}

// Only an order that never left the queue counts as not sent when its session ends.
func TestLostSessionCountsHandedOrdersAsUnanswered(t *testing.T) {
	s := newTestSession(clock.New())
	handed := enqueueStart(s)
	s.nextBatch()
	queued := enqueueStart(s)
	s.closeSession()
	left := s.nextBatch()
	want := [][]fleet.Outcome{{fleet.Unanswered}, {fleet.NotSent}}
	if diff := cmp.Diff(want, [][]fleet.Outcome{*handed, *queued}); diff != "" || len(left.List) > 0 {
		t.Errorf("%d orders sent after the end; outcomes (-want +got):\n%s", len(left.List), diff)
	}
}

// An order that is overdue in the queue may still be sent, so it counts as unanswered.
func TestOverdueQueuedOrderCountsAsUnanswered(t *testing.T) {
	fake := clock.NewFake(clock.Hour)
	s := newTestSession(fake.Clock())
	outcomes := enqueueStart(s)
	fake.Advance(answerTimeout.Scale(s.timeoutFactor) + 1)
	_ = s.checkTimeouts() // the link also timed out
	if diff := cmp.Diff([]fleet.Outcome{fleet.Unanswered}, *outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// The report of a hold that has timed out is dropped, as a later hold may be answered.
func TestLateReportOfTimedOutHoldIsDropped(t *testing.T) {
	fake := clock.NewFake(clock.Hour)
	s := newTestSession(fake.Clock())
	var outcomes []fleet.Outcome
	s.enqueue(order{Hold: &fleet.Hold{}}, func(end completion) { outcomes = append(outcomes, end.result.outcome()) })
	number := s.nextBatch().List[0].Number
	fake.Advance(answerTimeout.Scale(s.timeoutFactor) + 1)
	_ = s.checkTimeouts() // the link also timed out
	late, err := encodeBatch(results{List: []result{{Number: number, Report: &fleet.Report{Incarnation: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.receiveResults(late); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]fleet.Outcome{fleet.Unanswered}, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// A batch that waits in the link's queue when the session ends may have been executed.
func TestBatchInQueueOfEndedSessionIsUnanswered(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.delayed["a0"] = 300 })
		r.group.Go(func() error {
			time.Sleep(50 * time.Millisecond)
			r.kill("a0")
			return nil
		})
		if outcome := r.start("w00"); outcome != fleet.Unanswered {
			t.Errorf("start %v, want unanswered", outcome)
		}
	})
}

// Without a running pool an order reaches no worker.
func TestEndedPoolSendsNothing(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		ctx, cancel := context.WithCancel(r.ctx)
		ended := r.newPool(2)
		cancel()
		_ = ended.Serve(ctx) // ends with the context
		answers := make(chan fleet.Answer, 1)
		ended.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}}, func(answer fleet.Answer) { answers <- answer })
		if outcome := (<-answers).Outcome; outcome != fleet.NotSent || r.countCalls(ownerAddress+" w00 start") != 0 {
			t.Errorf("start %v, want not sent, and %d calls", outcome, r.countCalls(ownerAddress+" w00 start"))
		}
	})
}

// A batch whose sending failed may have left the socket before.
func TestFailedSendCountsAsUnanswered(t *testing.T) {
	s := newTestSession(clock.New())
	outcomes := enqueueStart(s)
	failure := errors.New("connection closed")
	if err := s.sendBatches(context.Background(), func([]byte) error { return failure }); !errors.Is(err, failure) {
		t.Errorf("error %v, want %v", err, failure)
	}
	s.closeSession()
	if diff := cmp.Diff([]fleet.Outcome{fleet.Unanswered}, *outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
