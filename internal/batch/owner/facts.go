package owner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// factAgain is when a fact that is still not in the state is written again. The
// journal settles lost answers; this covers a fact whose record was void
// because it overtook the one that it depends on.
const factAgain clock.Millis = 15 * clock.Second

// fact is a record about one attempt that is on its way.
type fact struct {
	attempt int
	added   clock.Millis
}

// factKey names a fact: what kind of record, about which job.
type factKey struct {
	id   string
	kind cell.Kind
}

// once writes a record about the newest attempt of a job, unless one of its
// kind is on its way already.
func (owner *Owner) once(entry *cell.Job, record []byte) {
	now := owner.now()
	key := factKey{id: entry.ID, kind: cell.Kind(record[0])}
	last, known := owner.facts[key]
	if known && last.attempt == entry.Attempt && now-last.added < factAgain {
		return
	}
	owner.facts[key] = fact{attempt: entry.Attempt, added: now}
	owner.add(record, func(_ stream.Offset, err error) {
		if err != nil {
			delete(owner.facts, key)
		}
	})
}

// underWay reports whether a record of a kind about the newest attempt of a job
// is on its way.
func (owner *Owner) underWay(entry *cell.Job, kind cell.Kind) bool {
	last, known := owner.facts[factKey{id: entry.ID, kind: kind}]
	return known && last.attempt == entry.Attempt
}

// settled forgets the facts that the state now holds.
func (owner *Owner) settled(event cell.Event) {
	delete(owner.facts, factKey{id: event.ID, kind: event.Kind})
	if event.Kind == cell.KindEnd && event.Valid {
		delete(owner.facts, factKey{id: event.ID, kind: cell.KindEvict})
		delete(owner.saved, event.ID)
	}
}

func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K { return slices.Sorted(maps.Keys(set)) }
