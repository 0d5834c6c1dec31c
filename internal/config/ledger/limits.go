package ledger

// Limits of one record.
const (
	MaxRecordBytes = 256 << 10 // one change or part of a snapshot
	maxWriterBytes = 64
	maxEdits       = 8192
	maxFineEdits   = 64 // a record with more counts as one that changes everything
	maxVMMarks     = 20_000
)

// Offsets that the state remembers: who wrote, and what was changed. It bounds
// the state, and a change whose base is older has to be made anew. At 43,000
// changes a day it is more than two hours.
const window = 4096

// Limits of snapshots and of what a reader collects before it has one.
const (
	partBytes       = 128 << 10 // of the rows of one part; the rest of a record leaves room for the last row
	maxParts        = 4096
	maxAssemblies   = 4 // writers whose snapshots are collected at once
	maxPendingBytes = 64 << 20
	resetReach      = 16      // offsets after what its operator has seen in which a reset may begin
	snapshotShare   = 4       // a snapshot is due after this part of the retention time
	tailBytes       = 4 << 20 // a newborn reads at most about this much after a snapshot
)
