package linkshard

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// TestClosedSessionCountsAbandonedStarts closes a session with one start handed to
// the connection and two in the queue.
func TestClosedSessionCountsAbandonedStarts(t *testing.T) {
	s := newSession(Entry{}, clock.New(), 0)
	drop := func(completion) {}
	s.enqueue(order{Start: &fleet.Start{}}, drop)
	s.enqueue(order{Hold: &fleet.Hold{}}, drop)
	s.nextBatch()
	s.enqueue(order{Start: &fleet.Start{}}, drop)
	s.enqueue(order{Stop: &fleet.Stop{}}, drop)
	s.enqueue(order{Start: &fleet.Start{}}, drop)
	want := abandonedOrders{all: 5, startsUnanswered: 1, startsNotSent: 2}
	if diff := cmp.Diff(want, s.closeSession(), cmp.AllowUnexported(abandonedOrders{})); diff != "" {
		t.Errorf("abandoned orders (-want +got):\n%s", diff)
	}
}

// TestLinkCountsStarts serves two owners in turn. Of the first one's starts, one is
// answered, one has no answer when the session ends, and one is too old.
func TestLinkCountsStarts(t *testing.T) {
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		shard := NewShard(ShardOptions{
			Clock: clock.New(), Logger: zerolog.New(&log), Metrics: NewMetrics(metrics.NewSet()),
			Calls: fleet.Calls{Start: func(ctx context.Context, o fleet.Start) fleet.Answer {
				if o.To.ID == "slow" {
					<-ctx.Done()
				}
				return fleet.Answer{}
			}},
		})
		startOn := func(worker string) order { return order{Start: &fleet.Start{To: fleet.Address{ID: worker}}} }
		now := shard.options.Clock.Now()
		for i, batches := range [][]orders{
			{{Echo: now, List: []order{startOn("quick"), startOn("slow")}}, {Echo: now - 2*maxBatchAge, List: []order{startOn("late")}}},
			{},
		} {
			serveBatches(t, shard, int64(i+1), batches)
		}
	})
	isSession := func(line string) bool {
		return strings.Contains(line, "link_serves") || strings.Contains(line, "link_ended")
	}
	lines := slices.DeleteFunc(slices.Collect(strings.Lines(log.String())), func(line string) bool { return !isSession(line) })
	goldie.New(t).Assert(t, "link_starts", []byte(strings.Join(lines, "")))
}

// serveBatches opens a session, sends batches and ends it once their quick orders
// are answered.
func serveBatches(t *testing.T, shard *Shard, epoch int64, batches []orders) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	in := make(chan []byte)
	group := new(errgroup.Group)
	group.Go(func() error {
		return shard.Serve(ctx, OpenRequest{Epoch: epoch, Owner: ownerAddress}, ServerConn{
			In: in, Send: func([]byte) error { return nil }, Open: func(OpenReply) bool { return true },
		})
	})
	for _, batch := range batches {
		data, err := encodeBatch(batch)
		if err != nil {
			t.Fatal(err)
		}
		in <- data
	}
	time.Sleep(200 * time.Millisecond)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
