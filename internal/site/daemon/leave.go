package daemon

import (
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Times of leaving. Together they stay below the platform's grace.
const (
	leaveNotice = 2300 * time.Millisecond // until the platform has seen twice that this entry is not ready
	mostServing = 3 * time.Second         // for requests that are being served; callers wait no longer
	lastWord    = 300 * time.Millisecond  // within it, requests that are still open are told that they were given up
	leaveMargin = time.Second             // kept free before the platform ends the process
	usualGrace  = 6 * clock.Second        // taken where the settings say nothing
)

// departure is how the time between the order to stop and the end is spent.
type departure struct {
	notice  time.Duration // not ready any more, and still taking requests
	serving time.Duration // taking none, and answering what was taken
}

// departure divides the platform's grace.
func (d *Daemon) departure() departure {
	plan := departure{notice: leaveNotice}
	if d.options.Notice != 0 {
		plan.notice = d.options.Notice
	}
	grace := d.settings.Bounds.Grace
	if grace == 0 {
		grace = usualGrace
	}
	plan.serving = min(max(grace.Duration()-leaveNotice-leaveMargin, 2*lastWord), mostServing)
	return plan
}

// leave hands an ownership over and lets the platform take this entry out of
// rotation while it goes on serving.
func (d *Daemon) leave() {
	d.logger.Info().Str("event", "entry_leaving").Bool("owner", d.elector.Owning()).Send()
	d.leaving.Store(true)
	if d.gate != nil {
		d.gate.Drain(true)
	}
	d.elector.Retire()
	time.Sleep(d.departure().notice)
}
