// Package journal defines the calls by which the scheduler records its state in
// the platform's store: keyed records, of which the store retains the newest of
// each key indefinitely, and the conditions under which they are appended.
//
// # Usage
//
//	answer := log.Append(ctx, journal.Append{Topic: topic, Writer: writer, Records: records})
//	if answer.Outcome == journal.Superseded {
//		// a writer with a higher epoch exists: give up ownership
//	}
package journal

import "context"

// Record is a key and its value. A nil value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Stored is a record with its offset in the topic.
type Stored struct {
	Record
	Offset int64
}

// Writer identifies an append among those of one writer, so that a repeated
// append is answered like the first one, and an append of a superseded writer
// is refused.
type Writer struct {
	Name     string // empty: the append is not identified
	Epoch    int64
	Sequence int64
}

// Append is a call that appends records atomically: all of them are recorded or
// none.
type Append struct {
	Topic       string
	Writer      Writer
	ExpectedEnd int64 // offset at which the topic must end; negative: any
	Records     []Record
}

// Outcome is the outcome of a call to the store.
type Outcome uint8

// The outcomes of a call.
const (
	Done         Outcome = iota
	Unknown              // it may have been carried out, or may be some seconds later
	NotDone              // the store refused the call for now, or it was not sent
	Superseded           // a writer with a higher epoch has written
	OutOfOrder           // the sequence number does not follow the last one
	EndMismatch          // the topic does not end at the offset that the append requires
	RecordsGone          // the requested records are no longer stored
	TooManyCalls         // the rate limit was exceeded; nothing was done
	Refused              // the store refuses the append for its form, and would refuse it again; nothing was done
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{
		"done", "unknown", "not_done", "superseded", "out_of_order", "not_at", "forgotten", "too_many_calls", "refused",
	}[o]
}

// Answer is the answer to an append.
type Answer struct {
	Outcome Outcome
	End     int64 // offset after the last record, if known
}

// Page is the answer to a read.
type Page struct {
	Outcome      Outcome
	Records      []Stored
	End          int64 // offset after the last record of the topic
	OldestOffset int64 // oldest offset that is still stored
}

// Next returns the offset at which to continue reading. A page may end before
// the topic's end.
func (p Page) Next() int64 {
	if len(p.Records) == 0 {
		return p.End
	}
	return p.Records[len(p.Records)-1].Offset + 1
}

// Read requests the records from an offset on.
type Read struct {
	Topic  string
	From   int64
	WaitMS int64 // how long the store may wait for a record
}

// Log is the interface to the platform's store.
type Log struct {
	// Append appends records if the conditions of the call hold.
	Append func(ctx context.Context, call Append) Answer
	// Read returns the records from an offset on.
	Read func(ctx context.Context, call Read) Page
	// Newest returns the newest record of each key of a topic.
	Newest func(ctx context.Context, topic string) Page
}
