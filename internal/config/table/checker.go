package table

import (
	"cmp"
	"fmt"
	"regexp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
)

// Names appear in topic names, ids and metrics, hence the narrow alphabet.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// VM names may also contain dots, as host names do.
var vmPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker collects the findings of one row or table. Its prefix is the row's
// path, such as "routes[r]", or empty.
type checker struct {
	prefix string
	found  []Finding
}

func (c *checker) addf(field, format string, values ...any) {
	path := c.prefix
	if field != "" && path != "" {
		path += "."
	}
	c.found = append(c.found, Finding{Field: path + field, Message: fmt.Sprintf(format, values...)})
}

func (c *checker) name(field, name string) {
	if problem := nameProblem(name); problem != "" {
		c.addf(field, "%s", problem)
	}
}

// ValidName reports whether name is valid for a row of the tables, a failure
// domain or an entry.
func ValidName(name string) bool { return nameProblem(name) == "" }

// ValidVM reports whether name is a valid VM name, at most as long as a DNS name.
func ValidVM(name string) bool { return len(name) <= 253 && vmPattern.MatchString(name) }

// nameProblem returns what is wrong with a name, or "".
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

// within reports a value outside its limits, which are inclusive.
func within[T cmp.Ordered](c *checker, field string, value, minimum, maximum T) {
	if value < minimum {
		c.addf(field, "must be at least %v, not %v", minimum, value)
	}
	if value > maximum {
		c.addf(field, "must be at most %v, not %v", maximum, value)
	}
}

func (c *checker) amount(field string, value, maximum amount.Amount) {
	within(c, field+".milli_cores", value.MilliCores, 0, maximum.MilliCores)
	within(c, field+".memory_mb", value.MemoryMB, 0, maximum.MemoryMB)
	within(c, field+".accelerators", value.Accelerators, 0, maximum.Accelerators)
}

// duplicates reports each name that an earlier row of the list has too.
func (c *checker) duplicates(field string, names []string, kind string) {
	firstIndex := make(map[string]int, len(names))
	for i, name := range names {
		earlier, seen := firstIndex[name]
		if seen && name != "" {
			c.addf(fmt.Sprintf("%s[%d].name", field, i), "duplicate %s %q; %s[%d] has it too", kind, name, field, earlier)
			continue
		}
		firstIndex[name] = i
	}
}

func routeField(i int, field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }
