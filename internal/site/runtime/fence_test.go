package runtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// newTestWriter returns a writer of an epoch whose goroutines run in a group.
func newTestWriter(log journal.Log, epoch int64, group *errgroup.Group) *writer {
	spawn := func(task func()) {
		group.Go(func() error {
			task()
			return nil
		})
	}
	return newWriter(Options{Epoch: epoch, Topic: "cell", Clock: clock.New(), Log: log, Logger: zerolog.Nop()}, spawn, func(journal.Outcome, []string) {})
}

// A fence whose answer is lost is repeated with its number, and appended once.
func TestFenceWithLostAnswersIsAppendedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := store.New().Log()
		inner, calls := log.Append, 0
		log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			answer := inner(ctx, call)
			if calls++; calls < 4 {
				return journal.Answer{Outcome: journal.Unknown}
			}
			return answer
		}
		group := new(errgroup.Group)
		_, err := newTestWriter(log, 3, group).fence(t.Context())
		_ = group.Wait() // the attempts return no error
		page := log.Read(t.Context(), journal.Read{Topic: "cell"})
		want := []journal.Stored{{Record: journal.Record{Key: keyEpoch, Value: []byte("3")}}}
		if diff := cmp.Diff(want, page.Records); err != nil || diff != "" {
			t.Errorf("%v; records (-want +got):\n%s", err, diff)
		}
	})
}

// appendAnsweredLate lets the store execute an append before the next owner's fence,
// and answer it after, or never. It returns the outcome.
func appendAnsweredLate(t *testing.T, lost bool) journal.Outcome {
	t.Helper()
	log := store.New().Log()
	slow := log
	slow.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		answer := log.Append(ctx, call)
		if clock.New().Sleep(ctx, appendTimeout/2) != nil || lost && answer.Outcome == journal.Done {
			return journal.Answer{Outcome: journal.Unknown}
		}
		return answer
	}
	group := new(errgroup.Group)
	first, next := newTestWriter(slow, 1, group), newTestWriter(log, 2, group)
	group.Go(func() error {
		time.Sleep(50 * time.Millisecond)
		_, err := next.fence(t.Context())
		return err
	})
	outcome := first.append(t.Context(), []journal.Record{{Key: "p/1", Value: []byte("x")}})
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	return outcome
}

// An append is confirmed after the next owner's fence only by its first answer.
func TestAppendAnsweredAfterNextFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := []string{appendAnsweredLate(t, false).String(), appendAnsweredLate(t, true).String()}
		if diff := cmp.Diff([]string{journal.Done.String(), journal.Superseded.String()}, got); diff != "" {
			t.Errorf("answered late, answer lost (-want +got):\n%s", diff)
		}
	})
}
