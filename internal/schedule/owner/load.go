package owner

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Fenced records that the store has confirmed the record that fences earlier owners,
// after a number of attempts. Until then the previous owner may have renewed leases
// and recorded what is left of them, so both count from now. Call it before the
// records are read.
func (o *Owner) Fenced(attempts int) {
	if !o.beginInput() {
		return
	}
	o.fenced, o.fencedAt = true, o.now
	o.options.Metrics.FenceTime.Observe(o.now - o.claimedAt)
	o.options.Log.Info().Str("event", "cell_fenced").Int64("epoch", o.options.Epoch).
		Int64("since_claim_ms", int64(o.now-o.claimedAt)).Int("attempts", attempts).Send()
}

// Load restores the state that previous owners recorded. Call it once, after Fenced
// and before any other input: no other owner can append from then on, so the records
// are consistent.
//
// Recorded runs may be executing until their workers have answered.
func (o *Owner) Load(records []journal.Stored) error {
	if o.beginInput(); !o.fenced {
		return errors.New("load before the fence")
	}
	progress := map[job.ID]*storedProgress{}
	lists := map[string][]byte{}
	for _, record := range records {
		if err := o.loadRecord(record.Record, progress, lists); err != nil {
			return errors.WithMessagef(err, "load %s", record.Key)
		}
	}
	if err := o.loadUnresponsiveLists(lists); err != nil {
		return err
	}
	for id, recorded := range progress {
		o.loadProgress(id, recorded)
	}
	o.dropExpired(progress)
	runs := 0
	for _, j := range o.jobs {
		o.completeLoaded(j)
		runs += j.runs
	}
	o.options.Log.Info().Str("event", "state_loaded").Int64("epoch", o.options.Epoch).
		Int("records", len(records)).Int("jobs", len(o.jobs)).Int("runs", runs).
		Int64("since_claim_ms", int64(o.now-o.claimedAt)).Int64("read_ms", int64(age(o.fencedAt, o.now))).
		Int64("previous_renew_window_ms", int64(o.options.PreviousRenewWindow)).Int64("previous_lease_span_ms", int64(o.previousOwnerLeaseSpan())).
		Int64("list_epoch", o.loadedList.epoch).Int("list_workers", o.loadedList.workers).
		Int64("least_rest_ms", int64(o.loadedList.leastRest)).Int64("most_rest_ms", int64(o.loadedList.mostRest)).Send()
	o.noteAttemptsOfJobs()
	o.placementDue = true
	o.unresponsiveChanged = true
	return nil
}

// completeLoaded sets the state of a loaded job that is not recorded.
func (o *Owner) completeLoaded(j *jobState) {
	if len(j.parts.changed) == 0 { // no record of its progress
		j.parts = undividedProgress(j.spec.TaskCount())
	}
	j.durable = true
	j.submittedAt = o.now - o.timeSince(j.spec.AcceptedMS)
	j.lastPlacementChangeAt = o.now
	j.deadlines = o.objective(j)
	j.recordedState = j.state
}

// dropExpired removes the rest of jobs that an earlier owner removed as expired, if the
// append with the last removal was not done: only their customer is still recorded.
func (o *Owner) dropExpired(progress map[job.ID]*storedProgress) {
	for id, j := range o.jobs {
		if _, known := progress[id]; !known && j.specRemoved {
			delete(o.jobs, id)
			o.batch.removals = append(o.batch.removals, journal.Record{Key: keySpec + string(id)})
		}
	}
}

// timeSince returns how long ago a Unix time was, by the wall clock.
func (o *Owner) timeSince(unixMS int64) clock.Millis {
	const maxAge = 10 * clock.Minute // ages above it are cut off, as the wall clock may have jumped
	return min(max(clock.Millis(o.options.WallClock()-unixMS), 0), maxAge)
}

