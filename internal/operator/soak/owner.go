package soak

import (
	"context"
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
)

// Times of watching the owner.
const (
	ownerPoll  clock.Millis = 5000 // of one long poll
	ownerRetry clock.Millis = 100
)

// ownerChange is a record of the owners' topic, with the time at which it was read.
type ownerChange struct {
	At       clock.Millis `json:"at_ms"`
	Epoch    int64        `json:"epoch"`
	Entry    string       `json:"entry"`
	Released bool         `json:"released,omitempty"`
}

// ownerWatch follows the owners' topic at the store itself.
type ownerWatch struct {
	log   journal.Log
	clock clock.Clock

	mu      sync.Mutex
	changes []ownerChange
}

// serve follows the topic until the context ends.
func (o *ownerWatch) serve(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		page := o.log.Read(ctx, journal.Read{Topic: ownersTopic, From: from, WaitMS: int64(ownerPoll)})
		if page.Outcome != journal.Done {
			_ = o.clock.Sleep(ctx, ownerRetry) // the loop ends with the context
			continue
		}
		for _, record := range page.Records {
			o.record(record.Record)
		}
		from = page.Next()
	}
}

func (o *ownerWatch) record(record journal.Record) {
	var owner ownership.Record
	if codec.Unmarshal(record.Value, &owner) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, ownerChange{At: o.clock.Now(), Epoch: owner.Epoch, Entry: owner.Name, Released: owner.Released})
}

// all returns all changes so far.
func (o *ownerWatch) all() []ownerChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]ownerChange{}, o.changes...)
}

// current returns the newest change, or the zero value.
func (o *ownerWatch) current() ownerChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.changes) == 0 {
		return ownerChange{}
	}
	return o.changes[len(o.changes)-1]
}
