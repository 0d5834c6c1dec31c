package owner

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// An owner records which workers are silent and how long leases there can still
// run, and renews no lease there until a record says otherwise. So the next
// owner need not wait for the longest lease that might have been granted.

// silence is the durable list of silent workers.
type silence struct {
	_       struct{} `cbor:",toarray"`
	Epoch   int64    // of the owner that wrote it
	Workers []silentWorker
}

// silentWorker is a worker whose runs are over after the remaining time.
type silentWorker struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Remaining clock.Millis
}

// silencePeriod is the time between records of the list while a worker is
// silent; what is left of its lease gets shorter meanwhile.
const silencePeriod clock.Millis = 500

// formerSpan is how long a run may go on under leases of a former owner that
// may still be renewing them.
func (o *Owner) formerSpan() clock.Millis {
	t := o.options.Times
	return t.HoldTime + o.leaseSpan()
}

// leaseSpan is how long a lease that was just granted can last.
func (o *Owner) leaseSpan() clock.Millis {
	t := o.options.Times
	return t.Lease + t.Lease*driftPercent/100 + t.Slack
}

// loadSilence takes a former owner's list.
func (o *Owner) loadSilence(data []byte) error {
	var list silence
	if err := codec.Unmarshal(data, &list); err != nil {
		return errors.WithMessage(err, "silent workers")
	}
	o.formerKnown = list.Epoch == o.options.Epoch-1
	for _, kept := range list.Workers {
		w := o.inherit(kept.ID, 0)
		w.silent = true
		w.bound = min(w.bound, o.claimed+kept.Remaining)
	}
	return nil
}

// FormerGone tells that the former owner renews leases no more: its process has
// ended, or follows this owner.
func (o *Owner) FormerGone() {
	if !o.enter() || !o.formerKnown || o.formerGone {
		return
	}
	o.formerGone = true
	o.options.Log.Info().Str("event", "former_owner_gone").Int64("epoch", o.options.Epoch).
		Int64("after_ms", int64(o.now-o.claimed)).Send()
	for _, w := range o.ordered {
		if w.contactAt == 0 {
			w.bound = min(w.bound, o.now+o.leaseSpan())
		}
	}
}

// noteSilent stops renewing a worker's lease.
func (o *Owner) noteSilent(w *worker) {
	if w.silent {
		return
	}
	w.silent = true
	o.silenceDue = true
}

// noteHeard takes a worker off the list of silent ones. Its lease may be renewed
// again once that is recorded.
func (o *Owner) noteHeard(w *worker) {
	if !w.silent {
		return
	}
	w.silent = false
	w.trusted = false
	o.silenceDue = true
	o.heard = append(o.heard, w)
}

// keepSilence adds the list of silent workers to the next append, if it changed.
func (o *Owner) keepSilence() {
	again := len(o.silentRuns) > 0 && o.now-o.silenceAt >= silencePeriod
	if !o.silenceDue && !again {
		return
	}
	o.silenceDue = false
	o.silenceAt = o.now
	data, err := codec.Marshal(o.silence())
	if err != nil {
		o.options.Log.Error().Err(err).Msg("silent workers cannot be encoded")
		return
	}
	o.batch.extra = append(o.batch.extra, journal.Record{Key: keySilence, Value: data})
	heard := o.heard
	o.heard = nil
	o.batch.then = append(o.batch.then, func() {
		for _, w := range heard {
			w.trusted = w.trusted || !w.silent
		}
	})
}

// silence lists the workers that this owner does not reach, and how long runs
// can last there.
func (o *Owner) silence() silence {
	list := silence{Epoch: o.options.Epoch}
	defer func() { o.silentRuns = list.Workers }()
	for _, w := range o.ordered {
		switch {
		case w.contactAt == 0 && len(w.runs) > 0:
			w.silent = true
			list.Workers = append(list.Workers, silentWorker{ID: w.id, Remaining: max(w.bound-o.now, 0)})
		case w.silent && w.contactAt != 0:
			remaining := clock.Millis(w.untilMS - w.clockNow(o.now))
			remaining += max(remaining, 0)*driftPercent/100 + o.options.Times.Slack
			list.Workers = append(list.Workers, silentWorker{ID: w.id, Remaining: max(remaining, 0)})
		}
	}
	return list
}
