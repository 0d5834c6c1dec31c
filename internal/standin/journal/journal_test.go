package journal

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

func newLog(options Options) (*Journal, *clock.Fake) {
	time := clock.NewFake(clock.Hour)
	options.Clock = time.Clock()
	return New(options), time
}

func mustAppend(t *testing.T, log *Journal, data string) stream.Offset {
	t.Helper()
	offset, err := log.Append(t.Context(), "s", []byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

// texts returns what a reader sees, as offset:data.
func texts(t *testing.T, log *Journal, from stream.Offset) []string {
	t.Helper()
	page, err := log.Read(t.Context(), "s", from, 100)
	if err != nil {
		t.Fatal(err)
	}
	seen := []string{}
	for _, record := range page.Records {
		seen = append(seen, fmt.Sprintf("%d:%s", record.Offset, record.Data))
	}
	return seen
}

func wantTexts(t *testing.T, log *Journal, from stream.Offset, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, texts(t, log, from)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

func TestOffsetsAndPages(t *testing.T) {
	log, _ := newLog(Options{})
	for index, data := range []string{"a", "b", "c"} {
		if offset := mustAppend(t, log, data); offset != stream.Offset(index+1) {
			t.Errorf("append %s: offset %d", data, offset)
		}
	}
	wantTexts(t, log, 2, "2:b", "3:c")
	page, err := log.Read(t.Context(), "s", 1, 2)
	if err != nil || page.First != 1 || page.End != 4 || page.AtEnd(1) || page.Next(1) != 3 {
		t.Errorf("page %+v, %v", page, err)
	}
	page, err = log.Read(t.Context(), "other", 1, 2)
	if err != nil || page.First != 1 || page.End != 1 || !page.AtEnd(1) {
		t.Errorf("page of a new stream %+v, %v", page, err)
	}
}

func TestRetention(t *testing.T) {
	log, time := newLog(Options{RetentionMS: 1000})
	mustAppend(t, log, "a")
	time.Advance(600)
	mustAppend(t, log, "b")
	time.Advance(400)
	wantTexts(t, log, 1, "1:a", "2:b")
	time.Advance(1)
	wantTexts(t, log, 1, "2:b")
	time.Advance(1000)
	wantTexts(t, log, 1, []string{}...)
	if offset := mustAppend(t, log, "c"); offset != 3 {
		t.Errorf("offset %d after all had expired", offset)
	}
	page, err := log.Read(t.Context(), "s", 1, 10)
	if err != nil || page.First != 3 || page.End != 4 {
		t.Errorf("page %+v, %v", page, err)
	}
}

// Each fault: what the caller is told, and whether the record is there.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		domain  string
		outcome fault.Outcome
		there   bool
	}{
		{"down", Faults{Down: true}, "", fault.Unknown, false},
		{"refusing", Faults{Refuse: true}, "", fault.NotRun, false},
		{"answer lost", Faults{LoseNext: 1}, "", fault.Unknown, true},
		{"all answers lost", Faults{LosePercent: 100}, "", fault.Unknown, true},
		{"own domain cut", Faults{Cut: []string{"a"}}, "a", fault.Unknown, false},
		{"other domain cut", Faults{Cut: []string{"b"}}, "a", fault.Answered, true},
		{"slow", Faults{SlowMS: 500}, "", fault.Answered, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log, _ := newLog(Options{})
			log.SetFaults(test.faults)
			outcome := fault.Answered
			if _, err := log.LogFrom(test.domain).Append(t.Context(), "s", []byte("x")); err != nil {
				outcome = fault.OutcomeOf(err)
			}
			if outcome != test.outcome {
				t.Errorf("outcome %s, want %s", outcome, test.outcome)
			}
			log.SetFaults(Faults{})
			if there := len(texts(t, log, 1)) == 1; there != test.there {
				t.Errorf("record there: %v, want %v", there, test.there)
			}
		})
	}
}

// A caller that gives up on a slow append does not take it back.
func TestAbandonedAppendTakesEffect(t *testing.T) {
	log, time := newLog(Options{})
	log.SetFaults(Faults{SlowMS: 1000})
	log.options.Clock.Sleep = func(context.Context, clock.Millis) error { return context.DeadlineExceeded }
	_, err := log.Append(t.Context(), "s", []byte("late"))
	if fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("error %v", err)
	}
	log.SetFaults(Faults{})
	wantTexts(t, log, 1, []string{}...)
	mustAppend(t, log, "first")
	time.Advance(500)
	wantTexts(t, log, 1, "1:first", "2:late")
}

func TestAppendLimit(t *testing.T) {
	log, time := newLog(Options{MaxAppendsPerSecond: 2})
	mustAppend(t, log, "a")
	mustAppend(t, log, "b")
	if _, err := log.Append(t.Context(), "s", []byte("c")); fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("third append in a second: %v", err)
	}
	time.Advance(1000)
	mustAppend(t, log, "d")
	want := Stats{Appends: 3, AppendBytes: 3, AppendsLastSec: 1, MostAppendsInSec: 2, Streams: 1}
	if diff := cmp.Diff(want, log.Stats()); diff != "" {
		t.Errorf("stats (-want +got):\n%s", diff)
	}
}
