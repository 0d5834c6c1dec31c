package cell

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Framing of a batch.
const (
	magic   byte = 0xCE
	version byte = 1
)

// Kind is what a record says; the first byte of its encoding.
type Kind byte

// The kinds. Numbers are never reused.
const (
	KindSubmit    Kind = 1
	KindCancel    Kind = 2
	KindClaim     Kind = 3
	KindHeartbeat Kind = 4
	KindPresence  Kind = 5
	KindStart     Kind = 6
	KindEnd       Kind = 7
	KindEvict     Kind = 8
	KindPark      Kind = 9
	KindHandover  Kind = 10
	KindTerms     Kind = 11
	KindDrop      Kind = 12
	KindReadmit   Kind = 13
	KindHand      Kind = 14
	KindReceipt   Kind = 15
	KindGiveBack  Kind = 16
	KindResult    Kind = 17
	KindDelivered Kind = 18
	KindSnapshot  Kind = 19
	KindSilent    Kind = 20
)

// Batch is one append: records of one writer that are applied together.
type Batch struct {
	Writer   string   `cbor:"1,keyasint"` // unique per process life
	Sequence uint64   `cbor:"2,keyasint"` // of the writer in this stream; the same on every retry
	Records  [][]byte `cbor:"3,keyasint"`
}

// Submit keeps a job. It is written by any entry, under no epoch.
type Submit struct {
	Spec job.Spec `cbor:"1,keyasint"`
}

// Cancel ends a job. It is written by any entry, under no epoch.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Claim makes an entry the owner, when Epoch is the next one.
type Claim struct {
	Epoch  int64  `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint"`
	Domain string `cbor:"3,keyasint"` // failure domain of the entry
}

// Heartbeat shows that the owner lives and moves the cell's time on.
type Heartbeat struct {
	Epoch   int64         `cbor:"1,keyasint"`
	Elapsed clock.Millis  `cbor:"2,keyasint,omitempty"` // since the owner's last heartbeat
	Entry   string        `cbor:"3,keyasint"`
	Number  uint64        `cbor:"4,keyasint"`           // counts the signs of one process life
	ReadTo  stream.Offset `cbor:"5,keyasint,omitempty"` // the writer has applied all up to here
}

// Presence shows that an entry reads and writes the stream, and so may renew.
type Presence struct {
	Entry  string        `cbor:"1,keyasint"`
	Domain string        `cbor:"2,keyasint"`
	Number uint64        `cbor:"3,keyasint"`
	ReadTo stream.Offset `cbor:"4,keyasint,omitempty"`
}

// Start commits a worker to an attempt. The order follows its read-back.
type Start struct {
	Epoch    int64         `cbor:"1,keyasint"`
	ID       string        `cbor:"2,keyasint"`
	Attempt  int           `cbor:"3,keyasint"`
	VM       string        `cbor:"4,keyasint"`
	Boot     string        `cbor:"5,keyasint"`
	NotAfter worker.Time   `cbor:"6,keyasint"` // no order for this attempt is obeyed later
	Whole    amount.Amount `cbor:"7,keyasint"` // size of the worker
}

// End says that an attempt is known to be over. It is a fact, written under no
// epoch by whoever learned it.
type End struct {
	ID         string       `cbor:"1,keyasint"`
	Attempt    int          `cbor:"2,keyasint"`
	Phase      worker.Phase `cbor:"3,keyasint"`
	Checkpoint string       `cbor:"4,keyasint,omitempty"`
	Reason     string       `cbor:"5,keyasint,omitempty"`
}

// Evict orders the newest attempt to be checkpointed and moved.
type Evict struct {
	Epoch   int64  `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"`
	Reason  string `cbor:"4,keyasint,omitempty"`
}

// Park ends a queued job that can't run.
type Park struct {
	Epoch  int64  `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// Handover gives up ownership in favour of an entry, or of any when To is "".
type Handover struct {
	Epoch int64  `cbor:"1,keyasint"`
	To    string `cbor:"2,keyasint,omitempty"`
}

// SetTerms changes how long leases live.
type SetTerms struct {
	Epoch int64 `cbor:"1,keyasint"`
	Terms Terms `cbor:"2,keyasint"`
}

// Drop ends all renewals of a worker.
type Drop struct {
	Epoch int64  `cbor:"1,keyasint"`
	VM    string `cbor:"2,keyasint"`
}

// Readmit puts a dropped worker back in use.
type Readmit struct {
	Epoch int64  `cbor:"1,keyasint"`
	VM    string `cbor:"2,keyasint"`
}

// Hand lets another cell run a queued job.
type Hand struct {
	Epoch int64  `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
	Hand  int    `cbor:"3,keyasint"` // one more than the job's last
	To    string `cbor:"4,keyasint"`
}

// Receipt brings a handed job into the stream of the cell that is to run it.
// It may be appended any number of times.
type Receipt struct {
	From     string   `cbor:"1,keyasint"`
	ID       string   `cbor:"2,keyasint"`
	Hand     int      `cbor:"3,keyasint"`
	Spec     job.Spec `cbor:"4,keyasint"`
	Attempt  int      `cbor:"5,keyasint,omitempty"`
	Failures int      `cbor:"6,keyasint,omitempty"`
	Evicted  int      `cbor:"7,keyasint,omitempty"`
	Resume   string   `cbor:"8,keyasint,omitempty"`
	Avoid    []string `cbor:"9,keyasint,omitempty"`
}