func (o *Owner) loadRecord(record journal.Record, progress map[job.ID]*storedProgress, lists map[string][]byte) error {
	if id, ok := strings.CutPrefix(record.Key, keySpec); ok {
		return o.loadSpec(job.ID(id), record.Value)
	}
	if name, ok := strings.CutPrefix(record.Key, keyProgress); ok {
		return loadProgressRecord(name, record.Value, progress)
	}
	if name, ok := strings.CutPrefix(record.Key, keyAttempts); ok {
		return o.loadAttempts(name, record.Value)
	}
	if isListKey(record.Key) {
		lists[record.Key] = record.Value
		return nil
	}
	switch record.Key {
	case keyInterference:
		return o.interference.Load(record.Value)
	case keyDurations:
		o.loadDurations(record.Value)
	}
	return nil
}

// loadSpec adds the job of a recorded specification.
func (o *Owner) loadSpec(id job.ID, data []byte) error {
	spec, err := job.DecodeSpec(data)
	if err != nil {
		return err
	}
	j := newJob(spec)
	j.account, j.excess = o.quotas.Account(spec.Customer), spec.Excess
	j.specRemoved = len(spec.Steps) == 0
	o.jobs[id] = j
	return nil
}

// loadProgressRecord decodes a record of a job's progress.
func loadProgressRecord(name string, data []byte, progress map[job.ID]*storedProgress) error {
	id, number, ok := parseProgressKey(name)
	if !ok {
		return nil // of a newer version
	}
	stored := progress[id]
	if stored == nil {
		stored = &storedProgress{parts: map[int]job.ProgressPart{}}
		progress[id] = stored
	}
	if number == 0 {
		first, err := job.DecodeProgress(data)
		stored.first = &first
		return err
	}
	part, err := job.DecodeProgressPart(data)
	stored.parts[number] = part
	return err
}

// loadProgress applies a job's recorded progress to its state.
func (o *Owner) loadProgress(id job.ID, recorded *storedProgress) {
	j := o.jobs[id]
	if j == nil {
		// Its specification was removed because the job is final and has no runs. Else
		// only a part of its first records was appended, and no caller has an answer.
		j = &jobState{spec: job.Spec{ID: id}, specRemoved: true}
		if !recorded.finished() {
			j.parts.stored = recorded.lastPart()
			o.removeRecords(j)
			return
		}
		o.jobs[id] = j
	}
	if first := recorded.first; first != nil {
		j.state = first.State
		j.cancelled = first.CancelAccepted
		j.endedMS = first.EndedMS
		j.endedAt = o.now - o.timeSince(j.endedMS)
	}
	count := j.spec.TaskCount()
	j.parts = recorded.layout(count, o.tasksPerRecord())
	if recorded.finished() {
		o.batch.removals = append(o.batch.removals, o.takeRemovals(j)...)
		return
	}
	o.loadTasks(j, recorded.merged(count))
	if j.state == job.Queued && j.hasStarted {
		j.state = job.Running // the first record is appended last
		o.markChanged(j)
	}
	j.markStepsReady(0)
}

// loadTasks applies the recorded progress of a job's tasks.
func (o *Owner) loadTasks(j *jobState, recorded []job.TaskProgress) {
	for i := range j.steps {
		step := &j.steps[i]
		for k := range step.tasks {
			o.loadTask(&step.tasks[k], step, recorded[step.firstTask+k])
		}
		if step.unfinished == 0 {
			j.unfinished--
		}
	}
}

func (o *Owner) loadTask(task *taskState, step *stepState, recorded job.TaskProgress) {
	task.runNumber = recorded.Run
	task.failures = recorded.Failures
	task.checkpoint = recorded.Checkpoint
	task.phase = recorded.Phase
	task.job.hasStarted = task.job.hasStarted || recorded.Run > 0
	switch recorded.Phase {
	case job.Waiting:
	case job.Done:
		step.unfinished--
		step.waiting--
	case job.Assigned:
		step.waiting--
		r := &run{task: task, runNumber: recorded.Run, incarnation: recorded.Incarnation, stage: stageInherited, startUnanswered: true, pace: fullPace}
		if step.spec.Fills {
			r.pace = unknownPace // a previous owner may have paused it
		}
		o.attach(r, o.inheritedWorker(recorded.Worker, recorded.Incarnation))
	}
}
