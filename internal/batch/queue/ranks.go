package queue

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Leading bits of a size that tell lines apart: four steps to an octave.
const keptBits = 3

// never stands for a size that was not refused since its last start.
const never clock.Millis = -1 << 62

// ranks is the waiting tasks of one class.
type ranks struct {
	teams map[string]*team
	lanes map[string]*lane
}

// team is the lines of one team.
type team struct {
	name  string
	lines map[*sizeClass]*line
}

// lane is the sizes that wait for the same workers.
type lane struct {
	name  string
	sizes map[amount.Amount]*sizeClass
	// Sizes refused since the last call of forget. None contains another.
	refused []amount.Amount
}

// sizeClass is all tasks of a lane whose rounded sizes are equal.
type sizeClass struct {
	lane         *lane
	floor        amount.Amount
	live         int
	refused      bool
	refusedSince clock.Millis // first refusal after the last start, or never
}

func newRanks() *ranks {
	return &ranks{teams: map[string]*team{}, lanes: map[string]*lane{}}
}

func (r *ranks) add(added *entry) {
	lane, known := r.lanes[added.Lane]
	if !known {
		lane = newLane(added.Lane)
		r.lanes[added.Lane] = lane
	}
	size := lane.size(floor(added.Size))
	owner, known := r.teams[added.Team]
	if !known {
		owner = &team{name: added.Team, lines: map[*sizeClass]*line{}}
		r.teams[added.Team] = owner
	}
	queue, known := owner.lines[size]
	if !known {
		queue = &line{size: size}
		owner.lines[size] = queue
	}
	queue.push(added)
	size.live++
}

func (r *ranks) remove(gone *entry) {
	line := gone.line
	line.drop(gone)
	line.size.live--
	if line.live == 0 {
		owner := r.teams[gone.Team]
		delete(owner.lines, line.size)
		if len(owner.lines) == 0 {
			delete(r.teams, gone.Team)
		}
	}
	if line.size.live > 0 {
		return
	}
	lane := line.size.lane
	delete(lane.sizes, line.size.floor)
	if len(lane.sizes) == 0 {
		delete(r.lanes, lane.name)
	}
}

// forget drops all refusals.
func (r *ranks) forget() {
	for _, lane := range r.lanes {
		lane.refused = lane.refused[:0]
		for _, size := range lane.sizes {
			size.refused = false
		}
	}
}

// open reports whether any size is not refused.
func (r *ranks) open() bool {
	for _, lane := range r.lanes {
		for _, size := range lane.sizes {
			if !size.refused {
				return true
			}
		}
	}
	return false
}

// overdue returns the sizes that were refused for too long and not in this
// round, longest first.
func (r *ranks) overdue(now, patience clock.Millis) []*sizeClass {
	var found []*sizeClass
	for _, lane := range r.lanes {
		for _, size := range lane.sizes {
			if !size.refused && size.refusedSince != never && now-size.refusedSince >= patience {
				found = append(found, size)
			}
		}
	}
	slices.SortFunc(found, (*sizeClass).compare)
	return found[:min(len(found), maxOverdue)]
}

func (s *sizeClass) compare(other *sizeClass) int {
	// Of sizes refused together the larger goes first: it waits for more.
	return cmp.Or(
		cmp.Compare(s.refusedSince, other.refusedSince),
		cmp.Compare(other.floor.Accelerators, s.floor.Accelerators),
		cmp.Compare(other.floor.MilliCores, s.floor.MilliCores),
		cmp.Compare(other.floor.MemoryMB, s.floor.MemoryMB),
		strings.Compare(s.lane.name, other.lane.name),
	)
}

// open reports whether any of the team's lines is not refused.
func (t *team) open() bool {
	for size := range t.lines {
		if !size.refused {
			return true
		}
	}
	return false
}

// oldest returns the oldest task of the team whose size is not refused, or nil.
func (t *team) oldest() *entry {
	var oldest *entry
	for size, line := range t.lines {
		if size.refused {
			continue
		}
		if head := line.head(); oldest == nil || head.before(oldest) {
			oldest = head
		}
	}
	return oldest
}

func newLane(name string) *lane {
	return &lane{name: name, sizes: map[amount.Amount]*sizeClass{}}
}

// size returns the size with a floor. A new one is refused if a smaller one is.
func (l *lane) size(floor amount.Amount) *sizeClass {
	found, known := l.sizes[floor]
	if known {
		return found
	}
	found = &sizeClass{lane: l, floor: floor, refusedSince: never}
	found.refused = slices.ContainsFunc(l.refused, floor.Fits)
	l.sizes[floor] = found
	return found
}

// refuse remembers that a size found no room; what is no smaller will not.
func (l *lane) refuse(refused *sizeClass, now clock.Millis) {
	l.refused = slices.DeleteFunc(l.refused, func(kept amount.Amount) bool { return kept.Fits(refused.floor) })
	l.refused = append(l.refused, refused.floor)
	for _, size := range l.sizes {
		if !size.floor.Fits(refused.floor) {
			continue
		}
		size.refused = true
		if size.refusedSince == never {
			size.refusedSince = now
		}
	}
}

// floor rounds each dimension down to a quarter of an octave, so that sizes
// that differ by less than a fifth wait in one line. Accelerators are exact.
func floor(a amount.Amount) amount.Amount {
	return amount.Amount{
		MilliCores:   quarterOctave(a.MilliCores),
		MemoryMB:     quarterOctave(a.MemoryMB),
		Accelerators: a.Accelerators,
	}
}

// quarterOctave keeps the three leading bits.
func quarterOctave(v int64) int64 {
	drop := max(bits.Len64(uint64(max(v, 0)))-keptBits, 0)
	return v >> drop << drop
}