// GiveBack ends a queued guest that this cell can't run.
type GiveBack struct {
	Epoch  int64  `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	Hand   int    `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Result brings a guest's end into the stream of its home cell. It may be
// appended any number of times.
type Result struct {
	ID       string    `cbor:"1,keyasint"`
	Hand     int       `cbor:"2,keyasint"`
	Phase    job.Phase `cbor:"3,keyasint"`
	Attempt  int       `cbor:"4,keyasint,omitempty"`
	Failures int       `cbor:"5,keyasint,omitempty"`
	Evicted  int       `cbor:"6,keyasint,omitempty"`
	Resume   string    `cbor:"7,keyasint,omitempty"`
	VM       string    `cbor:"8,keyasint,omitempty"`
	Reason   string    `cbor:"9,keyasint,omitempty"`
	Avoid    []string  `cbor:"10,keyasint,omitempty"`
}

// Delivered says that a guest's result is in its home cell's stream.
type Delivered struct {
	ID   string `cbor:"1,keyasint"`
	Hand int    `cbor:"2,keyasint"`
}

// Silent says that an entry which renews a worker's leases can't reach it. It
// changes nothing by itself; the owner decides.
type Silent struct {
	VM    string `cbor:"1,keyasint"`
	Entry string `cbor:"2,keyasint"`
}

// Chunk is a part of a snapshot of the state at position At.
type Chunk struct {
	At    stream.Offset `cbor:"1,keyasint"`
	Index int           `cbor:"2,keyasint"`
	Count int           `cbor:"3,keyasint"`
	Sum   uint64        `cbor:"4,keyasint"` // hash of the whole snapshot
	Data  []byte        `cbor:"5,keyasint"`
}

// Body is a record that Encode takes.
type Body interface {
	Submit | Cancel | Claim | Heartbeat | Presence | Start | End | Evict | Park | Handover |
		SetTerms | Drop | Readmit | Hand | Receipt | GiveBack | Result | Delivered | Chunk | Silent
}

// Encode returns the bytes of one record, to be put in a batch.
func Encode[B Body](body B) []byte {
	data, err := codec.Marshal(body)
	if err != nil {
		panic(err) // the types above always encode
	}
	return append([]byte{byte(kindOf(body))}, data...)
}

func kindOf(body any) Kind {
	switch body.(type) {
	case Submit:
		return KindSubmit
	case Cancel:
		return KindCancel
	case Claim:
		return KindClaim
	case Heartbeat:
		return KindHeartbeat
	case Presence:
		return KindPresence
	case Start:
		return KindStart
	case End:
		return KindEnd
	case Evict:
		return KindEvict
	case Park:
		return KindPark
	case Handover:
		return KindHandover
	case SetTerms:
		return KindTerms
	case Drop:
		return KindDrop
	case Readmit:
		return KindReadmit
	case Hand:
		return KindHand
	case Receipt:
		return KindReceipt
	case GiveBack:
		return KindGiveBack
	case Result:
		return KindResult
	case Delivered:
		return KindDelivered
	case Silent:
		return KindSilent
	}
	return KindSnapshot
}

// CheckSpec returns why a job can't be kept, or nil. Apply makes a submission
// void for the same reasons.
func CheckSpec(spec job.Spec) error {
	for _, name := range []string{spec.Caller, spec.Key} {
		if name == "" || len(name) > maxNameBytes {
			return errors.Errorf("caller and key must have 1 to %d bytes", maxNameBytes)
		}
	}
	for _, name := range append([]string{spec.Route, spec.Team, spec.Kind}, spec.Pools...) {
		if len(name) > maxNameBytes {
			return errors.Errorf("a name is longer than %d bytes", maxNameBytes)
		}
	}
	if len(spec.Payload) > maxPayloadBytes {
		return errors.Errorf("payload is longer than %d bytes", maxPayloadBytes)
	}
	if spec.Size.Negative() || spec.Size.IsZero() {
		return errors.New("size must be positive")
	}
	return nil
}

// EncodeBatch returns the bytes of one append.
func EncodeBatch(batch Batch) []byte {
	data, err := codec.Marshal(batch)
	if err != nil {
		panic(err) // a batch always encodes
	}
	return append([]byte{magic, version}, data...)
}

// Errors of DecodeBatch.
var (
	// ErrForeign is for bytes that no release has written.
	ErrForeign = errors.New("not a batch of this system")
	// ErrNewer is for a batch of a later release.
	ErrNewer = errors.New("batch has a newer version")
)

// DecodeBatch reads an append back. Its work and memory are bounded by the
// length of data.
func DecodeBatch(data []byte) (Batch, error) {
	var batch Batch
	if len(data) < 2 || data[0] != magic {
		return batch, ErrForeign
	}
	if data[1] != version {
		return batch, ErrNewer
	}
	if err := codec.Unmarshal(data[2:], &batch); err != nil {
		return batch, err
	}
	if len(batch.Records) > maxBatch || len(batch.Writer) > maxNameBytes {
		return batch, ErrForeign
	}
	return batch, nil
}
