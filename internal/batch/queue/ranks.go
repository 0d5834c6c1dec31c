package queue

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// ranks is the waiting tasks of one class.
type ranks struct {
	teams map[string]*team
	lanes map[string]*lane
}

// team is the lines of one team.
type team struct {
	name  string
	lines []*line
	open  int // lines whose size is not refused
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
	owner, known := r.teams[added.Team]
	if !known {
		owner = &team{name: added.Team}
		r.teams[added.Team] = owner
	}
	lane.size(floor(added.Size)).line(owner).push(added)
}

func (r *ranks) remove(gone *entry) {
	line := gone.line
	line.drop(gone)
	if line.live > 0 {
		return
	}
	line.close()
	if len(line.team.lines) == 0 {
		delete(r.teams, line.team.name)
	}
	lane := line.size.lane
	if len(line.size.lines) == 0 {
		lane.drop(line.size)
	}
	if len(lane.sizes) == 0 {
		delete(r.lanes, lane.name)
	}
}

// forget drops the refusals of what fits into an amount.
func (r *ranks) forget(room amount.Amount) {
	for _, lane := range r.lanes {
		lane.forget(room)
	}
}

// standing is a team's place in the order of one call.
type standing struct {
	team  *team
	share float64
}

func (s *standing) before(other *standing) bool {
	if s.share != other.share {
		return s.share < other.share
	}
	return s.team.name < other.team.name
}

// standings appends the teams with something to offer, in no order.
func (r *ranks) standings(found []standing, share func(string) float64) []standing {
	for _, team := range r.teams {
		if team.open > 0 {
			found = append(found, standing{team, share(team.name)})
		}
	}
	return found
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

// oldest returns the oldest task of the team whose size is not refused, or nil.
func (t *team) oldest() *entry {
	if t.open == 0 {
		return nil
	}
	var oldest *entry
	for _, line := range t.lines {
		if line.size.refused {
			continue
		}
		if head := line.head(); oldest == nil || head.before(oldest) {
			oldest = head
		}
	}
	return oldest
}
