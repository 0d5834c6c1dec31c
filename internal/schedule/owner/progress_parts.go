package owner

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// The store limits the size of a record. Once the progress of a job with many tasks does
// not fit one record, it is split: the first record has the job's state and its first
// tasks, and further records (parts) have the same number of tasks each, so few that they
// fit at their largest size. Only the records with changed tasks are written.
//
// A batch that is larger than an append may be is written by several appends, so a later owner may find
// some records of a job without the others. Ends are acknowledged to workers, runs
// ordered and callers answered only after the last append. Three rules make each prefix
// readable:
//
//   - Parts are written before the first record, the last part first. On load, a part
//     takes precedence over the records before it. So when the number of tasks in a
//     record gets smaller, the records before it still hold the tasks that are not
//     rewritten.
//   - The first record of a job that is final and has no runs is written before its other
//     records are removed. On load, a final job without tasks has no others.
//   - A task without a record has not been started.

// progressParts is the division of a job's progress into records.
type progressParts struct {
	tasks   int    // tasks in each record but the last
	changed []bool // by record: must be written with the job's next change
	stored  int    // records beyond the first that may be stored
}

// newProgressParts divides a number of tasks.
func newProgressParts(count, tasksPerRecord int) progressParts {
	perRecord := max(tasksPerRecord, 1)
	return progressParts{tasks: perRecord, changed: make([]bool, (count+perRecord-1)/perRecord)}
}

// undividedProgress is one record for all tasks of a job.
func undividedProgress(count int) progressParts {
	return progressParts{tasks: max(count, 1), changed: make([]bool, 1)}
}

// markAllChanged makes the next change write all records.
func (p *progressParts) markAllChanged() {
	for i := range p.changed {
		p.changed[i] = true
	}
}

// tasksPerRecord is the number of tasks in each record of a job that is split.
func (o *Owner) tasksPerRecord() int { return job.TasksPerRecord(o.options.Limits.RecordBytes) }

// markChanged adds the state of a job to the batch for the next append.
func (o *Owner) markChanged(j *jobState) {
	if len(j.parts.changed) == 0 {
		j.parts = undividedProgress(j.spec.TaskCount())
	}
	j.parts.changed[0] = true
	o.addToBatch(j)
}

// markTaskChanged adds a task to the batch for the next append.
func (o *Owner) markTaskChanged(task *taskState) {
	j := task.job
	if len(j.parts.changed) == 0 {
		j.parts = undividedProgress(j.spec.TaskCount())
	}
	j.parts.changed[(j.steps[task.step].firstTask+task.index)/j.parts.tasks] = true
	o.addToBatch(j)
}

func (o *Owner) addToBatch(j *jobState) {
	if j.changed || j.refusals > 1 {
		return
	}
	j.changed = true
	o.batch.jobs = append(o.batch.jobs, j)
}

// settled reports whether only the state of a job is recorded: it is final and has no
// runs, or the store has refused a record of it.
func (j *jobState) settled() bool { return j.state.Final() && j.runs == 0 || j.refusals > 0 }

// progressRecords encodes the changed records of a job's progress, in the sequence in
// which they must be appended.
func (o *Owner) progressRecords(j *jobState) []journal.Record {
	if j.settled() {
		clear(j.parts.changed)
		return append([]journal.Record{o.firstRecord(j)}, o.takeRemovals(j)...)
	}
	if count := j.spec.TaskCount(); len(j.parts.changed) == 1 && count > o.tasksPerRecord() {
		if first := o.firstRecord(j); first.Bytes() <= o.undividedBytes {
			j.parts.changed[0] = false
			return []journal.Record{first}
		}
		j.parts = newProgressParts(count, o.tasksPerRecord())
		j.parts.markAllChanged()
	}
	var records []journal.Record
	for number, changed := range slices.Backward(j.parts.changed) {
		j.parts.changed[number] = false
		switch {
		case !changed:
		case number == 0:
			records = append(records, o.firstRecord(j))
		default:
			j.parts.stored = max(j.parts.stored, number)
			part := job.ProgressPart{First: number * j.parts.tasks, Tasks: j.recordedTasks(number)}
			data, err := job.EncodeProgressPart(part)
			records = append(records, o.encodedRecord(j, partKey(j.spec.ID, number), data, err))
		}
	}
	return records
}

// firstRecord encodes a job's state, with its first tasks unless it is settled.
func (o *Owner) firstRecord(j *jobState) journal.Record {
	progress := job.Progress{State: j.state, EndedMS: j.endedMS, CancelAccepted: j.cancelled}
	if !j.settled() {
		progress.Tasks = j.recordedTasks(0)
	}
	data, err := job.EncodeProgress(progress)
	return o.encodedRecord(j, keyProgress+string(j.spec.ID), data, err)
}

