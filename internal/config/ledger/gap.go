package ledger

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// gap is what a reader that lacks records has collected since. It is immutable.
type gap struct {
	start  stream.Offset // all records from here on were read
	newest *waiting
	bytes  int
}

// waiting is a change that could not be judged yet.
type waiting struct {
	offset stream.Offset
	change Change
	before *waiting
}

func (span gap) with(offset stream.Offset, change Change, size int) gap {
	if span.bytes+size > maxPendingBytes {
		return gap{start: offset + 1}
	}
	return gap{start: span.start, newest: &waiting{offset, change, span.newest}, bytes: span.bytes + size}
}

// Lists the changes after an offset, oldest first.
func (span gap) after(through stream.Offset) []*waiting {
	var list []*waiting
	for item := span.newest; item != nil && item.offset > through; item = item.before {
		list = append(list, item)
	}
	slices.Reverse(list)
	return list
}
