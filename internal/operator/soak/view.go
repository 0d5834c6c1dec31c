package soak

import (
	"net"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/platform"
)

// Topics of the scheduler, as the entries name them.
var (
	ownersTopic = platform.Topic("owners")
	cellTopic   = platform.Topic("cell-0")
)

// workerViews returns, for each view, the address of a worker's proxy by the
// worker's own address.
func (d *deployment) workerViews() []map[string]string {
	views := make([]map[string]string, d.plan.views())
	for view := range views {
		views[view] = map[string]string{}
		for _, g := range d.groups {
			for i, setting := range g.set.Workers {
				views[view][setting.Listen] = g.proxies[view][i].address
			}
		}
	}
	return views
}

// peerViews returns the address of an entry's peer proxy by the entry's name.
func (d *deployment) peerViews() map[string]string {
	peers := map[string]string{}
	for _, e := range d.entries {
		peers[e.name] = e.peers.address
	}
	return peers
}

// rewriteFor returns a function that puts the addresses of proxies into the records
// that an entry reads: of its view for workers, and of the owner's for the owner.
func (d *deployment) rewriteFor(e *entry, views []map[string]string, peers map[string]string) func(string, *journal.Record) {
	view := views[d.plan.view(e.number)]
	return func(topic string, record *journal.Record) {
		switch topic {
		case platform.TopicWorkers:
			rewriteWorker(record, view)
		case ownersTopic:
			rewriteOwner(record, e.name, peers)
		}
	}
}

func rewriteWorker(record *journal.Record, addresses map[string]string) {
	listed, err := platform.DecodeWorker(record.Key, record.Value)
	if err != nil {
		return // a removal
	}
	address, known := addresses[listed.Address]
	if !known {
		return
	}
	listed.Address = address
	if data, err := platform.EncodeWorker(listed); err == nil {
		record.Value = data
	}
}

// rewriteOwner leaves an entry's own records as they are, since the entry compares
// them with what it wrote.
func rewriteOwner(record *journal.Record, reader string, addresses map[string]string) {
	var owner ownership.Record
	if codec.Unmarshal(record.Value, &owner) != nil || owner.Name == reader {
		return
	}
	address, known := addresses[owner.Name]
	if _, _, err := net.SplitHostPort(owner.Address); err != nil || !known {
		return
	}
	owner.Address = address
	if data, err := codec.Marshal(owner); err == nil {
		record.Value = data
	}
}
