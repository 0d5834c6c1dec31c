package owner

// Pairs of images of which nothing is known are tried one task at a time.

// exploring reports whether a pair that is not known yet is being tried: one
// task at a time on a worker that has nothing else unknown.
func (o *Owner) exploring(serving, fill string, w *worker) bool {
	for r := range w.runs {
		spec := r.task.spec()
		if spec.Fills && !o.harm.Pair(serving, spec.Image).Known() {
			return true
		}
	}
	return o.trials[trial{serving, fill}] > 0
}

// trial is a pair of images that is being tried.
type trial struct{ serving, fill string }

// countTrials counts the workers on which each unknown pair is being tried.
func (o *Owner) countTrials() {
	clear(o.trials)
	for _, w := range o.ordered {
		for _, part := range o.plan(w).serving {
			for r := range w.runs {
				spec := r.task.spec()
				if spec.Fills && !o.harm.Pair(part.image, spec.Image).Known() {
					o.trials[trial{part.image, spec.Image}]++
				}
			}
		}
	}
}

// noteTrial counts a task that was just placed.
func (o *Owner) noteTrial(step *stepState, w *worker) {
	if !step.spec.Fills {
		return
	}
	for _, part := range o.plan(w).serving {
		if !o.harm.Pair(part.image, step.spec.Image).Known() {
			o.trials[trial{part.image, step.spec.Image}]++
		}
	}
}
