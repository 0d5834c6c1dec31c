package runtime

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// limitedWriter returns a writer to a store that takes small records only, and its calls.
func limitedWriter(group *errgroup.Group) (*writer, journal.Log, *[]string) {
	log := store.NewLimited(journal.Limits{RecordBytes: 100, RequestBytes: 300}).Log()
	inner, calls := log.Append, &[]string{}
	log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		keys := []string{}
		for _, record := range call.Records {
			keys = append(keys, record.Key)
		}
		answer := inner(ctx, call)
		*calls = append(*calls, fmt.Sprint(strings.Join(keys, " "), " ", answer.Outcome))
		return answer
	}
	return newTestWriter(log, 3, group), log, calls
}

// smallRecords returns records that the store takes, with the keys given, and one that it
// refuses for each key "large".
func smallRecords(keys ...string) []journal.Record {
	var records []journal.Record
	for _, key := range keys {
		size := 10
		if key == "large" {
			size = 200
		}
		records = append(records, journal.Record{Key: key, Value: make([]byte, size)})
	}
	return records
}

// An append that the store refused for its form was repeated without end, so that no
// other record was stored.
func TestRefusedRecordIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := new(errgroup.Group)
		w, log, calls := limitedWriter(group)
		outcome, refused := w.appendAll(t.Context(), smallRecords("a", "b", "large", "c"))
		_ = group.Wait() // the attempts return no error
		want := []string{"a b large c refused", "a b done", "large c refused", "large refused", "c done"}
		if diff := cmp.Diff(want, *calls); diff != "" || outcome != journal.Done {
			t.Errorf("outcome %v, calls (-want +got):\n%s", outcome, diff)
		}
		if diff := cmp.Diff([]string{"large"}, refused); diff != "" {
			t.Errorf("refused (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(3, len(log.Newest(t.Context(), "cell").Records)); diff != "" {
			t.Errorf("records stored (-want +got):\n%s", diff)
		}
	})
}

// A refusal does not show that no newer owner exists, so it must not confirm the
// ownership.
func TestRefusalDoesNotConfirmOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := new(errgroup.Group)
		w, log, _ := limitedWriter(group)
		first, _ := w.appendAll(t.Context(), smallRecords("large"))
		if _, err := newTestWriter(log, 4, group).fence(t.Context()); err != nil {
			t.Fatal(err)
		}
		second, _ := w.appendAll(t.Context(), smallRecords("large"))
		_ = group.Wait() // the attempts return no error
		if diff := cmp.Diff([]journal.Outcome{journal.Done, journal.Superseded}, []journal.Outcome{first, second}); diff != "" {
			t.Errorf("outcomes before and after the next owner's fence (-want +got):\n%s", diff)
		}
	})
}

// Records above the largest append go over several, each within the limit.
func TestLargeBatchGoesOverSeveralAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := new(errgroup.Group)
		w, _, calls := limitedWriter(group)
		w.options.Limits = journal.Limits{RecordBytes: 100, RequestBytes: 50}
		outcome, refused := w.appendAll(t.Context(), smallRecords("a", "b", "c", "d"))
		_ = group.Wait() // the attempts return no error
		if diff := cmp.Diff([]string{"a b c done", "d done"}, *calls); diff != "" || outcome != journal.Done || len(refused) > 0 {
			t.Errorf("outcome %v, refused %v, calls (-want +got):\n%s", outcome, refused, diff)
		}
	})
}
