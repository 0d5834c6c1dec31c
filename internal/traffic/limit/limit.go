// Package limit bounds the load that an entry puts on each backend server:
// its requests in flight and its connections.
//
// All of it is arithmetic on times and counts that are passed in: no I/O, no
// goroutine, no clock.
//
// # Usage
//
//	concurrency := limit.NewConcurrency(2, 8)
//	if concurrency.Allows(inFlight, now) { ... }
//	concurrency = concurrency.Refused(now, meanLatencyMS)
//
//	budget = budget.Updated(now, snapshot.Entries, snapshot.KnownEntries)
//	connections := budget.Local(64)
package limit
