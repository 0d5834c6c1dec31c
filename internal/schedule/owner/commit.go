package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Keys and key prefixes of the cell's records.
const (
	keySpec         = "s/" // + job id: the job's specification
	keyProgress     = "p/" // + job id: the job's progress
	keyHeartbeat    = "beat"
	keyInterference = "harm"
	keyUnresponsive = "silence"
	keyDurations    = "durations"
)

// batch is a group of changes for one append.
type batch struct {
	jobs             []*jobState      // changed jobs, in the sequence of their first change
	encodedStates    []job.State      // states of these jobs as encoded
	removals         []journal.Record // deletions of the records of expired jobs
	otherRecords     []journal.Record // records that belong to no job
	unresponsiveList []byte           // newest list of unresponsive workers; nil: none
	listNumber       int              // its number
	onAck            []func()         // actions to run once the append is acknowledged
	heartbeat        bool             // append even if nothing changed
}

// hasRecords reports whether the batch needs an append.
func (b *batch) hasRecords() bool {
	return len(b.jobs) > 0 || len(b.removals) > 0 || len(b.otherRecords) > 0 || b.unresponsiveList != nil || b.heartbeat
}

func (b *batch) empty() bool { return !b.hasRecords() && len(b.onAck) == 0 }

// markChanged adds a job to the batch for the next append.
func (o *Owner) markChanged(j *jobState) {
	if j.changed {
		return
	}
	j.changed = true
	o.batch.jobs = append(o.batch.jobs, j)
}

// whenRecorded runs an action once all decisions so far are recorded, at once
// if they are.
func (o *Owner) whenRecorded(action func()) {
	if o.batch.empty() && o.inFlight == nil {
		action()
		return
	}
	o.batch.onAck = append(o.batch.onAck, action)
}

// Timing of the removal of final states.
const (
	expiryPeriod clock.Millis = 5 * clock.Second  // time between checks for expired final states
	expiryMargin clock.Millis = 30 * clock.Second // kept beyond the platform's retention time
)

// scheduleHeartbeat requests an append if there was none for a heartbeat
// period, so that other entries see that the ownership is in use.
func (o *Owner) scheduleHeartbeat() {
	if o.inFlight == nil && o.now-o.ownershipConfirmedAt >= o.options.Times.Heartbeat {
		o.batch.heartbeat = true
	}
}

// interferenceRecordPeriod is the time between records of the interference
// estimates, which the next owner would otherwise have to learn again.
const interferenceRecordPeriod clock.Millis = 4 * clock.Second

// recordInterference adds changed interference estimates to the next append,
// once a period.
func (o *Owner) recordInterference() {
	if o.now < o.nextInterferenceRecordAt || !o.interference.Changed() {
		return
	}
	o.nextInterferenceRecordAt = o.now + interferenceRecordPeriod
	data, err := o.interference.Encode()
	if err != nil {
		o.options.Log.Error().Err(err).Msg("cannot encode the interference estimates")
		return
	}
	o.batch.otherRecords = append(o.batch.otherRecords, journal.Record{Key: keyInterference, Value: data})
}

// flush places tasks and starts an append, unless one is in flight or was sent
// too recently.
func (o *Owner) flush() {
	if o.resigned || o.inFlight != nil || o.now < o.nextAppendAt {
		return
	}
	if o.placementDue {
		o.placementDue = false
		o.runPlacementPass()
	}
	if o.unresponsiveChanged {
		o.recordUnresponsive() // so that workers back in contact wait for one append only
	}
	if o.batch.empty() {
		return
	}
	if !o.batch.hasRecords() {
		actions := o.batch.onAck
		o.batch = batch{}
		runAll(actions)
		return
	}
	current := o.batch
	o.batch = batch{}
	o.inFlight = &current
	o.appendSentAt = o.now
	o.nextAppendAt = o.now + o.options.Times.AppendGap
	o.options.Effects.Append(o.records(&current))
}

// records encodes the records of a batch, with its jobs as they are now.
func (o *Owner) records(source *batch) []journal.Record {
	records := append(source.removals, source.otherRecords...)
	if source.unresponsiveList != nil {
		records = append(records, journal.Record{Key: keyUnresponsive, Value: source.unresponsiveList})
	}
	for _, j := range source.jobs {
		j.changed = false
		source.encodedStates = append(source.encodedStates, j.state)
		records = append(records, o.jobRecords(j)...)
	}
	if len(records) == 0 {
		records = append(records, journal.Record{Key: keyHeartbeat, Value: []byte{1}})
	}
	return records
}

func (o *Owner) jobRecords(j *jobState) []journal.Record {
	var records []journal.Record
	if j.specUnsent {
		j.specUnsent = false
		data, err := job.EncodeSpec(j.spec)
		if err != nil {
			o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("cannot encode the job specification")
		}
		records = append(records, journal.Record{Key: keySpec + string(j.spec.ID), Value: data})
	}
	progress := j.progress()
	data, err := job.EncodeProgress(progress)
	if err != nil {
		o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("cannot encode the job progress")
	}
	records = append(records, journal.Record{Key: keyProgress + string(j.spec.ID), Value: data})
	// A final job without runs needs only its state.
	if len(progress.Tasks) == 0 && !j.specRemoved {
		j.specRemoved = true
		records = append(records, journal.Record{Key: keySpec + string(j.spec.ID)})
	}
	return records
}

// Appended handles the final outcome of the append in flight: Done or
// Superseded. The caller retries the append until it has one of them.
func (o *Owner) Appended(outcome journal.Outcome) {
	if !o.beginInput() || o.inFlight == nil {
		return
	}
	if outcome != journal.Done {
		o.resign("append: " + outcome.String())
		return
	}
	acknowledged := o.inFlight
	o.inFlight = nil
	o.ownershipConfirmedAt = o.appendSentAt
	o.options.Metrics.Appends.Inc()
	o.options.Metrics.AppendTime.Observe(o.now - o.appendSentAt)
	for i, j := range acknowledged.jobs {
		j.durable = true
		j.recordedState = acknowledged.encodedStates[i]
	}
	o.noteListRecorded(acknowledged)
	runAll(acknowledged.onAck)
	o.flush()
}

func runAll(actions []func()) {
	for _, action := range actions {
		action()
	}
}

// removeExpiredJobs removes jobs whose final state has been kept for the
// retention time.
func (o *Owner) removeExpiredJobs() {
	if o.now < o.nextExpiryAt {
		return
	}
	o.nextExpiryAt = o.now + expiryPeriod
	oldest := o.now - o.options.Times.StatusKept - expiryMargin
	for id, j := range o.jobs {
		if j.state.Final() && j.runs == 0 && !j.changed && j.endedAt < oldest {
			delete(o.jobs, id)
			o.removeRecords(id)
		}
	}
}
