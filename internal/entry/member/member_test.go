package member

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

func beat(name, domain string, version int64) Beat {
	return Beat{Name: name, FailureDomain: domain, Boot: "1", ConfigVersion: version}
}

func TestOpinionFollowsSilence(t *testing.T) {
	const heard = clock.Hour
	table := New("a1", "a").WithSeeds([]Seed{
		{Name: "a1", FailureDomain: "a", Address: "127.0.0.1:1"},
		{Name: "a2", FailureDomain: "a", Address: "127.0.0.1:2"},
		{Name: "b1", FailureDomain: "b", Address: "127.0.0.1:3"},
	})
	table = table.WithHeard(beat("a2", "a", 7), heard)
	far := table.Interval("b1")

	type step struct {
		After clock.Millis
		Near  State
		Far   State
		Live  int
	}
	var got []step
	table = table.WithHeard(beat("b1", "b", 9), heard)
	for _, after := range []clock.Millis{
		0, suspectBeats * nearInterval, suspectBeats*nearInterval + 1,
		deadBeats*nearInterval + 1, suspectBeats*far + 1, deadBeats*far + 1,
	} {
		now := heard + after
		got = append(got, step{after, table.State("a2", now), table.State("b1", now), len(table.Live(now))})
	}
	want := []step{
		{0, Live, Live, 2},
		{2000, Live, Live, 2},
		{2001, Suspect, Live, 2},
		{4001, Dead, Live, 1},
		{4161, Dead, Suspect, 1},
		{8321, Dead, Dead, 0},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("opinion (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Unheard, New("a1", "a").State("a2", heard)); diff != "" {
		t.Error(diff)
	}
}

func TestLeavingEntryIsNotLive(t *testing.T) {
	leaving := beat("a2", "a", 1)
	leaving.Leaving = true
	table := New("a1", "a").WithHeard(leaving, 100)
	if diff := cmp.Diff([]int{0, 1}, []int{len(table.Live(101)), table.Serving(101)}); diff != "" {
		t.Errorf("live and serving (-want +got):\n%s", diff)
	}
	// A new life of the same VM serves again.
	table = table.WithHeard(beat("a2", "a", 1), 200)
	if diff := cmp.Diff(Live, table.State("a2", 201)); diff != "" {
		t.Error(diff)
	}
}

func TestNewestVersionComesFromLiveMembers(t *testing.T) {
	table := New("a1", "a").WithHeard(beat("a2", "a", 5), 100_000).WithHeard(beat("a3", "a", 9), 1)
	version, from := table.Newest(100_001)
	if diff := cmp.Diff([]any{int64(5), "a2"}, []any{version, from.Name}); diff != "" {
		t.Error(diff)
	}
}

func TestOldTablesAreNotChanged(t *testing.T) {
	before := New("a1", "a").WithHeard(beat("a2", "a", 1), 10)
	_ = before.WithHeard(beat("a3", "a", 1), 20).WithForgotten(nil, 20+forgetSilence+1)
	if diff := cmp.Diff(1, len(before.Rows())); diff != "" {
		t.Error(diff)
	}
}
