package linkshard

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// A hold is repeated elsewhere once it is overdue; its worker may have restarted since.
func TestOverdueHoldAcknowledgesNoEnds(t *testing.T) {
	fake := clock.NewFake(clock.Hour)
	s := newTestSession(fake.Clock())
	s.enqueue(order{Hold: &fleet.Hold{Acked: 7}}, func(completion) {})
	fake.Advance(answerTimeout.Scale(s.timeoutFactor) + 1)
	_ = s.checkTimeouts() // the link also timed out
	acked := []int64{}
	for _, sent := range s.nextBatch().List {
		if sent.Hold != nil && sent.Hold.Acked != 0 {
			acked = append(acked, sent.Hold.Acked)
		}
	}
	if diff := cmp.Diff([]int64{}, acked); diff != "" {
		t.Errorf("acknowledged ends in overdue holds (-want +got):\n%s", diff)
	}
}
