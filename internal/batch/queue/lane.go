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

// lane is the sizes that wait for the same workers.
type lane struct {
	name  string
	sizes []*sizeClass
	known map[amount.Amount]*sizeClass
	// Sizes that were refused and not forgotten. None contains another.
	refused []amount.Amount
}

// sizeClass is all tasks of a lane whose rounded sizes are equal.
type sizeClass struct {
	lane         *lane
	floor        amount.Amount
	at           int // in the lane's sizes
	lines        map[*team]*line
	refused      bool
	refusedSince clock.Millis // first refusal after the last start, or never
}

func newLane(name string) *lane {
	return &lane{name: name, known: map[amount.Amount]*sizeClass{}}
}

// size returns the size with a floor. A new one is refused if a smaller one is.
func (l *lane) size(floor amount.Amount) *sizeClass {
	found, known := l.known[floor]
	if known {
		return found
	}
	found = &sizeClass{lane: l, floor: floor, at: len(l.sizes), lines: map[*team]*line{}, refusedSince: never}
	found.refused = slices.ContainsFunc(l.refused, floor.Fits)
	l.known[floor] = found
	l.sizes = append(l.sizes, found)
	return found
}

func (l *lane) drop(gone *sizeClass) {
	delete(l.known, gone.floor)
	last := len(l.sizes) - 1
	l.sizes[gone.at] = l.sizes[last]
	l.sizes[gone.at].at = gone.at
	l.sizes[last] = nil
	l.sizes = l.sizes[:last]
}

// refuse remembers that a size found no room; what is no smaller will not.
func (l *lane) refuse(refused *sizeClass, now clock.Millis) {
	l.refused = slices.DeleteFunc(l.refused, func(kept amount.Amount) bool { return kept.Fits(refused.floor) })
	l.refused = append(l.refused, refused.floor)
	for _, size := range l.sizes {
		if !size.floor.Fits(refused.floor) {
			continue
		}
		size.set(true)
		if size.refusedSince == never {
			size.refusedSince = now
		}
	}
}

// forget drops the refusals of what fits into an amount. The others stay true:
// no larger room has become free.
func (l *lane) forget(room amount.Amount) {
	l.refused = slices.DeleteFunc(l.refused, room.Fits)
	for _, size := range l.sizes {
		if size.refused && room.Fits(size.floor) {
			size.set(false)
		}
	}
}

// set marks the size as refused or not, in the counts of its teams too.
func (s *sizeClass) set(refused bool) {
	if s.refused == refused {
		return
	}
	s.refused = refused
	change := 1
	if refused {
		change = -1
	}
	for team := range s.lines {
		team.open += change
	}
}

// line returns the size's line of a team.
func (s *sizeClass) line(owner *team) *line {
	found, known := s.lines[owner]
	if known {
		return found
	}
	found = &line{size: s, team: owner, at: len(owner.lines)}
	s.lines[owner] = found
	owner.lines = append(owner.lines, found)
	if !s.refused {
		owner.open++
	}
	return found
}

// first returns the size's line of the team that comes first, or nil.
func (s *sizeClass) first(standings []standing) *line {
	var first *standing
	for at := range standings {
		standing := &standings[at]
		if _, has := s.lines[standing.team]; has && (first == nil || standing.before(first)) {
			first = standing
		}
	}
	if first == nil {
		return nil
	}
	return s.lines[first.team]
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
