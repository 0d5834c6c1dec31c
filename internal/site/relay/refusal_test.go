package relay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
)

// The owner may handle an unanswered try after the one that it refuses, and accept it.
func TestRefusalAfterUnansweredTryIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := New(Options{
			Clock:      clock.New(),
			Current:    func() ownership.Record { return ownership.Record{Epoch: 3, Address: "owner"} },
			LocalOwner: func() *LocalOwner { return nil },
		})
		tries := 0
		ctx, cancel := context.WithTimeout(t.Context(), clock.Second.Duration())
		defer cancel()
		reply := client.send(ctx, ownerQuery{remote: func(context.Context, string) (Reply, error) {
			tries++
			if tries == 1 {
				return Reply{}, unknown
			}
			return Reply{Verdict: owner.Verdict{Ruling: owner.Refused}}, nil
		}})
		if diff := cmp.Diff(Unknown, reply.Outcome); diff != "" {
			t.Errorf("outcome of a submission (-want +got):\n%s\n%+v", diff, reply.Verdict)
		}
	})
}
