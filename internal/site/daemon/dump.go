package daemon

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
)

// dumpTimeout bounds the wait for the owner's part of the state.
const dumpTimeout clock.Millis = 2 * clock.Second

// entryState is the body of GET /state, for operators.
type entryState struct {
	Entry      string             `json:"entry"`
	Domain     string             `json:"failure_domain"`
	Ready      bool               `json:"ready"`
	Leaving    bool               `json:"leaving"`
	Manifest   int64              `json:"manifest"`
	TablesAge  clock.Millis       `json:"tables_age_ms"`               // since the store last answered a read of the tables
	ProofAge   clock.Millis       `json:"proof_age_ms"`                // since the tables were proven to be the newest; negative: never
	ProofBound clock.Millis       `json:"proof_bound_ms"`              // beyond it, calls that need a key are refused; 0: none
	Problems   []manifest.Problem `json:"customer_problems,omitempty"` // of the manifest's customers
	Owner      string             `json:"owner"`
	OwnerEpoch int64              `json:"owner_epoch"`
	OwnerAge   clock.Millis       `json:"owner_heard_ms"` // negative: no answer yet
	StoreAge   clock.Millis       `json:"store_age_ms"`   // since the store last answered this entry
	LinesLost  int64              `json:"log_lines_dropped"`
	Links      []linkshard.Status `json:"links,omitempty"` // of the owner only
	Cell       *owner.Dump        `json:"cell,omitempty"`  // of the owner only
}

func (d *Daemon) state(ctx context.Context) entryState {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout.Duration())
	defer cancel()
	record := d.elector.Current()
	state := entryState{
		Entry: d.settings.Name, Domain: d.settings.Domain, Ready: d.ready(), Leaving: d.leaving.Load(),
		Manifest: d.tables.Current().Manifest.Version, TablesAge: d.tables.ContactAge(),
		ProofAge: d.access.ProofAge(), ProofBound: d.access.Bound(), Problems: d.tables.Current().Manifest.CustomerProblems(),
		Owner: record.Name, OwnerEpoch: record.Epoch, OwnerAge: d.elector.OwnerContactAge(record.Epoch),
		StoreAge: d.elector.StoreAge(), LinesLost: d.sink.Dropped.Load(),
	}
	if pool := d.pool.Load(); pool != nil {
		state.Links = pool.Status()
	}
	if run := d.localOwner.Load(); run != nil {
		if cell, ok := run.Dump(ctx); ok {
			state.Cell = &cell
		}
	}
	return state
}
