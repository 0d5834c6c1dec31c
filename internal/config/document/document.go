// Package document strictly decodes files of JSON with comments: every member
// must be known, unique and of the right type. Each finding is reported with its
// line, column and field.
//
// Files are decoded into Go structs with json tags. A member's name carries its
// unit, so a message can suggest "deadline_ms" when a file has "deadline" or
// "deadline_s".
//
// # Usage
//
//	doc, findings := document.Parse("routes.json", data, maxBytes)
//	findings = doc.Decode(&table, document.Shape{Prototype: route.Route{MaxQueued: 1000}, Required: []string{"name"}})
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

// Limits that bound the memory used for a hostile file.
const (
	maxNesting    = 16      // levels of objects and arrays
	bytesPerValue = 8       // a file may have one value per 8 bytes of its size limit; a value takes about 100 bytes in the syntax tree
	maxElements   = 200_000 // elements of an array; twice the largest list that is accepted
	maxFindings   = 100     // findings reported per file
)

// Document is a parsed file. It is not safe for concurrent use.
type Document struct {
	file    string
	data    []byte
	root    hujson.Value
	offsets map[string]int // field path -> byte offset
	found   []Finding
}

// Parse parses the syntax of a file. If it returns findings, the document must
// not be decoded.
func Parse(file string, data []byte, maxBytes int) (*Document, []Finding) {
	doc := &Document{file: file, data: data, offsets: map[string]int{"": 0}}
	if len(data) > maxBytes {
		return doc, []Finding{{File: file, Message: fmt.Sprintf("file has %d bytes; the limit is %d", len(data), maxBytes)}}
	}
	if offset, problem := checkBounds(data, maxBytes/bytesPerValue); problem != "" {
		return doc, []Finding{doc.findingAt(offset, "", problem)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return doc, []Finding{doc.syntaxFinding(err)}
	}
	doc.root = root
	return doc, nil
}

// File returns the name of the file.
func (doc *Document) File() string { return doc.file }

// Size returns the length of the file in bytes.
func (doc *Document) Size() int { return len(doc.data) }

// HasMember reports whether the file is an object that has a member of this name.
func (doc *Document) HasMember(name string) bool {
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

// Locate fills in the position of a finding from its field. A field that is not
// in the file gets the position of the nearest enclosing field.
func (doc *Document) Locate(finding Finding) Finding {
	path := finding.Field
	for {
		if offset, ok := doc.offsets[path]; ok {
			return doc.findingAt(offset, finding.Field, finding.Message)
		}
		path = parentPath(path)
	}
}

// Has reports whether the decoded file has a value for the field.
func (doc *Document) Has(field string) bool {
	_, ok := doc.offsets[field]
	return ok
}

// parentPath returns the path of the enclosing field, or "" for the whole file.
func parentPath(path string) string {
	i := max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['))
	return path[:max(i, 0)]
}

func (doc *Document) findingAt(offset int, field, message string) Finding {
	before := doc.data[:min(offset, len(doc.data))]
	return Finding{
		File:    doc.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Field:   field,
		Message: message,
	}
}

// syntaxFinding takes the position from the message of the parser, which reads
// "hujson: line 3, column 9: problem".
func (doc *Document) syntaxFinding(err error) Finding {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	finding := Finding{File: doc.file, Line: 1, Column: 1, Message: "not JSON with comments: " + text}
	position, message, ok := strings.Cut(text, ": ")
	if !ok {
		return finding
	}
	line, column, ok := strings.Cut(strings.TrimPrefix(position, "line "), ", column ")
	if !ok {
		return finding
	}
	finding.Line, _ = strconv.Atoi(line)
	finding.Column, _ = strconv.Atoi(column)
	finding.Message = "not JSON with comments: " + message
	return finding
}

// checkBounds checks the nesting depth and the number of values without building
// a syntax tree. It returns the offset of the first violation.
func checkBounds(data []byte, maxValues int) (offset int, problem string) {
	depth, values := 0, 1
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
			values++
		case '}', ']':
			depth--
		case ',', ':':
			values++
		}
		if depth > maxNesting {
			return i, fmt.Sprintf("nested deeper than %d levels", maxNesting)
		}
		if values > maxValues {
			return i, fmt.Sprintf("more than %d values", maxValues)
		}
	}
	return 0, ""
}

// skipString returns the index of the closing quote of the string at i, or an
// index past the end if the string is unterminated.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment at i, len(data)
// if the comment is unterminated, or i if there is none.
func skipComment(data []byte, i int) int {
	rest := data[i:]
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
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}
