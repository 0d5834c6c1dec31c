package control

import "expvar"

// counters are the control side's metrics, published under "control".
type counters struct {
	readFailures  *expvar.Int
	appends       *expvar.Int
	appendBytes   *expvar.Int
	configChanges *expvar.Int
	configRefused *expvar.Int
	configOffers  *expvar.Int // configurations taken from peers
	heartbeats    *expvar.Int
	heartbeatLost *expvar.Int
	submitted     *expvar.Int
	refused       *expvar.Int
	unknown       *expvar.Int
	cancelled     *expvar.Int
	views         *expvar.Int
	orders        *expvar.Map // by kind of order
	orderFailures *expvar.Map
}

func newCounters(vars *expvar.Map) counters {
	own := new(expvar.Map).Init()
	vars.Set("control", own)
	count := func(name string) *expvar.Int {
		value := new(expvar.Int)
		own.Set(name, value)
		return value
	}
	group := func(name string) *expvar.Map {
		value := new(expvar.Map).Init()
		own.Set(name, value)
		return value
	}
	return counters{
		readFailures:  count("log_read_failures"),
		appends:       count("log_appends"),
		appendBytes:   count("log_append_bytes"),
		configChanges: count("config_changes"),
		configRefused: count("config_records_refused"),
		configOffers:  count("config_taken_from_peers"),
		heartbeats:    count("heartbeats_sent"),
		heartbeatLost: count("heartbeats_unanswered"),
		submitted:     count("tasks_submitted"),
		refused:       count("tasks_refused"),
		unknown:       count("tasks_outcome_unknown"),
		cancelled:     count("tasks_cancel_requests"),
		views:         count("traffic_snapshots"),
		orders:        group("orders"),
		orderFailures: group("orders_failed"),
	}
}
