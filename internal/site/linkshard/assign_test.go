package linkshard

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
)

// newFleet returns workers and entries in the given number of failure domains, each
// with 3 strong and 17 weak entries.
func newFleet(domains, workers int) ([]Worker, []Entry) {
	var fleetWorkers []Worker
	var entries []Entry
	for d := range domains {
		domain := fmt.Sprint("d", d)
		for i := range workers {
			fleetWorkers = append(fleetWorkers, Worker{ID: fmt.Sprintf("%s-w%d", domain, i), Domain: domain})
		}
		for i := range 20 {
			entries = append(entries, Entry{Address: fmt.Sprintf("%s-e%d", domain, i), Domain: domain, Cores: lo.Ternary(i < 3, 0.8, 0.192)})
		}
	}
	return fleetWorkers, entries
}

func TestChooseLinksPrefersStrongEntriesOfTheDomain(t *testing.T) {
	workers, entries := newFleet(5, 178)
	chosen := ChooseLinks(entries, workers)
	strong := lo.CountBy(chosen, func(e Entry) bool { return e.Cores == 0.8 })
	if len(chosen) != 15 || strong != 15 {
		t.Errorf("%d links, %d of them strong; want the 15 strong ones", len(chosen), strong)
	}
	assigned := AssignLinks(workers, chosen)
	for _, w := range workers {
		if link := assigned[w.ID]; link[:2] != w.Domain {
			t.Fatalf("%s is assigned to %s", w.ID, link)
		}
	}
}

func TestAssignLinksKeepsWithinCapacity(t *testing.T) {
	workers, entries := newFleet(5, 178)
	// One failure domain has a single strong entry left.
	entries = lo.Reject(entries, func(e Entry, _ int) bool { return e.Address == "d0-e0" || e.Address == "d0-e1" })
	chosen := ChooseLinks(entries, workers)
	load := lo.CountValues(lo.Values(AssignLinks(workers, chosen)))
	for _, e := range chosen {
		if load[e.Address] > e.capacity() {
			t.Errorf("%s of %.3f cores has %d workers", e.Address, e.Cores, load[e.Address])
		}
	}
}

// Workers of a failure domain without entries get links in other domains.
func TestAssignLinksForDomainWithoutEntries(t *testing.T) {
	workers, entries := newFleet(3, 100)
	entries = lo.Filter(entries, func(e Entry, _ int) bool { return e.Domain != "d1" })
	assigned := AssignLinks(workers, ChooseLinks(entries, workers))
	if len(assigned) != len(workers) {
		t.Errorf("%d of %d workers have a link", len(assigned), len(workers))
	}
}

func TestAssignLinksSpreadsWorkersOverWeakEntries(t *testing.T) {
	workers, entries := newFleet(2, 89)
	for i := range entries {
		entries[i].Cores = 0.12
	}
	load := lo.CountValues(lo.Values(AssignLinks(workers, ChooseLinks(entries, workers))))
	for link, count := range load {
		if count > 19 {
			t.Errorf("%s of 0.12 cores has %d workers", link, count)
		}
	}
}

func TestAssignLinksWithoutLinks(t *testing.T) {
	workers, _ := newFleet(1, 3)
	if diff := cmp.Diff(map[string]string(nil), AssignLinks(workers, ChooseLinks(nil, workers))); diff != "" {
		t.Errorf("assigned (-want +got):\n%s", diff)
	}
}

// BenchmarkAssign assigns 3,000 workers to links chosen from 300 entries.
func BenchmarkAssign(b *testing.B) {
	workers, entries := newFleet(15, 200)
	for b.Loop() {
		AssignLinks(workers, ChooseLinks(entries, workers))
	}
}
