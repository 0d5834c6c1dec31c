package manifest

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Customer is one of the parties that share the workers.
type Customer struct {
	Name   string
	Keys   []Key      // identify its callers
	Weight float64    // its share relative to other customers when the workers are full; also the submissions a second that it may expect to be served
	Limit  fleet.Room // most that it may have running on all workers together; 0 in a field: no limit
}

// Problem is a fault in the list of customers. Its fields may be logged.
type Problem struct {
	Customer string `json:"customer"`
	Text     string `json:"problem"`
}

// identity is the customer that a key identifies.
type identity struct {
	digest   [sha256.Size]byte
	customer string
}

// customerIndex holds the customers of a manifest.
type customerIndex struct {
	byName   map[string]Customer
	byDigest map[[sha256.Size]byte]identity // keys that identify one customer
	problems []Problem                      // in the order of the customers' names
}

// newCustomerIndex checks a list of customers. A customer without a name is ignored.
// Of customers with the same name, the first has effect, with the keys of all of them.
// Malformed keys and keys of several customers identify nobody.
func newCustomerIndex(listed []Customer) *customerIndex {
	index := &customerIndex{byName: map[string]Customer{}, byDigest: map[[sha256.Size]byte]identity{}}
	for _, customer := range listed {
		first, repeated := index.byName[customer.Name]
		switch {
		case customer.Name == "":
			index.addProblem("", "a customer has no name and is ignored")
			continue
		case repeated:
			index.addProblem(customer.Name, "the name is listed more than once: the first weight and limit have effect, and the keys of all")
			first.Keys = slices.Concat(first.Keys, customer.Keys)
			customer = first
		}
		index.byName[customer.Name] = customer
	}
	index.indexKeys()
	return index
}

// indexKeys indexes the keys of all customers.
func (x *customerIndex) indexKeys() {
	holders := map[[sha256.Size]byte][]string{}
	for _, name := range slices.Sorted(maps.Keys(x.byName)) {
		for _, key := range x.byName[name].Keys {
			if key.problem != "" {
				x.addProblem(name, key.problem+" is ignored")
				continue
			}
			if !slices.Contains(holders[key.digest], name) {
				holders[key.digest] = append(holders[key.digest], name)
			}
		}
	}
	for digest, names := range holders {
		if len(names) == 1 {
			x.byDigest[digest] = identity{digest: digest, customer: names[0]}
			continue
		}
		for _, name := range names {
			x.addProblem(name, "a key is shared with another customer and identifies nobody")
		}
	}
	slices.SortStableFunc(x.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Text, b.Text))
	})
	x.problems = slices.Compact(x.problems)
}

func (x *customerIndex) addProblem(customer, text string) {
	x.problems = append(x.problems, Problem{Customer: customer, Text: text})
}

// WithCustomers returns the manifest with the given customers. CustomerProblems lists
// the faults of the list.
func (m Manifest) WithCustomers(customers []Customer) Manifest {
	m.customers = nil
	if len(customers) > 0 {
		m.customers = newCustomerIndex(customers)
	}
	return m
}

// HasCustomers reports whether customers are listed, so that calls need a key.
func (m Manifest) HasCustomers() bool { return m.customers != nil }

// Customer returns a customer by its name.
func (m Manifest) Customer(name string) (Customer, bool) {
	if m.customers == nil {
		return Customer{}, false
	}
	customer, ok := m.customers.byName[name]
	return customer, ok
}

// Customers returns all customers in the order of their names.
func (m Manifest) Customers() []Customer {
	if m.customers == nil {
		return nil
	}
	customers := lo.Values(m.customers.byName)
	slices.SortFunc(customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	return customers
}

// CustomerProblems returns the faults of the list of customers.
func (m Manifest) CustomerProblems() []Problem {
	if m.customers == nil {
		return nil
	}
	return m.customers.problems
}

// Identify returns the name of the customer that a secret identifies. The time taken
// depends on the digest of the secret, whose hash in the map is seeded at random, and
// not on how much of the secret is right.
func (m Manifest) Identify(secret string) (name string, ok bool) {
	if m.customers == nil || secret == "" || len(secret) > maxSecretBytes {
		return "", false
	}
	digest := sha256.Sum256([]byte(secret))
	found, listed := m.customers.byDigest[digest]
	if !listed || subtle.ConstantTimeCompare(found.digest[:], digest[:]) != 1 {
		return "", false
	}
	return found.customer, true
}
