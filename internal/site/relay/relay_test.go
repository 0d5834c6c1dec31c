package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
)

// send sends a query whose tries return the given errors, with the last one
// repeated, and returns the reply and the time taken.
func send(t *testing.T, timeout time.Duration, tries ...error) (Reply, time.Duration) {
	t.Helper()
	var reply Reply
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		client := New(Options{
			Clock:      clock.New(),
			Current:    func() ownership.Record { return ownership.Record{Epoch: 3, Address: "owner"} },
			LocalOwner: func() *LocalOwner { return nil },
		})
		count := 0
		start := time.Now()
		reply = client.send(ctx, ownerQuery{remote: func(context.Context, string) (Reply, error) {
			err := tries[min(count, len(tries)-1)]
			count++
			return Reply{State: job.Running}, err
		}})
		took = time.Since(start)
	})
	return reply, took
}

var (
	notSent = fault.New(fault.NotSent, "dial", "owner", nil)
	unknown = fault.New(fault.Unknown, "submit", "owner", nil)
)

func TestSendOutcome(t *testing.T) {
	for _, test := range []struct {
		name  string
		tries []error
		want  Outcome
	}{
		{"answered", []error{nil}, Answered},
		{"answered at last", []error{notSent, unknown, nil}, Answered},
		{"never reached", []error{notSent}, NotRun},
		{"reached once, then never", []error{unknown, notSent}, Unknown},
	} {
		reply, took := send(t, 2*time.Second, test.tries...)
		if diff := cmp.Diff(test.want, reply.Outcome); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
		if test.want == NotRun && took > time.Second {
			t.Errorf("%s: the refusal took %s, want at most 1 s", test.name, took)
		}
	}
}

// An owner that loses the cell while it handles a query answers owner.NotOwner. The
// query must then be retried with the next owner.
func TestSubmitRetriesAfterOwnershipLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		previous := &LocalOwner{Submit: func(context.Context, job.Spec, clock.Millis) owner.Verdict {
			return owner.Verdict{Ruling: owner.NotOwner}
		}}
		next := &LocalOwner{Submit: func(context.Context, job.Spec, clock.Millis) owner.Verdict {
			return owner.Verdict{Ruling: owner.Recorded}
		}}
		tries := 0
		client := New(Options{
			Clock:   clock.New(),
			Current: func() ownership.Record { return ownership.Record{Epoch: int64(tries)} },
			LocalOwner: func() *LocalOwner {
				tries++
				if tries == 1 {
					return previous
				}
				return next
			},
		})
		want := Reply{Verdict: owner.Verdict{Ruling: owner.Recorded}, Tries: 2}
		if diff := cmp.Diff(want, client.Submit(t.Context(), job.Spec{}), cmpopts.IgnoreFields(Reply{}, "Epoch")); diff != "" {
			t.Errorf("reply (-want +got):\n%s", diff)
		}
	})
}

// An owner compares when a job and its cancellation reached an entry.
func TestSubmitSaysHowLongItWasHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var held []clock.Millis
		rulings := []owner.Ruling{owner.NotOwner, owner.NotOwner, owner.Recorded}
		local := &LocalOwner{Submit: func(_ context.Context, _ job.Spec, age clock.Millis) owner.Verdict {
			held = append(held, age)
			return owner.Verdict{Ruling: rulings[len(held)-1]}
		}}
		client := New(Options{
			Clock: clock.New(), Current: func() ownership.Record { return ownership.Record{Epoch: 1} },
			LocalOwner: func() *LocalOwner { return local },
		})
		client.Submit(t.Context(), job.Spec{})
		if diff := cmp.Diff([]clock.Millis{0, retryPeriod, 2 * retryPeriod}, held); diff != "" {
			t.Errorf("time held at each try (-want +got):\n%s", diff)
		}
	})
}
