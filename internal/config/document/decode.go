package document

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Shape tells how to read the objects of one struct type: the value that
// stands where the file says nothing, and the members that it must give.
type Shape struct {
	Prototype any      // a struct value
	Required  []string // json names
}

// Words for units, by the ending of a member's name.
var units = []struct{ suffix, word string }{
	{"_per_second", "a whole number per second"},
	{"_milli_cores", "a whole number of thousandths of a core"},
	{"milli_cores", "a whole number of thousandths of a core"},
	{"_percent", "a whole number of percent"},
	{"_bytes", "a whole number of bytes"},
	{"_mb", "a whole number of megabytes (2^20 bytes)"},
	{"_ms", "a whole number of milliseconds"},
}

// Endings that people use for units, longest first.
var guesses = []string{
	"_per_second", "_per_sec", "_milliseconds", "_milli_cores", "_millis", "_seconds", "_minutes", "_percent",
	"_cores", "_bytes", "_secs", "_mins", "_msec", "_sec", "_min", "_pct", "_mib", "_gib", "_kib",
	"_ms", "_mb", "_gb", "_kb", "_s", "_m", "_h",
}

// Decode fills target, a pointer to a struct, and returns what is wrong.
func (doc *Document) Decode(target any, shapes ...Shape) []Finding {
	walk := &walker{doc: doc, shapes: map[reflect.Type]Shape{}}
	for _, shape := range shapes {
		walk.shapes[reflect.TypeOf(shape.Prototype)] = shape
	}
	doc.found = nil
	walk.value(&doc.root, reflect.ValueOf(target).Elem(), "")
	return doc.found
}

type walker struct {
	doc    *Document
	shapes map[reflect.Type]Shape
}

func (walk *walker) faultf(source *hujson.Value, path, format string, values ...any) {
	if len(walk.doc.found) < maxFindings {
		walk.doc.found = append(walk.doc.found, walk.doc.at(source.StartOffset, path, fmt.Sprintf(format, values...)))
	}
}

func (walk *walker) value(source *hujson.Value, target reflect.Value, path string) {
	walk.doc.places[path] = source.StartOffset
	switch target.Kind() {
	case reflect.Struct:
		walk.object(source, target, path)
	case reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		walk.value(source, fresh.Elem(), path)
		target.Set(fresh)
	case reflect.Slice:
		walk.array(source, target, path)
	case reflect.String:
		if literal, ok := walk.literal(source, path, '"', "a string"); ok {
			target.SetString(literal.String())
		}
	case reflect.Bool:
		walk.boolean(source, target, path)
	default:
		walk.number(source, target, path)
	}
}

func (walk *walker) object(source *hujson.Value, target reflect.Value, path string) {
	object, ok := source.Value.(*hujson.Object)
	if !ok {
		walk.faultf(source, path, "must be an object, not %s", describe(source))
		return
	}
	shape := walk.shapes[target.Type()]
	if shape.Prototype != nil {
		target.Set(reflect.ValueOf(shape.Prototype))
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for at := range object.Members {
		member := &object.Members[at]
		name := member.Name.Value.(hujson.Literal).String()
		where := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			meant := similar(name, fields)
			seen[meant] = true // one fault, not another for the member that is missing
			walk.faultf(&member.Name, where, "%s", unknown(meant, fields))
		case seen[name]:
			walk.faultf(&member.Name, where, "given twice")
		default:
			walk.value(&member.Value, target.Field(index), where)
		}
		seen[name] = true
	}
	for _, name := range shape.Required {
		if !seen[name] {
			walk.faultf(source, join(path, name), "is missing")
		}
	}
}

func (walk *walker) array(source *hujson.Value, target reflect.Value, path string) {
	array, ok := source.Value.(*hujson.Array)
	if !ok {
		walk.faultf(source, path, "must be an array, not %s", describe(source))
		return
	}
	if len(array.Elements) > maxElements {
		walk.faultf(source, path, "has %d elements; the limit is %d", len(array.Elements), maxElements)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for at := range array.Elements {
		walk.value(&array.Elements[at], list.Index(at), fmt.Sprintf("%s[%d]", path, at))
	}
	target.Set(list)
}

func (walk *walker) boolean(source *hujson.Value, target reflect.Value, path string) {
	kind := source.Value.Kind()
	if kind != 't' && kind != 'f' {
		walk.faultf(source, path, "must be true or false, not %s", describe(source))
		return
	}
	target.SetBool(kind == 't')
}

func (walk *walker) number(source *hujson.Value, target reflect.Value, path string) {
	expected := expectation(path)
	literal, ok := walk.literal(source, path, '0', expected)
	if !ok {
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if errors.Is(err, strconv.ErrRange) {
		walk.faultf(source, path, "%s is out of range", clip(string(literal)))
		return
	}
	if err != nil {
		walk.faultf(source, path, "must be %s, not %s", expected, clip(string(literal)))
		return
	}
	target.SetInt(number)
}

func (walk *walker) literal(source *hujson.Value, path string, kind hujson.Kind, expected string) (hujson.Literal, bool) {
	literal, ok := source.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		walk.faultf(source, path, "must be %s, not %s", expected, describe(source))
		return nil, false
	}
	return literal, true
}

func expectation(path string) string {
	for _, unit := range units {
		if strings.HasSuffix(path, unit.suffix) {
			return unit.word
		}
	}
	return "a whole number"
}

func describe(source *hujson.Value) string {
	switch source.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case 'n':
		return "null"
	case '"':
		return "the string " + clip(string(source.Value.(hujson.Literal)))
	}
	return clip(string(source.Value.(hujson.Literal)))
}

func clip(text string) string {
	const longest = 40 // bytes of a value that a message quotes
	if len(text) <= longest {
		return text
	}
	return strings.ToValidUTF8(text[:longest], "") + "..."
}

// Returns the member that was meant when only the unit differs, or "".
func similar(name string, fields map[string]int) string {
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(stem(known), stem(name)) {
			return known
		}
	}
	return ""
}

func unknown(meant string, fields map[string]int) string {
	if meant != "" {
		return fmt.Sprintf("unknown field; %q is meant, %s", meant, expectation(meant))
	}
	return "unknown field; known here: " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
}

func stem(name string) string {
	name = strings.ToLower(name)
	for _, suffix := range guesses {
		if rest, ok := strings.CutSuffix(name, suffix); ok && rest != "" {
			return rest
		}
	}
	return name
}

func fieldsOf(kind reflect.Type) map[string]int {
	fields := make(map[string]int, kind.NumField())
	for at := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(at).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = at
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return clip(name)
	}
	return path + "." + clip(name)
}
