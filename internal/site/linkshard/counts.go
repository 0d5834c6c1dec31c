package linkshard

import "github.com/VictoriaMetrics/metrics"

// Counts are the counters of an entry's part in links, as owner and as link.
type Counts struct {
	opened   *metrics.Counter // sessions, as owner
	lost     *metrics.Counter // ... that ended although they were wanted
	byLink   *metrics.Counter // orders that a link got
	fromHere *metrics.Counter // orders that the owner's entry carried out
	bypassed *metrics.Counter // workers that a link did not reach
	dropped  *metrics.Counter // orders that were too old, as link
}

// NewCounts registers the counters.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		opened:   set.NewCounter("oriolepier_links_opened_total"),
		lost:     set.NewCounter("oriolepier_links_lost_total"),
		byLink:   set.NewCounter(`oriolepier_link_orders_total{by="link"}`),
		fromHere: set.NewCounter(`oriolepier_link_orders_total{by="owner"}`),
		bypassed: set.NewCounter("oriolepier_links_bypassed_total"),
		dropped:  set.NewCounter("oriolepier_link_orders_dropped_total"),
	}
}
