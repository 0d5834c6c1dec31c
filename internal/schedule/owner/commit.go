package owner

import (
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Keys and key prefixes of the cell's records.
const (
	keySpec         = "s/" // + job id: the job's specification
	keyProgress     = "p/" // + job id: the job's progress; + "/" + number: a further record of it
	keyHeartbeat    = "beat"
	keyInterference = "harm"
	keyUnresponsive = "silence" // + "/" + number: a further record of the list
	keyAttempts     = "a/"      // + queue name: failed runs of a task after which its job fails, by the newest tables that had the queue
	keyDurations    = "durations"
)

// batch is a group of changes for one append.
type batch struct {
	jobs             []*jobState      // changed jobs, in the sequence of their first change
	encodedStates    []job.State      // states of these jobs as encoded
	removals         []journal.Record // deletions of the records of expired jobs
	otherRecords     []journal.Record // records that belong to no job
	unresponsiveList []journal.Record // newest list of unresponsive workers; nil: none
	listNumber       int              // its number
	onAck            []func()         // actions to run once the append is acknowledged
	heartbeat        bool             // append even if nothing changed
}

// hasRecords reports whether the batch needs an append.
func (b *batch) hasRecords() bool {
	return len(b.jobs) > 0 || len(b.removals) > 0 || len(b.otherRecords) > 0 || b.unresponsiveList != nil || b.heartbeat
}

func (b *batch) empty() bool { return !b.hasRecords() && len(b.onAck) == 0 }

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

// recordReserve is the number of bytes that are left free in a record for its frame and
// the encoding around the entries of its value.
const recordReserve = 64

// recordInterference adds changed interference estimates to the next append,
// once a period.
func (o *Owner) recordInterference() {
	if o.now < o.nextInterferenceRecordAt || !o.interference.Changed() {
		return
	}
	o.nextInterferenceRecordAt = o.now + interferenceRecordPeriod
	data, err := o.interference.Encode(o.options.Limits.RecordBytes - len(keyInterference) - recordReserve)
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

// records encodes the records of a batch, with its jobs as they are now. The list of
// unresponsive workers comes first, so that one append holds all of it.
func (o *Owner) records(source *batch) []journal.Record {
	records := slices.Concat(source.unresponsiveList, source.removals, source.otherRecords)
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

// jobRecords encodes the changed records of a job.
func (o *Owner) jobRecords(j *jobState) []journal.Record {
	var records []journal.Record
	if j.specUnsent {
		j.specUnsent = false
		data, err := job.EncodeSpec(j.spec)
		records = append(records, o.encodedRecord(j, keySpec+string(j.spec.ID), data, err))
	}
	return append(records, o.progressRecords(j)...)
}

// RecordsRefused handles the keys of the records of the append in flight that the store
// has refused for their form. Call it before Appended. They are not sent again: a job
// without its record could start a task twice, so it fails.
func (o *Owner) RecordsRefused(keys []string) {
	if len(keys) == 0 || !o.beginInput() || o.inFlight == nil {
		return
	}
	for _, key := range keys {
		if isListKey(key) {
			o.inFlight.unresponsiveList = nil // it must not count as recorded
		}
		if j := o.jobOfKey(key); j != nil {
			o.failRefused(j, key)
		}
	}
}

// jobOfKey returns the job that a record belongs to, or nil.
func (o *Owner) jobOfKey(key string) *jobState {
	if id, ok := strings.CutPrefix(key, keySpec); ok {
		return o.jobs[job.ID(id)]
	}
	if name, ok := strings.CutPrefix(key, keyProgress); ok {
		id, _, _ := parseProgressKey(name)
		return o.jobs[id]
	}
	return nil
}

// failRefused fails a job whose record the store has refused. From then on only its
// state is recorded, and nothing once that is refused, too.
func (o *Owner) failRefused(j *jobState, key string) {
	j.refusals++
	if j.refusals > 1 {
		return
	}
	o.options.Log.Error().Str("event", "job_not_recordable").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
		Str("key", key).Int("tasks", j.spec.TaskCount()).Int64("epoch", o.options.Epoch).Send()
	if !j.durable {
		o.options.Metrics.Refused("store")
		o.replyAll(j, Verdict{Ruling: Invalid, Reason: "the store refuses the job's record"})
	}
	if !j.state.Final() {
		o.endJob(j, job.Failed, "the store refuses its record")
	}
	o.markChanged(j)
	o.whenRecorded(func() { o.stopJob(j, "job failed") })
}

// finalSpec returns the value that replaces a final job's specification: one without
// steps that keeps the customer, or nil, which removes the record, if there is none.
func (o *Owner) finalSpec(j *jobState) []byte {
	if j.spec.Customer == "" {
		return nil
	}
	data, err := job.EncodeSpec(job.Spec{ID: j.spec.ID, Queue: j.spec.Queue, AcceptedMS: j.spec.AcceptedMS, Customer: j.spec.Customer})
	if err != nil {
		o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("cannot encode the customer of a final job")
	}
	return data
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
			o.removeRecords(j)
		}
	}
	o.forgetAttempts()
}
