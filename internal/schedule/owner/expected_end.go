package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// Bounds of a run's duration before its progress shows more.
const (
	declaredLateFactor              = 2                 // a run may take this multiple of its declared duration
	undeclaredLate     clock.Millis = 10 * clock.Second // of a task without a declared duration; batch tasks are short
)

// endTolerance is the change of an expected end that is ignored: it is below the
// delay from an end to the next start on the worker.
const endTolerance clock.Millis = 40

// runProgress is what is known of a run's duration. The zero value is a run that
// has not started.
type runProgress struct {
	elapsed   clock.Millis
	percent   int  // done, rounded down; 0: nothing is known
	fromStart bool // all of percent was done in this run, within elapsed
}

// expectedLength returns the likely and the sure duration of a run from its start. All
// expected ends are computed from it.
func expectedLength(lengths taskLengths, progress runProgress) timeline.Ends {
	expected := timeline.Ends{Likely: lengths.likely, Sure: lengths.late}
	const whole = 100
	elapsed, percent := progress.elapsed, clock.Millis(progress.percent)
	switch {
	case percent > 0 && progress.fromStart:
		shortest, longest := elapsed*whole/(percent+1), elapsed*whole/percent
		expected.Likely = min(max(expected.Likely, shortest), longest)
		if expected.Sure < shortest || expected.Sure > longest { // the progress disproves the known duration, or bounds it more closely
			expected.Sure = longest
		}
	case percent > 0: // some of it was done before elapsed began: in earlier runs or under an earlier owner
		expected.Likely = elapsed + expected.Likely*(whole-percent)/whole
		expected.Sure = elapsed + expected.Sure*(whole-percent)/whole
	}
	if elapsed >= expected.Sure { // the estimate was wrong; the run may take as long again
		expected.Sure = declaredLateFactor * elapsed
	}
	if elapsed >= expected.Likely {
		expected.Likely = (elapsed + expected.Sure) / 2
	}
	return expected
}

// expectedEnds returns the expected ends of a run.
func (o *Owner) expectedEnds(r *run) timeline.Ends {
	spec := r.task.spec()
	if spec.Lasting {
		return timeline.Ends{Likely: timeline.Never, Sure: timeline.Never}
	}
	progress := runProgress{percent: r.percentDone, fromStart: r.runNumber == 1 && r.startsSent > 0}
	if r.startedAt != 0 {
		progress.elapsed = o.now - r.startedAt
	}
	expected := expectedLength(o.taskLengths(r.task.job, &r.task.job.steps[r.task.step]), progress)
	begun := o.now - progress.elapsed
	return timeline.Ends{Likely: begun + expected.Likely, Sure: begun + expected.Sure}
}

// updateExpectedEnds updates the expected ends of a run after a report.
func (o *Owner) updateExpectedEnds(r *run) {
	if r.task.spec().Lasting {
		return
	}
	known, ends := r.expected.Ends(), o.expectedEnds(r)
	if differsBy(known.Likely, ends.Likely) < endTolerance && differsBy(known.Sure, ends.Sure) < endTolerance {
		return
	}
	r.worker.timeline.Estimate(r.expected, ends)
}

func differsBy(a, b clock.Millis) clock.Millis { return max(a-b, b-a) }
