package linkshard

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
)

// fleetOf returns workers and entries spread over failure domains: few strong
// entries among many weak ones in each.
func fleetOf(domains, workers int) ([]Worker, []Entry) {
	var all []Worker
	var entries []Entry
	for d := range domains {
		domain := fmt.Sprint("d", d)
		for i := range workers {
			all = append(all, Worker{ID: fmt.Sprintf("%s-w%d", domain, i), Domain: domain})
		}
		for i := range 20 {
			entries = append(entries, Entry{Address: fmt.Sprintf("%s-e%d", domain, i), Domain: domain, Cores: lo.Ternary(i < 3, 0.8, 0.192)})
		}
	}
	return all, entries
}

func TestStrongEntriesOfTheDomainAreChosen(t *testing.T) {
	workers, entries := fleetOf(5, 178)
	chosen := Choose(entries, workers)
	strong := lo.CountBy(chosen, func(e Entry) bool { return e.Cores == 0.8 })
	if len(chosen) != 15 || strong != 15 {
		t.Errorf("%d links, %d of them strong; want the 15 strong ones", len(chosen), strong)
	}
	assigned := Assign(workers, chosen)
	for _, w := range workers {
		if link := assigned[w.ID]; link[:2] != w.Domain {
			t.Fatalf("%s is assigned to %s", w.ID, link)
		}
	}
}

func TestNoLinkIsFilledAboveItsCapacity(t *testing.T) {
	workers, entries := fleetOf(5, 178)
	// One failure domain has lost all its strong entries but one.
	entries = lo.Reject(entries, func(e Entry, _ int) bool { return e.Address == "d0-e0" || e.Address == "d0-e1" })
	chosen := Choose(entries, workers)
	load := lo.CountValues(lo.Values(Assign(workers, chosen)))
	for _, e := range chosen {
		if load[e.Address] > e.capacity() {
			t.Errorf("%s of %.3f cores has %d workers", e.Address, e.Cores, load[e.Address])
		}
	}
}

// Workers of a failure domain without entries are called from elsewhere.
func TestDomainWithoutEntries(t *testing.T) {
	workers, entries := fleetOf(3, 100)
	entries = lo.Filter(entries, func(e Entry, _ int) bool { return e.Domain != "d1" })
	assigned := Assign(workers, Choose(entries, workers))
	if len(assigned) != len(workers) {
		t.Errorf("%d of %d workers have a link", len(assigned), len(workers))
	}
}

func TestWeakEntriesShareTheCallsWhereAllAreWeak(t *testing.T) {
	workers, entries := fleetOf(2, 89)
	for i := range entries {
		entries[i].Cores = 0.12
	}
	load := lo.CountValues(lo.Values(Assign(workers, Choose(entries, workers))))
	for link, count := range load {
		if count > 19 {
			t.Errorf("%s of 0.12 cores has %d workers", link, count)
		}
	}
}

func TestNoLinks(t *testing.T) {
	workers, _ := fleetOf(1, 3)
	if diff := cmp.Diff(map[string]string(nil), Assign(workers, Choose(nil, workers))); diff != "" {
		t.Errorf("assigned (-want +got):\n%s", diff)
	}
}

// BenchmarkAssign gives 3,000 workers their links among 300 entries.
func BenchmarkAssign(b *testing.B) {
	workers, entries := fleetOf(15, 200)
	for b.Loop() {
		Assign(workers, Choose(entries, workers))
	}
}
