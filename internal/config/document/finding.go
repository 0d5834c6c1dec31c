package document

import (
	"cmp"
	"fmt"
	"slices"
)

// Finding is one problem found in a file, with its position. Line and column start at 1;
// 0 means that the position is unknown.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"` // path such as "routes[2].deadline_ms"
	Message string `json:"message"`
}

// String returns "file:line:column: field: message" without the parts that are
// unknown.
func (finding Finding) String() string {
	text := finding.Message
	if finding.Field != "" {
		text = finding.Field + ": " + text
	}
	if finding.File == "" {
		return text
	}
	if finding.Line == 0 {
		return finding.File + ": " + text
	}
	return fmt.Sprintf("%s:%d:%d: %s", finding.File, finding.Line, finding.Column, text)
}

// Sort sorts findings by file, line and column. The sort is stable.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
