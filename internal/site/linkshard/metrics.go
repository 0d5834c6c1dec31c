package linkshard

import "github.com/VictoriaMetrics/metrics"

// Metrics holds an entry's counters of link sessions and orders, as owner and as link.
type Metrics struct {
	sessionsOpened  *metrics.Counter // as owner: sessions opened
	sessionsLost    *metrics.Counter // as owner: sessions that could not be opened or ended unexpectedly
	ordersByLink    *metrics.Counter // as owner: orders queued for a link
	ordersDirect    *metrics.Counter // as owner: orders sent to workers from this entry
	workersBypassed *metrics.Counter // as owner: holds retried directly because a link did not reach the worker
	ordersDropped   *metrics.Counter // as link: orders dropped because their batch was too old
}

// NewMetrics registers the counters.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		sessionsOpened:  set.NewCounter("oriolepier_links_opened_total"),
		sessionsLost:    set.NewCounter("oriolepier_links_lost_total"),
		ordersByLink:    set.NewCounter(`oriolepier_link_orders_total{by="link"}`),
		ordersDirect:    set.NewCounter(`oriolepier_link_orders_total{by="owner"}`),
		workersBypassed: set.NewCounter("oriolepier_links_bypassed_total"),
		ordersDropped:   set.NewCounter("oriolepier_link_orders_dropped_total"),
	}
}
