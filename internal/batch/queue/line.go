package queue

// entry is a waiting task with its line. It stays in the line's heap when it
// is removed, until it comes up or half of the heap is gone.
type entry struct {
	Item
	serial uint64
	line   *line
	gone   bool
}

func (e *entry) before(other *entry) bool {
	if e.Since != other.Since {
		return e.Since < other.Since
	}
	return e.serial < other.serial
}

// line is the tasks of one lane, team and size: a heap by age.
type line struct {
	size *sizeClass
	team *team
	at   int // in the team's lines
	heap []*entry
	live int
}

// Heaps shorter than this are not worth compacting.
const minCompact = 32

func (l *line) push(added *entry) {
	added.line = l
	l.live++
	l.heap = append(l.heap, added)
	l.up(len(l.heap) - 1)
}

// drop counts a task as gone and compacts the heap when most of it is.
func (l *line) drop(gone *entry) {
	gone.gone = true
	l.live--
	if len(l.heap) < minCompact || l.live*2 > len(l.heap) {
		return
	}
	kept := make([]*entry, 0, l.live)
	for _, entry := range l.heap {
		if !entry.gone {
			kept = append(kept, entry)
		}
	}
	l.heap = kept
	for at := len(kept)/2 - 1; at >= 0; at-- {
		l.down(at)
	}
}

// close takes an empty line out of its size and team.
func (l *line) close() {
	delete(l.size.lines, l.team)
	if !l.size.refused {
		l.team.open--
	}
	last := len(l.team.lines) - 1
	l.team.lines[l.at] = l.team.lines[last]
	l.team.lines[l.at].at = l.at
	l.team.lines[last] = nil
	l.team.lines = l.team.lines[:last]
}

// head returns the oldest task; the line must not be empty.
func (l *line) head() *entry {
	for l.heap[0].gone {
		last := len(l.heap) - 1
		l.heap[0] = l.heap[last]
		l.heap[last] = nil
		l.heap = l.heap[:last]
		l.down(0)
	}
	return l.heap[0]
}

func (l *line) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !l.heap[at].before(l.heap[parent]) {
			return
		}
		l.heap[at], l.heap[parent] = l.heap[parent], l.heap[at]
		at = parent
	}
}

func (l *line) down(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(l.heap); child++ {
			if l.heap[child].before(l.heap[least]) {
				least = child
			}
		}
		if least == at {
			return
		}
		l.heap[at], l.heap[least] = l.heap[least], l.heap[at]
		at = least
	}
}
