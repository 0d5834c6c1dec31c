package owner

// Pairs of images of which nothing is known are tried one task at a time.

// exploring reports whether a pair that is not known yet is being tried: one
// task at a time on a worker that has nothing else unknown.
func (o *Owner) exploring(part *servingPart, fill string) bool {
	return len(part.unknown) > 0 || o.trials[trial{part.image, fill}] > 0
}

// trial is a pair of images that is being tried.
type trial struct{ serving, fill string }

// countTrials counts the tasks by which each unknown pair is being tried.
func (o *Owner) countTrials() {
	clear(o.trials)
	for _, w := range o.ordered {
		plan := o.plan(w)
		for i := range plan.serving {
			for _, fill := range plan.serving[i].unknown {
				o.trials[trial{plan.serving[i].image, fill}]++
			}
		}
	}
}

// noteTrial counts a task that was just placed.
func (o *Owner) noteTrial(step *stepState, w *worker) {
	if !step.spec.Fills {
		return
	}
	plan := o.plan(w)
	for i := range plan.serving {
		if !o.harm.Pair(plan.serving[i].image, step.spec.Image).Known() {
			o.trials[trial{plan.serving[i].image, step.spec.Image}]++
			o.tried++
		}
	}
}
