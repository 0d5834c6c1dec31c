package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/duration"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Limits of learning durations from runs.
const (
	maxUnseenTime         clock.Millis = 1500             // longest time between the last report that listed a run and the one with its end; above it, the duration is too uncertain to learn from
	lengthRefresh         clock.Millis = clock.Second     // age from which the cached durations of a step are computed again
	durationsRecordPeriod clock.Millis = 4 * clock.Second // time between records of the learned durations
)

// taskLengths are the likely and the longest plausible duration of a step's tasks.
type taskLengths struct{ likely, late clock.Millis }

// knownLengths are the lengths of a step's tasks, kept for a while.
type knownLengths struct {
	taskLengths
	at clock.Millis // when they were computed; 0: never
}

// kindOf returns the kind of a step's tasks.
func kindOf(j *jobState, step *stepState) duration.Kind {
	return duration.Kind{Queue: j.spec.Queue, Image: step.spec.Image, Declared: clock.Millis(step.spec.EstimateMS)}
}

// taskLength returns the likely duration of a step's tasks.
func (o *Owner) taskLength(j *jobState, step *stepState) clock.Millis {
	return o.taskLengths(j, step).likely
}

// taskLengths returns the durations of a step's tasks: as learned, else as declared.
func (o *Owner) taskLengths(j *jobState, step *stepState) taskLengths {
	if step.length.at != 0 && o.now-step.length.at < lengthRefresh {
		return step.length.taskLengths
	}
	lengths := declaredLengths(step.spec)
	if likely, late, samples := o.durations.Predict(kindOf(j, step)); samples > 0 && !step.spec.Lasting {
		lengths = taskLengths{likely: likely, late: late}
	}
	step.length = knownLengths{taskLengths: lengths, at: o.now}
	return lengths
}

// declaredLengths returns the durations that the declaration of a step allows for.
func declaredLengths(spec *job.Step) taskLengths {
	if spec.EstimateMS == 0 {
		return taskLengths{likely: defaultTaskLength, late: undeclaredLate}
	}
	declared := clock.Millis(spec.EstimateMS)
	return taskLengths{likely: declared, late: declaredLateFactor * declared}
}

// addProcessorTime adds the time since a best-effort run's last report, scaled by the
// share of its requested processors that it used. Call it before reportedAt and usage
// are updated from the report.
func (o *Owner) addProcessorTime(r *run, usage int64) {
	spec := r.task.spec()
	if !spec.Fills || r.startedAt == 0 {
		return
	}
	since := max(r.reportedAt, r.startedAt)
	r.processorTime += float64(o.now-since) * processorShare(spec, usage)
}

// learnDuration adds the duration of a run that is done to the estimates. Left out are
// runs that did only a part of the work or were started by an earlier owner, runs on
// workers that stalled lately, and runs whose end was seen late. Runs on slow workers
// count: isSlow compares with declared durations, which may be wrong.
func (o *Owner) learnDuration(r *run) {
	spec := r.task.spec()
	partial := spec.Checkpointing && r.runNumber > 1
	seenAt := max(r.reportedAt, r.startedAt)
	if spec.Lasting || partial || r.startsSent == 0 || o.now-seenAt > maxUnseenTime || r.worker.stallsInARow > 0 {
		return
	}
	ran := o.now - r.startedAt
	if spec.Fills {
		if r.reportedAt == 0 {
			return // its use of processors is not known
		}
		o.addProcessorTime(r, r.usage)
		ran = clock.Millis(r.processorTime)
	}
	o.durations.Observe(kindOf(r.task.job, &r.task.job.steps[r.task.step]), ran, o.now)
}

// recordDurations adds changed estimates of durations to the next append, at most once
// in durationsRecordPeriod.
func (o *Owner) recordDurations() {
	if o.now < o.nextDurationsRecordAt {
		return
	}
	o.nextDurationsRecordAt = o.now + durationsRecordPeriod
	if !o.durations.Changed() {
		return
	}
	data, err := o.durations.Encode(o.options.Limits.RecordBytes - len(keyDurations) - recordReserve)
	if err != nil {
		o.options.Log.Error().Err(err).Msg("cannot encode the durations")
		return
	}
	o.batch.otherRecords = append(o.batch.otherRecords, journal.Record{Key: keyDurations, Value: data})
}

// loadDurations restores the estimates of an earlier owner. Without them they are
// learned anew, so an unreadable record does not keep the owner from starting.
func (o *Owner) loadDurations(data []byte) {
	if err := o.durations.Load(data, o.now); err != nil {
		o.options.Log.Warn().Err(err).Str("event", "durations_unreadable").Int("bytes", len(data)).Send()
	}
}
