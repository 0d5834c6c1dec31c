package job

import (
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

// Progress is the durable part of a job that changes. It is one record,
// replaced at each change.
type Progress struct {
	_              struct{} `cbor:",toarray"`
	State          State
	Tasks          []TaskProgress // of all steps, in order; empty once the job is final and has no runs
	EndedMS        int64          // Unix time of the final state; 0 before it
	CancelAccepted bool           // the caller's cancellation was accepted; runs may still be stopping
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
