package owner

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Counts are the counters and histograms of an owner.
type Counts struct {
	set *metrics.Set

	Accepted   *metrics.Counter
	Appends    *metrics.Counter
	Starts     *metrics.Counter
	Lapses     *metrics.Counter
	Paces      *metrics.Counter
	Moves      *metrics.Counter
	Stalls     *metrics.Counter
	AppendTime Span // from an append's first send to its acknowledgement
	AcceptTime Span // from a submission's arrival at the owner to its acknowledgement
	StartTime  Span // from a submission's arrival to its first start
	DoneTime   Span // from a submission's arrival to its completion
}

// Span is a histogram of seconds that takes milliseconds.
type Span struct{ histogram *metrics.Histogram }

// Observe adds a length of time.
func (s Span) Observe(length clock.Millis) {
	s.histogram.Update(float64(length) / float64(clock.Second))
}

// NewCounts registers an owner's counters.
func NewCounts(set *metrics.Set) *Counts {
	span := func(name string) Span { return Span{histogram: set.NewHistogram(name)} }
	return &Counts{
		set:        set,
		Accepted:   set.NewCounter("oriolepier_jobs_accepted_total"),
		Appends:    set.NewCounter("oriolepier_store_appends_total"),
		Starts:     set.NewCounter("oriolepier_task_starts_total"),
		Lapses:     set.NewCounter("oriolepier_worker_leases_lapsed_total"),
		Paces:      set.NewCounter("oriolepier_task_paces_total"),
		Moves:      set.NewCounter("oriolepier_task_moves_total"),
		Stalls:     set.NewCounter("oriolepier_worker_stalls_total"),
		AppendTime: span("oriolepier_store_append_seconds"),
		AcceptTime: span("oriolepier_job_accept_seconds"),
		StartTime:  span("oriolepier_job_first_start_seconds"),
		DoneTime:   span("oriolepier_job_completion_seconds"),
	}
}

// Refused counts a refused submission by its reason.
func (c *Counts) Refused(reason string) {
	c.set.GetOrCreateCounter(`oriolepier_jobs_refused_total{reason="` + reason + `"}`).Inc()
}

// Ended counts a run by how it ended.
func (c *Counts) Ended(cause string) {
	c.set.GetOrCreateCounter(`oriolepier_runs_ended_total{cause="` + cause + `"}`).Inc()
}

// Answered counts an order to a worker by its outcome.
func (c *Counts) Answered(order, outcome string) {
	c.set.GetOrCreateCounter(`oriolepier_orders_total{order="` + order + `",outcome="` + outcome + `"}`).Inc()
}
