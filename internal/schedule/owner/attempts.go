package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// The tables limit how many runs of a task may fail. A queue can be missing from them
// when a run fails, and be back later with another limit. So the owner keeps, in memory
// and in the records, the limit of each queue when it was last known, and checks the
// failed runs of a task again before it places it.

// noteAttempts keeps the limit that the tables set for a queue, and records a change for
// the next owner.
func (o *Owner) noteAttempts(name string) {
	queue, known := o.tables.Queue(name)
	if !known || o.attempts[name] == queue.MaxFailures {
		return
	}
	o.attempts[name] = queue.MaxFailures
	data, err := codec.Marshal(queue.MaxFailures)
	if err != nil {
		o.options.Log.Error().Err(err).Str("queue", name).Msg("cannot encode the attempts of a queue")
		return
	}
	o.batch.otherRecords = append(o.batch.otherRecords, journal.Record{Key: keyAttempts + name, Value: data})
}

// noteAttemptsOfJobs calls noteAttempts for the queues of all jobs that are not final.
func (o *Owner) noteAttemptsOfJobs() {
	for _, j := range o.jobs {
		if !j.state.Final() {
			o.noteAttempts(j.spec.Queue)
		}
	}
}

// loadAttempts restores the limit that an earlier owner recorded for a queue.
func (o *Owner) loadAttempts(name string, data []byte) error {
	var attempts int
	if err := codec.Unmarshal(data, &attempts); err != nil {
		return err
	}
	o.attempts[name] = attempts
	return nil
}

// forgetAttempts removes the limits of queues without jobs.
func (o *Owner) forgetAttempts() {
	used := map[string]bool{}
	for _, j := range o.jobs {
		used[j.spec.Queue] = true
	}
	for name := range o.attempts {
		if !used[name] {
			delete(o.attempts, name)
			o.batch.removals = append(o.batch.removals, journal.Record{Key: keyAttempts + name})
		}
	}
}

// countFailure counts a failed run, and fails the job once a task has used up
// the attempts that its queue allows.
func (o *Owner) countFailure(task *taskState) {
	task.failures++
	o.failIfUsedUp(task)
}

// failIfUsedUp fails the job of a task that has used up its attempts, and reports
// whether the job is final.
func (o *Owner) failIfUsedUp(task *taskState) bool {
	j := task.job
	allowed, known := o.attempts[j.spec.Queue]
	if j.state.Final() || !known || task.failures == 0 || task.failures < allowed {
		return j.state.Final()
	}
	o.endJob(j, job.Failed, "a task used up its attempts")
	o.whenRecorded(func() { o.stopJob(j, "job failed") })
	return true
}

// maxLapsedRuns is the number of lapsed runs of a task that are kept, so that a failure
// of them that is reported late is counted.
const maxLapsedRuns = 8

// noteLapse keeps the number of a run that was ended as lapsed.
func (t *taskState) noteLapse(runNumber int) {
	t.lapsedRuns = append(t.lapsedRuns, runNumber)
	t.lapsedRuns = t.lapsedRuns[max(len(t.lapsedRuns)-maxLapsedRuns, 0):]
}

// countLateFailure counts a failed run that this owner has ended as lapsed before,
// because its worker was out of contact. Repeated ends are not counted again.
func (o *Owner) countLateFailure(w *worker, end fleet.End) {
	task := o.task(end.Task)
	if task == nil || end.Cause != fleet.EndFailed || end.Number <= w.endsApplied || task.spec().Lasting {
		return
	}
	i := slices.Index(task.lapsedRuns, end.Run)
	if i < 0 {
		return
	}
	task.lapsedRuns = slices.Delete(task.lapsedRuns, i, i+1)
	if task.phase != job.Done {
		o.markTaskChanged(task)
		o.countFailure(task)
	}
}
