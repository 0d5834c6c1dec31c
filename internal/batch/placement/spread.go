package placement

// Join counts a running member of a spread group on a VM.
func (x *Index) Join(group, vm string) {
	if group == "" {
		return
	}
	members, known := x.spreads[group]
	if !known {
		members = map[string]int{}
		x.spreads[group] = members
	}
	members[vm]++
}

// Leave undoes a Join.
func (x *Index) Leave(group, vm string) {
	members, known := x.spreads[group]
	if !known {
		return
	}
	members[vm]--
	if members[vm] <= 0 {
		delete(members, vm)
	}
	if len(members) == 0 {
		delete(x.spreads, group)
	}
}

// usedRacks counts a group's members by rack; nil for no group.
func (x *Index) usedRacks(group string) map[string]int {
	members := x.spreads[group]
	if len(members) == 0 {
		return nil
	}
	used := make(map[string]int, len(members))
	for vm, count := range members {
		if held, known := x.workers[vm]; known {
			used[held.Rack] += count
		}
	}
	return used
}
