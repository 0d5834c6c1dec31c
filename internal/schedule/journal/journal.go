// Package journal holds the types by which the scheduler keeps its state in
// the platform's store: keyed records, of which the store retains the newest
// for ever, and the conditions under which they are appended.
//
// # Usage
//
//	answer := log.Append(ctx, journal.Append{Topic: topic, Writer: writer, Records: records})
//	if answer.Outcome == journal.Superseded {
//		// a writer with a higher epoch exists: give up ownership
//	}
package journal

import "context"

// Record is a value by its key. A nil value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Stored is a record with its place in the topic.
type Stored struct {
	Record
	Offset int64
}

// Writer identifies an append among those of one writer, so that a repeat is
// answered like the first and a superseded writer is refused.
type Writer struct {
	Name     string // empty: no identification
	Epoch    int64
	Sequence int64
}

// Append is one append. All records are kept or none.
type Append struct {
	Topic   string
	Writer  Writer
	At      int64 // the topic must end at this offset; negative: any
	Records []Record
}

// Outcome of a call to the store.
type Outcome uint8

// The outcomes of a call.
const (
	Done         Outcome = iota
	Unknown              // it may have been carried out, or may be some seconds later
	NotDone              // the store refused it for now, or it was not sent
	Superseded           // a higher epoch has written
	OutOfOrder           // the sequence number does not follow the last one
	NotAt                // the topic does not end where the append wanted
	Forgotten            // the records asked for are gone
	TooManyCalls         // the rate of calls is used up; nothing was done
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{
		"done", "unknown", "not_done", "superseded", "out_of_order", "not_at", "forgotten", "too_many_calls",
	}[o]
}

// Answer to an append.
type Answer struct {
	Outcome Outcome
	End     int64 // offset after the last record, when known
}

// Page is an answer to a read.
type Page struct {
	Outcome Outcome
	Records []Stored
	End     int64
	First   int64 // the oldest offset kept
}

// Next is the offset to read from after a page of a read, which may be cut off
// before the topic's end.
func (p Page) Next() int64 {
	if len(p.Records) == 0 {
		return p.End
	}
	return p.Records[len(p.Records)-1].Offset + 1
}

// Read asks for records from an offset on.
type Read struct {
	Topic  string
	From   int64
	WaitMS int64 // the store waits so long for a record
}

// Log is the platform's store.
type Log struct {
	// Append keeps records under conditions.
	Append func(ctx context.Context, call Append) Answer
	// Read returns records from an offset on.
	Read func(ctx context.Context, call Read) Page
	// Newest returns the newest record of each key of a topic.
	Newest func(ctx context.Context, topic string) Page
}
