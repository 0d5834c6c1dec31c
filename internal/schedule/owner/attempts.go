package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// The tables say how often the runs of a task may fail. A route can be missing
// from them when a run fails, and be back later with other attempts. So the owner
// keeps, in memory and in the records, what the route allowed when it was last
// known, and checks the failed runs again before it places a task.

// noteAttempts keeps what the tables allow the tasks of a queue, and records
// changes for the next owner.
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

// noteAttemptsOfJobs does the same for the queues of all jobs.
func (o *Owner) noteAttemptsOfJobs() {
	for _, j := range o.jobs {
		if !j.state.Final() {
			o.noteAttempts(j.spec.Queue)
		}
	}
}

// loadAttempts restores what an earlier owner recorded of a queue.
func (o *Owner) loadAttempts(name string, data []byte) error {
	var attempts int
	if err := codec.Unmarshal(data, &attempts); err != nil {
		return err
	}
	o.attempts[name] = attempts
	return nil
}

// forgetAttempts removes what is kept of queues without jobs.
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

// maxLapsedRuns bounds the lapsed runs of a task whose late failures are counted.
const maxLapsedRuns = 8

// noteLapse keeps the number of a run that was ended as lapsed.
func (t *taskState) noteLapse(runNumber int) {
	t.lapsedRuns = append(t.lapsedRuns, runNumber)
	t.lapsedRuns = t.lapsedRuns[max(len(t.lapsedRuns)-maxLapsedRuns, 0):]
}

// countLateFailure counts a failed run that this owner has ended before as lapsed,
// as its worker was out of contact. Ends that workers repeat were counted before.
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
		o.markChanged(task.job)
		o.countFailure(task)
	}
}
