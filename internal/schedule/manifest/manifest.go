// Package manifest holds the operators' routes and pools as the scheduler uses
// them: which queue a request belongs to, and which pool of workers runs it.
//
// # Usage
//
//	tables := manifest.New(version, queues, pools, limits)
//	queue, rest, ok := tables.Match("nony24.example", "/lohu930/5c0e7a21d94b36f8")
package manifest

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Queue is a route that takes jobs.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Pools      []string     // whose workers run its tasks, the preferred one first
	Priority   int          // 0 comes first
	Attempts   int          // runs of a task that may fail before its job has failed
	Stretch    float64      // the latency objective is this many times the work ...
	Allowance  clock.Millis // ... and so much more
	Timeout    clock.Millis // of a request
	Advised    bool         // an outside service chooses its workers
}

// Pool is a group of workers.
type Pool struct {
	Name    string
	Guarded bool // its workers refuse what does not fit
	Spare   bool // its machines are off
}

// Limits of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Manifest is one version of the tables. It never changes.
type Manifest struct {
	Version int64
	Limits  Limits
	queues  map[string]Queue   // by name
	pools   map[string]Pool    // by name
	byHost  map[string][]Queue // longest prefix first
}

// New returns a manifest of the given rows.
func New(version int64, queues []Queue, pools []Pool, limits Limits) Manifest {
	byHost := lo.GroupBy(queues, func(queue Queue) string { return strings.ToLower(queue.Host) })
	for _, rows := range byHost {
		slices.SortStableFunc(rows, func(a, b Queue) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return Manifest{
		Version: version,
		Limits:  limits,
		queues:  lo.KeyBy(queues, func(queue Queue) string { return queue.Name }),
		pools:   lo.KeyBy(pools, func(pool Pool) string { return pool.Name }),
		byHost:  byHost,
	}
}

// anyHost is the host of queues that take requests for every host.
const anyHost = ""

// Match returns the queue of a request, and what follows its prefix in the
// path. The port of a host does not count. A queue that names the host goes
// before one that does not.
func (m Manifest) Match(host, path string) (queue Queue, rest string, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, rows := range [][]Queue{m.byHost[strings.ToLower(name)], m.byHost[anyHost]} {
		for _, row := range rows {
			if after, found := strings.CutPrefix(path, row.PathPrefix); found {
				return row, after, true
			}
		}
	}
	return Queue{}, "", false
}

// Queue returns a queue by its name.
func (m Manifest) Queue(name string) (Queue, bool) {
	queue, ok := m.queues[name]
	return queue, ok
}

// Pool returns a pool by its name.
func (m Manifest) Pool(name string) (Pool, bool) {
	pool, ok := m.pools[name]
	return pool, ok
}
