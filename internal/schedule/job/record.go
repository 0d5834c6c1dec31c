package job

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Phase is the phase of a task.
type Phase uint8

// The phases of a task. An Assigned task has a recorded run that may be active;
// it stays Assigned until that run is certainly over.
const (
	Waiting Phase = iota
	Assigned
	Done
)

// Progress is the durable part of a job that changes. It is one record, replaced at
// each change. A job with more than [TasksPerRecord] tasks has further records, each a
// [ProgressPart].
type Progress struct {
	_              struct{} `cbor:",toarray"`
	State          State
	Tasks          []TaskProgress // of all steps, in order, or the first ones; empty once the job is final and has no runs
	EndedMS        int64          // Unix time of the final state; 0 before it
	CancelAccepted bool           // the caller's cancellation was accepted; runs may still be stopping
}

// ProgressPart is a further record of a job's progress. A task that is in no record has
// not been started.
type ProgressPart struct {
	_     struct{} `cbor:",toarray"`
	First int      // index of its first task among those of all steps
	Tasks []TaskProgress
}

// TaskProgress is the durable part of a task.
type TaskProgress struct {
	_           struct{} `cbor:",toarray"`
	Phase       Phase
	Run         int    // number of the newest run; 0: never started
	Failures    int    // failed runs
	Worker      string // worker of the newest run, while Assigned
	Incarnation int64  // incarnation of that worker
	Checkpoint  string // newest known checkpoint; empty: none
}

// Largest sizes of a task's text in a record.
const (
	MaxCheckpointBytes = 256 // length of a checkpoint; longer ones are not kept
	MaxWorkerBytes     = 255 // length of a worker's id, which is a key of the store
)

// Largest sizes of the encoding. The first byte of an array, text or number holds its
// type, and up to 8 more bytes hold its length or value.
const (
	maxHeadBytes     = 9
	maxTaskBytes     = 7*maxHeadBytes + MaxWorkerBytes + MaxCheckpointBytes // an array of six
	maxProgressBytes = 5 * maxHeadBytes                                     // besides the tasks; a part has less
	maxKeyBytes      = 64                                                   // key of a record, and its frame
)

// MaxProgressRecords bounds the records of one job's progress, which a takeover reads.
const MaxProgressRecords = 1024

// TasksPerRecord returns the number of tasks whose progress fits a record of recordBytes
// even when each has its largest size.
func TasksPerRecord(recordBytes int) int {
	return max((recordBytes-maxProgressBytes-maxKeyBytes)/maxTaskBytes, 0)
}

// TaskCount returns the number of tasks of all steps.
func (s Spec) TaskCount() int {
	count := 0
	for i := range s.Steps {
		count += s.Steps[i].Count
	}
	return count
}

// CheckRecordable returns an error, worded for the job's caller, if some record of the
// job can become larger than recordBytes or its progress needs too many records.
func (s Spec) CheckRecordable(recordBytes int) error {
	data, err := EncodeSpec(s)
	if err != nil {
		return err
	}
	if len(data)+maxKeyBytes > recordBytes {
		return errors.Errorf("specification takes %d bytes in the store, the limit is %d", len(data), recordBytes-maxKeyBytes)
	}
	if most := TasksPerRecord(recordBytes) * MaxProgressRecords; s.TaskCount() > most {
		return errors.Errorf("job has %d tasks, the progress of %d can be stored", s.TaskCount(), most)
	}
	return nil
}

// EncodeSpec returns the record of a specification.
func EncodeSpec(spec Spec) ([]byte, error) { return codec.Marshal(spec) }

// DecodeSpec decodes a record of EncodeSpec.
func DecodeSpec(data []byte) (Spec, error) {
	var spec Spec
	err := codec.Unmarshal(data, &spec)
	return spec, err
}

// EncodeProgress returns the record of a job's progress.
func EncodeProgress(progress Progress) ([]byte, error) { return codec.Marshal(progress) }

// DecodeProgress decodes a record of EncodeProgress.
func DecodeProgress(data []byte) (Progress, error) {
	var progress Progress
	err := codec.Unmarshal(data, &progress)
	return progress, err
}

// EncodeProgressPart returns a further record of a job's progress.
func EncodeProgressPart(part ProgressPart) ([]byte, error) { return codec.Marshal(part) }

// DecodeProgressPart decodes a record of EncodeProgressPart.
func DecodeProgressPart(data []byte) (ProgressPart, error) {
	var part ProgressPart
	err := codec.Unmarshal(data, &part)
	return part, err
}
