// Package document reads files in JSON with comments strictly: every member
// must be known, given once and of the right type. Each fault is reported with
// its line, column and field.
//
// The files are read against Go structs with json tags. A member's name
// carries its unit, so the reader can name the right member when a file has
// "deadline" or "deadline_s" in place of "deadline_ms".
//
// # Usage
//
//	doc, findings := document.Parse("routes.json", data, maxBytes)
//	findings = doc.Decode(&table, document.Shape{Prototype: route.Default(), Required: []string{"name"}})
//	...
//	finding := doc.Locate(document.Finding{Field: "routes[2].pools[0]", Message: "no such pool"})
//
// Memory is bounded by the size limit and by limits on nesting and on the
// number of values, which are checked before the syntax tree is built.
package document

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits that keep what is built from a hostile file small.
const (
	maxNesting  = 16      // levels of objects and arrays
	valueBytes  = 8       // of the size limit for each value; the tree takes about 100 bytes for one
	maxElements = 200_000 // of one array, twice the largest list that is accepted
	maxFindings = 100     // faults reported of one file
)

// Document is a parsed file. It is not safe for concurrent use.
type Document struct {
	file   string
	data   []byte
	root   hujson.Value
	places map[string]int // field path -> byte offset
	found  []Finding
}

// Parse reads the syntax of a file. When findings are returned, the document
// can't be decoded.
func Parse(file string, data []byte, maxBytes int) (*Document, []Finding) {
	doc := &Document{file: file, data: data, places: map[string]int{"": 0}}
	if len(data) > maxBytes {
		return doc, []Finding{{File: file, Message: fmt.Sprintf("file has %d bytes; the limit is %d", len(data), maxBytes)}}
	}
	if offset, problem := measure(data, maxBytes/valueBytes); problem != "" {
		return doc, []Finding{doc.at(offset, "", problem)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return doc, []Finding{doc.syntax(err)}
	}
	doc.root = root
	return doc, nil
}

// File returns the name of the file.
func (doc *Document) File() string { return doc.file }

// Size returns the length of the file in bytes.
func (doc *Document) Size() int { return len(doc.data) }

// Member reports whether the file is an object with a member of that name.
func (doc *Document) Member(name string) bool {
	object, ok := doc.root.Value.(*hujson.Object)
	if !ok {
		return false
	}
	for _, member := range object.Members {
		if literal, ok := member.Name.Value.(hujson.Literal); ok && literal.String() == name {
			return true
		}
	}
	return false
}

// Locate fills in the place of a finding from its field. A field that the file
// does not have gets the place of the nearest one that encloses it.
func (doc *Document) Locate(finding Finding) Finding {
	path := finding.Field
	for {
		if offset, ok := doc.places[path]; ok {
			return doc.at(offset, finding.Field, finding.Message)
		}
		path = parent(path)
	}
}

// Has reports whether the file gave a value for the field.
func (doc *Document) Has(field string) bool {
	_, ok := doc.places[field]
	return ok
}

func parent(path string) string {
	at := max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['))
	return path[:max(at, 0)]
}

func (doc *Document) at(offset int, field, message string) Finding {
	before := doc.data[:min(offset, len(doc.data))]
	return Finding{
		File:    doc.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Field:   field,
		Message: message,
	}
}

// The library's message reads "hujson: line 3, column 9: what is wrong".
func (doc *Document) syntax(err error) Finding {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	finding := Finding{File: doc.file, Line: 1, Column: 1, Message: "not JSON with comments: " + text}
	place, message, ok := strings.Cut(text, ": ")
	if !ok {
		return finding
	}
	line, column, ok := strings.Cut(strings.TrimPrefix(place, "line "), ", column ")
	if !ok {
		return finding
	}
	finding.Line, _ = strconv.Atoi(line)
	finding.Column, _ = strconv.Atoi(column)
	finding.Message = "not JSON with comments: " + message
	return finding
}

// Checks nesting and the number of values without building anything.
func measure(data []byte, maxValues int) (offset int, problem string) {
	depth, values := 0, 1
	for at := 0; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = skipString(data, at)
		case '/':
			at = skipComment(data, at)
		case '{', '[':
			depth++
			values++
		case '}', ']':
			depth--
		case ',', ':':
			values++
		}
		if depth > maxNesting {
			return at, fmt.Sprintf("nested deeper than %d levels", maxNesting)
		}
		if values > maxValues {
			return at, fmt.Sprintf("more than %d values", maxValues)
		}
	}
	return 0, ""
}

func skipString(data []byte, at int) int {
	for at++; at < len(data) && data[at] != '"'; at++ {
		if data[at] == '\\' {
			at++
		}
	}
	return at
}

func skipComment(data []byte, at int) int {
	rest := data[at:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/")) + 3
		if end == 2 {
			end = -1
		}
	default:
		return at
	}
	if end < 0 {
		return len(data)
	}
	return at + end
}
