package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Keys of the cell's records.
const (
	keySpec     = "s/" // + job id: its specification
	keyProgress = "p/" // + job id: what changes of it
	keyBeat     = "beat"
	keyHarm     = "harm"
	keySilence  = "silence"
)

// batch is a group of changes that one append keeps.
type batch struct {
	jobs    []*jobState      // changed, in order of their first change
	states  []job.State      // of these jobs, as encoded
	removed []journal.Record // keys of forgotten jobs
	extra   []journal.Record // other records
	then    []func()         // done once the append is acknowledged
	beat    bool             // written even if nothing changed
}

// writes reports whether the batch has anything to record.
func (b *batch) writes() bool {
	return len(b.jobs) > 0 || len(b.removed) > 0 || len(b.extra) > 0 || b.beat
}

func (b *batch) empty() bool { return !b.writes() && len(b.then) == 0 }

// touch marks a job as changed.
func (o *Owner) touch(j *jobState) {
	if j.dirty {
		return
	}
	j.dirty = true
	o.batch.jobs = append(o.batch.jobs, j)
}

// after plans an action for when everything decided so far is recorded.
func (o *Owner) after(act func()) {
	if o.batch.empty() && o.inFlight == nil {
		act()
		return
	}
	o.batch.then = append(o.batch.then, act)
}

// Times of forgetting final states.
const (
	sweepPeriod clock.Millis = 5 * clock.Second
	sweepMargin clock.Millis = 30 * clock.Second // beyond what the platform asks for
)

// keepAlive makes the owner write now and then, so that others see it.
func (o *Owner) keepAlive() {
	if o.inFlight == nil && o.now-o.ackedAt >= o.options.Times.Heartbeat {
		o.batch.beat = true
	}
}

// harmPeriod is the time between records of the estimates of harm, which save
// the next owner from learning them anew.
const harmPeriod clock.Millis = 4 * clock.Second

// keepHarm records the estimates of harm now and then.
func (o *Owner) keepHarm() {
	if o.now < o.harmAt || !o.harm.Changed() {
		return
	}
	o.harmAt = o.now + harmPeriod
	data, err := o.harm.Encode()
	if err != nil {
		o.options.Log.Error().Err(err).Msg("estimates of harm cannot be encoded")
		return
	}
	o.batch.extra = append(o.batch.extra, journal.Record{Key: keyHarm, Value: data})
}

// flush places tasks and starts an append, unless one is under way.
func (o *Owner) flush() {
	if o.gone || o.inFlight != nil || o.now < o.nextAt {
		return
	}
	if o.placeDue {
		o.placeDue = false
		o.place()
	}
	if o.batch.empty() {
		return
	}
	if !o.batch.writes() {
		done := o.batch.then
		o.batch = batch{}
		runAll(done)
		return
	}
	current := o.batch
	o.batch = batch{}
	o.inFlight = &current
	o.sentAt = o.now
	o.nextAt = o.now + o.options.Times.AppendGap
	o.options.Effects.Append(o.records(&current))
}

// records encodes the changed jobs as they are now.
func (o *Owner) records(from *batch) []journal.Record {
	records := append(from.removed, from.extra...)
	for _, j := range from.jobs {
		j.dirty = false
		from.states = append(from.states, j.state)
		records = append(records, o.recordsOf(j)...)
	}
	if len(records) == 0 {
		records = append(records, journal.Record{Key: keyBeat, Value: []byte{1}})
	}
	return records
}

func (o *Owner) recordsOf(j *jobState) []journal.Record {
	var records []journal.Record
	if j.newSpec {
		j.newSpec = false
		data, err := job.EncodeSpec(j.spec)
		if err != nil {
			o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("specification cannot be encoded")
		}
		records = append(records, journal.Record{Key: keySpec + string(j.spec.ID), Value: data})
	}
	progress := j.progress()
	data, err := job.EncodeProgress(progress)
	if err != nil {
		o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("progress cannot be encoded")
	}
	records = append(records, journal.Record{Key: keyProgress + string(j.spec.ID), Value: data})
	if len(progress.Tasks) == 0 && !j.specGone {
		j.specGone = true
		records = append(records, journal.Record{Key: keySpec + string(j.spec.ID)})
	}
	return records
}

// Appended takes the outcome of the append under way. Done and Superseded are
// the outcomes that end it; the caller repeats it until one of them is known.
func (o *Owner) Appended(outcome journal.Outcome) {
	if !o.enter() || o.inFlight == nil {
		return
	}
	if outcome != journal.Done {
		o.resign("append: " + outcome.String())
		return
	}
	kept := o.inFlight
	o.inFlight = nil
	o.ackedAt = o.sentAt
	o.options.Counts.Appends.Inc()
	o.options.Counts.AppendTime.Observe(o.now - o.sentAt)
	for i, j := range kept.jobs {
		j.durable = true
		j.shown = kept.states[i]
	}
	runAll(kept.then)
	o.flush()
}

func runAll(acts []func()) {
	for _, act := range acts {
		act()
	}
}

// sweep forgets jobs whose final state has been kept long enough.
func (o *Owner) sweep() {
	if o.now < o.sweepAt {
		return
	}
	o.sweepAt = o.now + sweepPeriod
	oldest := o.options.Wall() - int64(o.options.Times.StatusKept) - int64(sweepMargin)
	for id, j := range o.jobs {
		if j.state.Final() && j.runs == 0 && !j.dirty && j.endedMS < oldest {
			delete(o.jobs, id)
			o.forget(id)
		}
	}
}
