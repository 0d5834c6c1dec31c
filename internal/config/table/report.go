package table

import (
	"cmp"
	"fmt"
	"regexp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
)

// A name stands in stream names, ids and metrics, hence the narrow alphabet.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// VM names may have dots as well, as host names do.
var vmPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// report collects the findings of one row. Its prefix is the row's path.
type report struct {
	prefix string
	found  []Finding
}

func (row *report) addf(field, format string, values ...any) {
	path := row.prefix
	if field != "" && path != "" {
		path += "."
	}
	row.found = append(row.found, Finding{Field: path + field, Message: fmt.Sprintf(format, values...)})
}

func (row *report) name(field, name string) {
	if problem := nameProblem(name); problem != "" {
		row.addf(field, "%s", problem)
	}
}

// ValidName reports whether a text can name a row of the tables, a failure
// domain or an entry.
func ValidName(name string) bool { return nameProblem(name) == "" }

// ValidVM reports whether a text can be the name of a VM.
func ValidVM(name string) bool { return len(name) <= 253 && vmPattern.MatchString(name) }

func nameProblem(name string) string {
	switch {
	case name == "":
		return "is missing"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("a name has at most %d bytes, not %d", maxNameBytes, len(name))
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q is not a name: letters, digits, '-' and '_', the first a letter or digit", name)
	}
	return ""
}

// Reports a number outside of its limits.
func within[T cmp.Ordered](r *report, field string, value, least, most T) {
	if value < least {
		r.addf(field, "must be at least %v, not %v", least, value)
	}
	if value > most {
		r.addf(field, "must be at most %v, not %v", most, value)
	}
}

func (row *report) amount(field string, value, most amount.Amount) {
	within(row, field+".milli_cores", value.MilliCores, 0, most.MilliCores)
	within(row, field+".memory_mb", value.MemoryMB, 0, most.MemoryMB)
	within(row, field+".accelerators", value.Accelerators, 0, most.Accelerators)
}

// Reports the second of two equal names in a list of rows.
func (row *report) duplicates(field string, names []string, kind string) {
	first := make(map[string]int, len(names))
	for at, name := range names {
		earlier, seen := first[name]
		if seen && name != "" {
			row.addf(fmt.Sprintf("%s[%d].name", field, at), "duplicate %s %q; %s[%d] has it too", kind, name, field, earlier)
			continue
		}
		first[name] = at
	}
}

func routeField(at int, field string) string { return fmt.Sprintf("routes[%d].%s", at, field) }
