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
	progress := map[string]job.Progress{}
	for _, record := range records {
		if err := o.loadRecord(record.Record, progress); err != nil {
			return errors.WithMessagef(err, "load %s", record.Key)
		}
	}
	for id, recorded := range progress {
		o.loadProgress(job.ID(id), recorded)
	}
	runs := 0
	for _, j := range o.jobs {
		j.durable = true
		j.submittedAt = o.now - o.timeSince(j.spec.AcceptedMS)
		j.lastPlacementChangeAt = o.now
		j.deadlines = o.objective(j)
		j.recordedState = j.state
		runs += j.runs
	}
	o.options.Log.Info().Str("event", "state_loaded").Int64("epoch", o.options.Epoch).
		Int("records", len(records)).Int("jobs", len(o.jobs)).Int("runs", runs).
		Int64("since_claim_ms", int64(o.now-o.claimedAt)).Int64("read_ms", int64(age(o.fencedAt, o.now))).
		Int64("list_epoch", o.loadedList.epoch).Int("list_workers", o.loadedList.workers).
		Int64("least_rest_ms", int64(o.loadedList.leastRest)).Int64("most_rest_ms", int64(o.loadedList.mostRest)).Send()
	o.placementDue = true
	o.unresponsiveChanged = true
	return nil
}

// timeSince returns how long ago a Unix time was, by the wall clock.
func (o *Owner) timeSince(unixMS int64) clock.Millis {
	const maxAge = 10 * clock.Minute // ages above it are cut off, as the wall clock may have jumped
	return min(max(clock.Millis(o.options.WallClock()-unixMS), 0), maxAge)
}

func (o *Owner) loadRecord(record journal.Record, progress map[string]job.Progress) error {
	if id, ok := strings.CutPrefix(record.Key, keySpec); ok {
		spec, err := job.DecodeSpec(record.Value)
		if err != nil {
			return err
		}
		o.jobs[job.ID(id)] = newJob(spec)
		return nil
	}
	if id, ok := strings.CutPrefix(record.Key, keyProgress); ok {
		decoded, err := job.DecodeProgress(record.Value)
		progress[id] = decoded
		return err
	}
	switch record.Key {
	case keyInterference:
		return o.interference.Load(record.Value)
	case keyDurations:
		o.loadDurations(record.Value)
	case keyUnresponsive:
		return o.loadUnresponsive(record.Value)
	}
	return nil
}

// loadProgress applies a job's recorded progress to its state.
func (o *Owner) loadProgress(id job.ID, recorded job.Progress) {
	j := o.jobs[id]
	if j == nil {
		// Its specification was removed because the job is final and has no runs.
		j = &jobState{spec: job.Spec{ID: id}, specRemoved: true}
		o.jobs[id] = j
	}
	j.state = recorded.State
	j.cancelled = recorded.CancelAccepted
	j.endedMS = recorded.EndedMS
	j.endedAt = o.now - o.timeSince(j.endedMS)
	next := 0
	for i := range j.steps {
		step := &j.steps[i]
		for k := range step.tasks {
			if next < len(recorded.Tasks) {
				o.loadTask(&step.tasks[k], step, recorded.Tasks[next])
			}
			next++
		}
		if step.unfinished == 0 {
			j.unfinished--
		}
	}
	j.markStepsReady(0)
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
