package ownership

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// TestStopEvidence checks which reasons to claim show that the previous owner has
// stopped.
func TestStopEvidence(t *testing.T) {
	want := map[claimReason]owner.StopEvidence{
		neverOwned: owner.NeverOwned, released: owner.StopReleased, notOwning: owner.StopNotOwning,
		processEnded: owner.StopProcessEnded, previousProcess: owner.NotStopped, otherEpoch: owner.NotStopped,
		refusesConnections: owner.NotStopped, unresponsive: owner.NotStopped, notLoaded: owner.NotStopped, storeless: owner.NotStopped,
	}
	got := map[claimReason]owner.StopEvidence{}
	for reason := range want {
		got[reason] = reason.stopEvidence()
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("evidence by reason (-want +got):\n%s", diff)
	}
}

// TestNotOwningLine checks the line on an entry that has claimed the cell and
// answers before it knows.
func TestNotOwningLine(t *testing.T) {
	var log bytes.Buffer
	e := New(Options{Cell: "0", Logger: zerolog.New(&log)})
	e.logNotOwning(Record{Epoch: 7, Name: "a"}, peer.PingAnswer{Epoch: 6}, 40)
	want := `{"level":"warn","event":"owner_not_owning","cell":"0","epoch":7,"owner":"a","answered_owner":false,"answered_epoch":6,"watched_ms":40}` + "\n"
	if diff := cmp.Diff(want, log.String()); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}
