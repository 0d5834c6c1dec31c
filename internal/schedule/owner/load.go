package owner

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Load takes over what former owners recorded. It is called once, after the
// ownership was won and before any other input: from then on nobody else can
// append, so the records are consistent.
//
// Recorded runs count as perhaps at work until their workers have answered.
func (o *Owner) Load(records []journal.Stored) error {
	o.enter()
	progress := map[string]job.Progress{}
	for _, record := range records {
		if err := o.loadRecord(record.Record, progress); err != nil {
			return errors.WithMessagef(err, "load %s", record.Key)
		}
	}
	for id, kept := range progress {
		o.loadProgress(job.ID(id), kept)
	}
	runs := 0
	for _, j := range o.jobs {
		j.durable = true
		j.takenAt = o.now - o.age(j)
		j.movedAt = o.now
		j.objects = o.objective(j)
		j.shown = j.state
		runs += j.runs
	}
	o.options.Log.Info().Str("event", "state_loaded").Int64("epoch", o.options.Epoch).
		Int("records", len(records)).Int("jobs", len(o.jobs)).Int("runs", runs).Send()
	o.placeDue = true
	o.silenceDue = true
	return nil
}

// age returns how long ago a job was accepted, by the time of day.
func (o *Owner) age(j *jobState) clock.Millis {
	const oldest = 10 * clock.Minute // the time of day may have jumped
	return min(max(clock.Millis(o.options.Wall()-j.spec.AcceptedMS), 0), oldest)
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
		kept, err := job.DecodeProgress(record.Value)
		progress[id] = kept
		return err
	}
	switch record.Key {
	case keyHarm:
		return o.harm.Load(record.Value)
	case keySilence:
		return o.loadSilence(record.Value)
	}
	return nil
}

// loadProgress applies a job's progress to its state.
func (o *Owner) loadProgress(id job.ID, kept job.Progress) {
	j := o.jobs[id]
	if j == nil {
		// Its specification was removed, because nothing of it is left to run.
		j = &jobState{spec: job.Spec{ID: id}, specGone: true}
		o.jobs[id] = j
	}
	j.state = kept.State
	j.cancel = kept.Canceled
	j.endedMS = kept.EndedMS
	next := 0
	for i := range j.steps {
		step := &j.steps[i]
		for k := range step.tasks {
			if next < len(kept.Tasks) {
				o.loadTask(&step.tasks[k], step, kept.Tasks[next])
			}
			next++
		}
		if step.left == 0 {
			j.left--
		}
	}
	j.openSteps(0)
}

func (o *Owner) loadTask(task *taskState, step *stepState, kept job.TaskProgress) {
	task.number = kept.Run
	task.failures = kept.Failures
	task.checkpoint = kept.Checkpoint
	task.phase = kept.Phase
	task.job.began = task.job.began || kept.Run > 0
	switch kept.Phase {
	case job.Waiting:
	case job.Done:
		step.left--
		step.waiting--
	case job.Assigned:
		step.waiting--
		r := &run{task: task, number: kept.Run, born: kept.Born, stage: stageInherited, unanswered: true, pace: fullPace}
		if step.spec.Fills {
			r.pace = unknownPace // a former owner may have made it stand still
		}
		o.attach(r, o.inherit(kept.Worker, kept.Born))
	}
}
