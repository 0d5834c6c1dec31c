// Package stream is what the system asks of the platform's append-only log.
//
// The log gives every reader of a stream the same records in the same order.
// It is not assumed to be up, to append conditionally, or to have dropped an
// append whose answer was lost.
//
// # Usage
//
//	off, err := log.Append(ctx, "config", data)
//	page, err := log.Read(ctx, "config", next, 500)
package stream

import "context"

// Offset is the place of a record in its stream. The first record has 1.
type Offset int64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"` // base64 in JSON
}

// Page is a run of records, oldest first.
type Page struct {
	Records []Record `json:"records"`
	First   Offset   `json:"first"` // oldest offset still kept; reading from before it starts here
	End     Offset   `json:"end"`   // offset that the next append will get
}

// Next returns the offset from which to read on.
func (p Page) Next(from Offset) Offset {
	if len(p.Records) == 0 {
		return max(from, p.First)
	}
	return p.Records[len(p.Records)-1].Offset + 1
}

// AtEnd reports whether the page reaches the end of the stream.
func (p Page) AtEnd(from Offset) bool { return p.Next(from) >= p.End }

// Log is a client of the log. Errors are *fault.Fault; one whose outcome is
// Unknown may have appended.
type Log struct {
	// Append adds a record to the end of a stream and returns its offset.
	Append func(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from an offset on, at most limit of them.
	Read func(ctx context.Context, stream string, from Offset, limit int) (Page, error)
}