// encodedRecord returns a record of a job, and logs the error of its encoding if there is
// one.
func (o *Owner) encodedRecord(j *jobState, key string, data []byte, err error) journal.Record {
	if err != nil {
		o.options.Log.Error().Err(err).Str("job", string(j.spec.ID)).Str("key", key).Msg("cannot encode a record")
	}
	return journal.Record{Key: key, Value: data}
}

// recordedTasks returns the tasks of one record.
func (j *jobState) recordedTasks(number int) []job.TaskProgress {
	var tasks []job.TaskProgress
	begin, end := number*j.parts.tasks, (number+1)*j.parts.tasks
	for i := range j.steps {
		step := &j.steps[i]
		from, to := max(begin-step.firstTask, 0), min(end-step.firstTask, len(step.tasks))
		for k := from; k < to; k++ {
			tasks = append(tasks, step.tasks[k].progress())
		}
	}
	return tasks
}

// takeRemovals returns the removals of the records that a settled job no longer needs, and
// notes them as removed: its specification, of which only the customer is kept, and the
// records beyond the first.
func (o *Owner) takeRemovals(j *jobState) []journal.Record {
	var removals []journal.Record
	if !j.specRemoved {
		removals = append(removals, journal.Record{Key: keySpec + string(j.spec.ID), Value: o.finalSpec(j)})
	}
	for number := range j.parts.stored {
		removals = append(removals, journal.Record{Key: partKey(j.spec.ID, number+1)})
	}
	j.specRemoved, j.parts.stored = true, 0
	return removals
}

// partKey is the key of a record beyond the first of a job's progress.
func partKey(id job.ID, number int) string {
	return keyProgress + string(id) + "/" + strconv.Itoa(number)
}

// parseProgressKey splits the key of a progress record, without its prefix, into the
// job and the number of the record.
func parseProgressKey(key string) (id job.ID, number int, ok bool) {
	name, text, isPart := strings.Cut(key, "/")
	if !isPart {
		return job.ID(name), 0, true
	}
	number, err := strconv.Atoi(text)
	return job.ID(name), number, err == nil && number > 0
}

// storedProgress is what Load has read of a job's progress.
type storedProgress struct {
	first *job.Progress            // nil: not stored
	parts map[int]job.ProgressPart // by number
}

// lastPart returns the highest number of a stored part; 0: there is none.
func (s *storedProgress) lastPart() int {
	last := 0
	for number := range s.parts {
		last = max(last, number)
	}
	return last
}

// finished reports whether only the state of the job is valid: all other records of it
// were to be removed.
func (s *storedProgress) finished() bool {
	return s.first != nil && s.first.State.Final() && len(s.first.Tasks) == 0
}

// merged returns the progress of all tasks of a job with count tasks, from its records.
func (s *storedProgress) merged(count int) []job.TaskProgress {
	tasks := make([]job.TaskProgress, count)
	if s.first != nil {
		copy(tasks, s.first.Tasks)
	}
	for _, number := range slices.Sorted(maps.Keys(s.parts)) {
		if part := s.parts[number]; part.First >= 0 && part.First < count {
			copy(tasks[part.First:], part.Tasks)
		}
	}
	return tasks
}

// layout returns the division of a job's count tasks into records of at most maxTasks
// tasks. A stored division that is the same in all records is kept if it fits. Otherwise
// the smallest one in use replaces the others with the job's next change, which then
// writes all records.
func (s *storedProgress) layout(count, maxTasks int) progressParts {
	divisions := s.divisions(count)
	if len(divisions) == 0 {
		return undividedProgress(count)
	}
	perRecord := max(min(slices.Min(divisions), maxTasks), 1)
	parts := newProgressParts(count, perRecord)
	parts.stored = s.lastPart()
	if slices.ContainsFunc(divisions, func(tasks int) bool { return tasks != perRecord }) {
		parts.markAllChanged()
	}
	return parts
}

// divisions returns the numbers of tasks in each record by which the stored records were
// divided; none if the first one has all tasks.
func (s *storedProgress) divisions(count int) []int {
	var divisions []int
	if s.first != nil && len(s.first.Tasks) > 0 && (len(s.first.Tasks) < count || len(s.parts) > 0) {
		divisions = append(divisions, len(s.first.Tasks))
	}
	for number, part := range s.parts {
		divisions = append(divisions, max(part.First/number, 1))
	}
	return divisions
}
