package table

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Limits on the tables as a whole. They bound the memory use of an entry.
const (
	MaxFileBytes = 32 << 20 // 43,000 routes with all fields take 22 MB as indented JSON
	maxRoutes    = 100_000
	maxTeams     = 10_000
	maxPools     = 1_000
	MaxDomains   = 256
	maxPoolNames = 32 // pools per route
	maxMethods   = 16 // methods per route
	maxNameBytes = 63 // length of a DNS label
	maxPathBytes = 1024
)

// Limits on the fields of a route.
const (
	maxUrgentDeadline clock.Millis = 10 * clock.Minute     // longer work should be a batch task
	maxBatchDeadline  clock.Millis = 366 * 24 * clock.Hour // monitoring tasks run for a whole season; one year bounds them
	maxRetryPercent                = 100                   // more than one retry per request amplifies an overload
	maxHedgePercent                = 50
	maxBodyBytes                   = 1 << 30
	maxQueuedLimit                 = 1_000_000
	maxAttemptsLimit               = 100
)

// Limits on the fields of a pool.
const (
	minLease       clock.Millis = 2 * clock.Second // covers several round trips of a renewal and a pause of the Go runtime
	maxLease       clock.Millis = 10 * clock.Minute
	maxHold        clock.Millis = 24 * clock.Hour
	maxWarmup      clock.Millis = clock.Hour
	maxSlots                    = 4096
	maxConnections              = 65_536
	maxCells                    = 256
	maxMoves                    = 10_000
)

// maxQuota bounds a team's quota by the resources of 100,000 large VMs. Sums of
// quotas stay far below overflow.
var maxQuota = amount.Amount{MilliCores: 25_600_000_000, MemoryMB: 200_000_000_000, Accelerators: 1_600_000}
