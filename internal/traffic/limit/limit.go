// Package limit bounds what an entry takes on: requests in flight at each
// backend server, requests that wait, and connections.
//
// All of it is arithmetic on times and counts that are passed in: no I/O, no
// goroutine, no clock.
//
// # Usage
//
//	places := limit.NewConcurrency(2, 8)
//	if places.Allows(inFlight, now) { ... }
//	places = places.Refused(now)
//
//	budget = budget.With(now, snapshot.Entries, snapshot.SeedCount)
//	connections := budget.Local(64)
package limit
