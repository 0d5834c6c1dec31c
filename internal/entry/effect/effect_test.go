package effect

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/entry/event"
)

func TestCallsRunBoundedAndComeBackAsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, calls = 3, 10
		inbox := event.NewInbox()
		pool := New(Options{Inbox: inbox, Limit: limit})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return pool.Run(ctx) })

		clk := clock.New()
		busy, most, done := make(chan int, calls*2), 0, 0
		for range calls {
			pool.Go(clock.Second, func(ctx context.Context) func() {
				busy <- 1
				_ = clk.Sleep(ctx, 100)
				busy <- -1
				return func() { done++ }
			})
		}
		for range calls {
			(<-inbox.C()).(event.Done).Run()
		}
		now := 0
		for range calls * 2 {
			now += <-busy
			most = max(most, now)
		}
		cancel()
		_ = group.Wait()
		if diff := cmp.Diff([]int{calls, limit, 0}, []int{done, most, pool.Pending()}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTimeoutEndsACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inbox := event.NewInbox()
		pool := New(Options{Inbox: inbox, Limit: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return pool.Run(ctx) })
		clk := clock.New()
		began := clk.Now()
		pool.Go(250, func(ctx context.Context) func() {
			<-ctx.Done()
			return func() {}
		})
		(<-inbox.C()).(event.Done).Run()
		if diff := cmp.Diff(clock.Millis(250), clk.Now()-began); diff != "" {
			t.Error(diff)
		}
		cancel()
		_ = group.Wait()
	})
}
