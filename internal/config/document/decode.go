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

// Shape describes how objects of one struct type are decoded: their default
// values and their required members.
type Shape struct {
	Prototype any      // struct value with the defaults of omitted members
	Required  []string // JSON names of the required members
}

// units gives the expected value of a member by the unit suffix of its name. The
// first suffix that matches counts.
var units = []struct{ suffix, expected string }{
	{"_per_second", "a whole number per second"},
	{"_milli_cores", "a whole number of thousandths of a core"},
	{"milli_cores", "a whole number of thousandths of a core"},
	{"_percent", "a whole number of percent"},
	{"_bytes", "a whole number of bytes"},
	{"_mb", "a whole number of megabytes (2^20 bytes)"},
	{"_ms", "a whole number of milliseconds"},
}

// unitSuffixes are common spellings of units. A suffix that ends another one must
// follow it.
var unitSuffixes = []string{
	"_per_second", "_per_sec", "_milliseconds", "_milli_cores", "_millis", "_seconds", "_minutes", "_percent",
	"_cores", "_bytes", "_secs", "_mins", "_msec", "_sec", "_min", "_pct", "_mib", "_gib", "_kib",
	"_ms", "_mb", "_gb", "_kb", "_s", "_m", "_h",
}

// Decode decodes the file into target, a pointer to a struct, and returns the
// findings. It reports at most maxFindings of them.
func (doc *Document) Decode(target any, shapes ...Shape) []Finding {
	d := &decoder{doc: doc, shapes: map[reflect.Type]Shape{}}
	for _, shape := range shapes {
		d.shapes[reflect.TypeOf(shape.Prototype)] = shape
	}
	doc.found = nil
	d.value(&doc.root, reflect.ValueOf(target).Elem(), "")
	return doc.found
}

// decoder walks the syntax tree of a document and its target together.
type decoder struct {
	doc    *Document
	shapes map[reflect.Type]Shape
}

func (d *decoder) addf(source *hujson.Value, path, format string, values ...any) {
	if len(d.doc.found) < maxFindings {
		d.doc.found = append(d.doc.found, d.doc.findingAt(source.StartOffset, path, fmt.Sprintf(format, values...)))
	}
}

func (d *decoder) value(source *hujson.Value, target reflect.Value, path string) {
	d.doc.offsets[path] = source.StartOffset
	switch target.Kind() {
	case reflect.Struct:
		d.object(source, target, path)
	case reflect.Pointer:
		pointer := reflect.New(target.Type().Elem())
		d.value(source, pointer.Elem(), path)
		target.Set(pointer)
	case reflect.Slice:
		d.array(source, target, path)
	case reflect.String:
		if literal, ok := d.literal(source, path, '"', "a string"); ok {
			target.SetString(literal.String())
		}
	case reflect.Bool:
		d.boolean(source, target, path)
	default:
		d.number(source, target, path)
	}
}

func (d *decoder) object(source *hujson.Value, target reflect.Value, path string) {
	object, ok := source.Value.(*hujson.Object)
	if !ok {
		d.addf(source, path, "must be an object, not %s", describe(source))
		return
	}
	shape := d.shapes[target.Type()]
	if shape.Prototype != nil {
		target.Set(reflect.ValueOf(shape.Prototype))
	}
	indexes := fieldIndexes(target.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		index, known := indexes[name]
		switch {
		case !known:
			intended := intendedName(name, indexes)
			seen[intended] = true // prevents a second finding for the missing member
			d.addf(&member.Name, memberPath, "%s", unknownField(intended, indexes))
		case seen[name]:
			d.addf(&member.Name, memberPath, "given twice")
		default:
			d.value(&member.Value, target.Field(index), memberPath)
		}
		seen[name] = true
	}
	for _, name := range shape.Required {
		if !seen[name] {
			d.addf(source, joinPath(path, name), "is missing")
		}
	}
}

func (d *decoder) array(source *hujson.Value, target reflect.Value, path string) {
	array, ok := source.Value.(*hujson.Array)
	if !ok {
		d.addf(source, path, "must be an array, not %s", describe(source))
		return
	}
	if len(array.Elements) > maxElements {
		d.addf(source, path, "has %d elements; the limit is %d", len(array.Elements), maxElements)
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], slice.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(slice)
}

func (d *decoder) boolean(source *hujson.Value, target reflect.Value, path string) {
	kind := source.Value.Kind()
	if kind != 't' && kind != 'f' {
		d.addf(source, path, "must be true or false, not %s", describe(source))
		return
	}
	target.SetBool(kind == 't')
}

func (d *decoder) number(source *hujson.Value, target reflect.Value, path string) {
	expected := expectedValue(path)
	literal, ok := d.literal(source, path, '0', expected)
	if !ok {
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if errors.Is(err, strconv.ErrRange) {
		d.addf(source, path, "%s is out of range", clip(string(literal)))
		return
	}
	if err != nil {
		d.addf(source, path, "must be %s, not %s", expected, clip(string(literal)))
		return
	}
	target.SetInt(number)
}

func (d *decoder) literal(source *hujson.Value, path string, kind hujson.Kind, expected string) (hujson.Literal, bool) {
	literal, ok := source.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		d.addf(source, path, "must be %s, not %s", expected, describe(source))
		return nil, false
	}
	return literal, true
}

// expectedValue describes the value of a member by the unit in its name.
func expectedValue(path string) string {
	for _, unit := range units {
		if strings.HasSuffix(path, unit.suffix) {
			return unit.expected
		}
	}
	return "a whole number"
}

// describe returns the kind or the text of a value for a message.
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

// clip shortens a text that a message quotes.
func clip(text string) string {
	const maxQuotedBytes = 40
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

// intendedName returns the known member whose name differs only in its unit, or "".
func intendedName(name string, indexes map[string]int) string {
	for _, known := range slices.Sorted(maps.Keys(indexes)) {
		if strings.EqualFold(trimUnit(known), trimUnit(name)) {
			return known
		}
	}
	return ""
}

// unknownField returns the message for an unknown member.
func unknownField(intended string, indexes map[string]int) string {
	if intended != "" {
		return fmt.Sprintf("unknown field; %q is meant, %s", intended, expectedValue(intended))
	}
	return "unknown field; known here: " + strings.Join(slices.Sorted(maps.Keys(indexes)), ", ")
}

// trimUnit returns a name in lower case without its unit suffix.
func trimUnit(name string) string {
	name = strings.ToLower(name)
	for _, suffix := range unitSuffixes {
		if trimmed, ok := strings.CutSuffix(name, suffix); ok && trimmed != "" {
			return trimmed
		}
	}
	return name
}

// fieldIndexes returns the index of each struct field by its JSON name.
func fieldIndexes(structType reflect.Type) map[string]int {
	indexes := make(map[string]int, structType.NumField())
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			indexes[name] = i
		}
	}
	return indexes
}

func joinPath(path, name string) string {
	if path == "" {
		return clip(name)
	}
	return path + "." + clip(name)
}
