package owner

// Pairs of images whose interference is unknown are tried with one task at a
// time, on a worker that has nothing else unknown beside the group. Jobs that
// have waited for relaxPlacementAfter are exempt.

// underTrial reports whether a task of an unknown pair of images must wait: the
// pair is being tried on any worker, or another unknown pair is being tried
// beside the group.
func (o *Owner) underTrial(group *servingGroup, bestEffort string) bool {
	return len(group.unknownImages) > 0 || o.trials[trial{group.image, bestEffort}] > 0
}

// trial is a pair of images whose interference is not known yet.
type trial struct{ serving, bestEffort string }

// countTrials counts the running trials of each unknown pair.
func (o *Owner) countTrials() {
	clear(o.trials)
	for _, w := range o.sortedWorkers {
		plan := o.plan(w)
		for i := range plan.serving {
			for _, bestEffort := range plan.serving[i].unknownImages {
				o.trials[trial{plan.serving[i].image, bestEffort}]++
			}
		}
	}
}

// addTrial counts the trials that a task just placed begins.
func (o *Owner) addTrial(step *stepState, w *worker) {
	if !step.spec.Fills {
		return
	}
	plan := o.plan(w)
	for i := range plan.serving {
		if !o.interference.Pair(plan.serving[i].image, step.spec.Image).Known() {
			o.trials[trial{plan.serving[i].image, step.spec.Image}]++
			o.trialsStarted++
		}
	}
}
