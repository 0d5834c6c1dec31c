// Package mark is the operators' word that a failure domain or a VM is out of
// service, or back in it.
//
// # Usage
//
//	marks = marks.With(mark.Mark{Kind: mark.Domain, Name: "a", Out: true})
//	if marks.Out("a", "a-w-03") { ... }
package mark

import "maps"

// Kind says what a mark is about.
type Kind string

// The kinds.
const (
	Domain Kind = "failure_domain"
	VM     Kind = "vm"
)

// Mark takes one thing out of service or puts it back.
type Mark struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
	Out  bool   `cbor:"3,keyasint,omitempty" json:"out"`
}

// Set is all that is out of service. It is immutable; the zero value is empty.
type Set struct {
	Domains map[string]bool `cbor:"1,keyasint,omitempty" json:"failure_domains"`
	VMs     map[string]bool `cbor:"2,keyasint,omitempty" json:"vms"`
}

// With returns the set after a mark.
func (set Set) With(m Mark) Set {
	if m.Kind == Domain {
		set.Domains = with(set.Domains, m)
		return set
	}
	set.VMs = with(set.VMs, m)
	return set
}

func with(old map[string]bool, m Mark) map[string]bool {
	next := maps.Clone(old)
	if next == nil {
		next = map[string]bool{}
	}
	if m.Out {
		next[m.Name] = true
	} else {
		delete(next, m.Name)
	}
	return next
}

// Has reports whether a mark is in force already.
func (set Set) Has(m Mark) bool {
	if m.Kind == Domain {
		return set.Domains[m.Name] == m.Out
	}
	return set.VMs[m.Name] == m.Out
}

// DomainOut reports whether a failure domain is out.
func (set Set) DomainOut(domain string) bool { return set.Domains[domain] }

// Out reports whether a VM is out, by itself or with its failure domain.
func (set Set) Out(domain, vm string) bool { return set.Domains[domain] || set.VMs[vm] }
