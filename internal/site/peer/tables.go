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

// The operators' topic may have more records than one frame has room for, so an entry's
// copy of it is handed on in pages.

const (
	maxPageBytes  = maxFrameBytes / 2 // of the records of a page, as they are encoded
	maxTablePages = 64                // of one copy; also bounds the attempts while the copy changes
	// recordPageBytes is the encoded size of a record besides its key and value.
	recordPageBytes = 64
	// escapedByteSize is the largest encoded size of a byte of a key.
	escapedByteSize = 6
)

// TablesQuery queries an entry's copy of the operators' topic.
type TablesQuery struct {
	Paged bool   `json:"paged"` // the sender reads pages; absent from an older version, which takes any answer as complete
	After string `json:"after"` // last key of the page before; empty: the first page
}

// TablesAnswer is an entry's copy of the operators' topic, or a page of it.
type TablesAnswer struct {
	End     int64            `json:"end"` // offset of the copy, the same for all of its pages; 0: the copy is not handed on
	Records []journal.Record `json:"records"`
	More    bool             `json:"more"` // later pages follow
}

// pageOf returns the part of a copy that a query asks for. It is empty, with end 0, if a
// record does not fit a page, or if an older version asks for a copy above one page.
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
	return recordPageBytes + escapedByteSize*len(record.Key) + base64.StdEncoding.EncodedLen(len(record.Value))
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
