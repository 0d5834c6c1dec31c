package owner

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// What keeps a best-effort task waiting is told by the dump, by one log line a
// change, and by the line of its start.
func TestBlockedTasksAreTold(t *testing.T) {
	b := newHarness(testEntry("w"))
	var log bytes.Buffer
	b.owner.options.Log = zerolog.New(&log)
	lowTail := func(job.Task) int64 { return targetMS / 2 }
	b.report("w", lowTail)
	b.owner.Submit(servingSpec(2), func(Verdict) {})
	b.deliverPending()
	b.trainEstimate(15)
	b.now += 2000
	b.report("w", lowTail)
	b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
	b.deliverPending()
	dump := b.owner.Dump()
	if diff := cmp.Diff(map[string]int{"incompatible": 1}, dump.Blocked); diff != "" {
		t.Errorf("blocked steps (-want +got):\n%s", diff)
	}
	if dump.WaitingCPU != 2000 || dump.IdleCPU <= dump.WaitingCPU {
		t.Errorf("%d milli-CPU wait beside %d idle, want 2000 beside more", dump.WaitingCPU, dump.IdleCPU)
	}
	b.owner.Cancel(JobRef{ID: servingJob}, func(Verdict) {})
	b.deliverPending()
	b.report("w", lowTail)
	b.report("w", lowTail)
	b.deliverPending()
	for _, want := range []string{`"event":"placement_blocked","reason":"incompatible","reason_before":"none"`, `"blocked_by":"incompatible","blocked_workers":1`} {
		if count := strings.Count(log.String(), want); count != 1 {
			t.Errorf("%d log lines with %s, want 1:\n%s", count, want, log.String())
		}
	}
}
