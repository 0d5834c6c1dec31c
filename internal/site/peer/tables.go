package peer

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Bounds of the pages in which an entry's copy of the operators' topic is sent, since it
// may be larger than a frame.
const (
	maxPageBytes        = maxFrameBytes / 2 // encoded size of the records of a page
	maxTablePages       = 64                // calls for one copy, those repeated because it changed included
	recordOverheadBytes = 64                // encoded size of a record besides its key and value
	escapedByteSize     = 6                 // largest encoded size of a byte of a key
)

// TablesQuery queries an entry's copy of the operators' topic.
type TablesQuery struct {
	Paged bool   `json:"paged"` // the sender reads pages; absent from an older version, which takes any answer as complete
	After string `json:"after"` // last key of the page before; empty: the first page
}

// TablesAnswer is an entry's copy of the operators' topic, or a page of it.
type TablesAnswer struct {
	End     int64            `json:"end"` // offset of the copy, the same for all of its pages; 0: the copy cannot be sent
	Records []journal.Record `json:"records"`
	More    bool             `json:"more"` // later pages follow
}

// pageOf returns the part of a copy that a query asks for. It is empty, with End 0, if a
// record does not fit a page, or if an older version asks for a copy larger than a page.
func pageOf(query TablesQuery, whole TablesAnswer) TablesAnswer {
	records := slices.SortedFunc(slices.Values(whole.Records), func(a, b journal.Record) int { return cmp.Compare(a.Key, b.Key) })
	first := 0
	if query.After != "" {
		first = slices.IndexFunc(records, func(record journal.Record) bool { return record.Key > query.After })
		if first < 0 {
			return TablesAnswer{End: whole.End}
		}
	}
	records = records[first:]
	count, size := 0, 0
	for count < len(records) && size+encodedBytes(records[count]) <= maxPageBytes {
		size += encodedBytes(records[count])
		count++
	}
	more := count < len(records)
	if more && (count == 0 || !query.Paged) {
		return TablesAnswer{}
	}
	return TablesAnswer{End: whole.End, Records: records[:count], More: more}
}

// encodedBytes bounds the encoded size of a record.
func encodedBytes(record journal.Record) int {
	return recordOverheadBytes + escapedByteSize*len(record.Key) + base64.StdEncoding.EncodedLen(len(record.Value))
}

// Tables queries the entry's copy of the operators' topic. If the copy changes between
// two pages, it is read again from the first one.
func (c *Client) Tables(ctx context.Context, address string) (TablesAnswer, error) {
	whole, after := TablesAnswer{}, ""
	for range maxTablePages {
		page, err := call[TablesAnswer](ctx, c, address, methodTables, TablesQuery{Paged: true, After: after})
		if err != nil {
			return TablesAnswer{}, err
		}
		if after != "" && page.End != whole.End {
			whole, after = TablesAnswer{}, ""
			continue
		}
		whole.End = page.End
		whole.Records = append(whole.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return whole, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
	return TablesAnswer{}, fault.New(fault.NotRun, methodTables, address, errors.Errorf("not complete after %d pages", maxTablePages))
}
