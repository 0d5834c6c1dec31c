package table

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Limits of the tables as a whole. They bound the memory of an entry.
const (
	MaxFileBytes = 32 << 20 // 43,000 routes with all fields take 22 MB as indented JSON
	maxRoutes    = 100_000
	maxTeams     = 10_000
	maxPools     = 1_000
	MaxDomains   = 256
	maxPoolNames = 32 // pools that one route names
	maxMethods   = 16
	maxNameBytes = 63 // a DNS label's length
	maxPathBytes = 1024
)

// Limits of a route's fields.
const (
	maxUrgentDeadline clock.Millis = 10 * clock.Minute     // a caller that waits longer wants a task
	maxBatchDeadline  clock.Millis = 366 * 24 * clock.Hour // watch tasks run through a winter
	maxRetryPercent                = 100                   // more than one retry a request feeds an overload
	maxHedgePercent                = 50
	maxBodyBytes                   = 1 << 30
	maxQueuedLimit                 = 1_000_000
	maxAttemptsLimit               = 100
)

// Limits of a pool's fields.
const (
	minLease       clock.Millis = 2 * clock.Second // renewals take several round trips and a pause of the runtime
	maxLease       clock.Millis = 10 * clock.Minute
	maxHold        clock.Millis = 24 * clock.Hour
	maxWarmup      clock.Millis = clock.Hour
	maxSlots                    = 4096
	maxConnections              = 65_536
	maxCells                    = 256
	maxMoves                    = 10_000
)

// Largest quota of a team: what 100,000 large VMs have, far from overflow in sums.
var maxQuota = amount.Amount{MilliCores: 25_600_000_000, MemoryMB: 200_000_000_000, Accelerators: 1_600_000}
