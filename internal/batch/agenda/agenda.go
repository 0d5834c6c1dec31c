// Package agenda keeps keys in order of when they are due, each at most once.
//
// An [Agenda] is a mutable engine of the control thread. Keys that are due at
// the same time come out in the order in which they were set, so that a run can
// be repeated exactly.
//
// # Usage
//
//	orders := agenda.New()
//	orders.Set(id, now+500)
//	for id, ok := orders.Pop(now); ok; id, ok = orders.Pop(now) { ... }
package agenda

import (
	"github.com/google/btree"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// degree of the tree; it bounds the entries of a node.
const degree = 32

// Agenda is keys with the time at which each is due.
type Agenda struct {
	items  *btree.BTreeG[item]
	keys   map[string]item
	serial uint64
}

type item struct {
	due    clock.Millis
	serial uint64
	key    string
}

func (one item) before(other item) bool {
	if one.due != other.due {
		return one.due < other.due
	}
	return one.serial < other.serial
}

// New returns an empty agenda.
func New() *Agenda {
	return &Agenda{items: btree.NewG(degree, item.before), keys: map[string]item{}}
}

// Set makes a key due at a time, earlier or later than before.
func (book *Agenda) Set(key string, due clock.Millis) {
	book.Remove(key)
	book.serial++
	added := item{due: due, serial: book.serial, key: key}
	book.keys[key] = added
	book.items.ReplaceOrInsert(added)
}

// SetIfAbsent makes a key due at a time unless it is kept already.
func (book *Agenda) SetIfAbsent(key string, due clock.Millis) {
	if !book.Has(key) {
		book.Set(key, due)
	}
}

// Remove takes a key out, if it is in.
func (book *Agenda) Remove(key string) {
	old, known := book.keys[key]
	if !known {
		return
	}
	book.items.Delete(old)
	delete(book.keys, key)
}

// Has reports whether a key is kept.
func (book *Agenda) Has(key string) bool {
	_, known := book.keys[key]
	return known
}

// Pop takes out the first key that is due, or returns false.
func (book *Agenda) Pop(now clock.Millis) (string, bool) {
	first, some := book.items.Min()
	if !some || first.due > now {
		return "", false
	}
	book.items.DeleteMin()
	delete(book.keys, first.key)
	return first.key, true
}

// Len returns how many keys are kept.
func (book *Agenda) Len() int { return len(book.keys) }
