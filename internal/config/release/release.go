// Package release encodes what operators publish: both tables under a version,
// and marks of the failure domains that are out of service.
//
// A deployment with its own tables stores them in a topic of the platform's
// store, one record for the tables and one for each mark. A change is appended
// only if the topic still ends where the operator read it. Of two concurrent
// changes, the later one is rejected and its operator has to read again.
//
// # Usage
//
//	record, err := release.Release{Version: 8, Routes: routes, Pools: pools}.Record()
//	record := release.MarkDomain("b", true)
//	change, err := release.Decode(record)
//	queues := change.Release.Manifest()
package release

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Topic is the name of the topic that holds releases.
const Topic = "tables"

// Keys of the records in the topic.
const (
	tablesKey          = "tables"
	outOfServicePrefix = "out/" // followed by the name of the failure domain
)

// Release is one version of both tables.
type Release struct {
	Version int64       `json:"version"`
	Routes  route.Table `json:"routes"`
	Pools   pool.Table  `json:"pools"`
}

// Change is the decoded content of one record: new tables or the mark of a
// failure domain. It is zero for a record that is neither.
type Change struct {
	Release      *Release // new tables, or nil
	Domain       string   // marked failure domain, or ""
	OutOfService bool     // whether Domain is out of service
}

// Record returns the record that publishes the release.
func (r Release) Record() (journal.Record, error) {
	data, err := json.Marshal(r)
	return journal.Record{Key: tablesKey, Value: data}, errors.Wrap(err, "encode release")
}

// MarkDomain returns the record that takes a failure domain out of service, or returns
// it to service. An empty value clears the mark.
func MarkDomain(domain string, out bool) journal.Record {
	record := journal.Record{Key: outOfServicePrefix + domain}
	if out {
		record.Value = []byte("{}")
	}
	return record
}

// Decode decodes a record of the topic. Unknown keys give a zero Change.
func Decode(record journal.Record) (Change, error) {
	if domain, ok := strings.CutPrefix(record.Key, outOfServicePrefix); ok {
		return Change{Domain: domain, OutOfService: len(record.Value) > 0}, nil
	}
	if record.Key != tablesKey || len(record.Value) == 0 {
		return Change{}, nil
	}
	var published Release
	if err := json.Unmarshal(record.Value, &published); err != nil {
		return Change{}, errors.Wrap(err, "decode release")
	}
	return Change{Release: &published}, nil
}

// Parameters of a batch route's queue.
const (
	batchPriority   = 2   // priority of all batch queues; 0 is served first
	batchStretch    = 2.0 // the latency objective that orders jobs is twice their work plus the route's deadline
	defaultAttempts = 3   // failed runs of a task before its job fails, for tables that were not checked; files default to 5
)

// Manifest returns the manifest with a queue for each batch route, and the pools.
func (r Release) Manifest() manifest.Manifest {
	batch := lo.Filter(r.Routes.Routes, func(row route.Route, _ int) bool { return row.Class == route.Batch })
	queues := lo.Map(batch, func(row route.Route, _ int) manifest.Queue { return queueOf(row) })
	pools := lo.Map(r.Pools.Pools, func(row pool.Pool, _ int) manifest.Pool {
		return manifest.Pool{Name: row.Name, RefusesOvercommit: true}
	})
	return manifest.New(r.Version, queues, pools, manifest.Limits{})
}

func queueOf(row route.Route) manifest.Queue {
	return manifest.Queue{
		Name: row.Name, Host: row.Match.Host, PathPrefix: pathPrefix(row), Pools: row.Pools, Priority: batchPriority, MaxFailures: lo.Ternary(row.MaxAttempts > 0, row.MaxAttempts, defaultAttempts),
		ObjectiveFactor: batchStretch, ObjectiveAllowance: row.DeadlineMS, Timeout: row.DeadlineMS,
	}
}

// pathPrefix returns the path prefix of a batch route. A checked batch route has
// no match and gets "/jobs/NAME/"; the demo, which publishes unchecked tables, sets
// its own prefix.
func pathPrefix(row route.Route) string {
	if prefix := strings.TrimSuffix(row.Match.PathPrefix, "/"); prefix != "" {
		return prefix + "/"
	}
	return "/jobs/" + row.Name + "/"
}
