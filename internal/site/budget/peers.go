package budget

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
)

// Bounds of what a log line says about the peers that were refused.
const (
	maxCountedPeers = 256
	maxNamedPeers   = 5
)

// refusedPeers counts the peers that were refused since the last log line.
type refusedPeers struct {
	mu    sync.Mutex
	count map[string]int // refusals by IP
}

// add counts a refusal of a connection's peer.
func (p *refusedPeers) add(conn net.Conn) {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return // not a TCP connection
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == nil {
		p.count = map[string]int{}
	}
	if _, known := p.count[host]; known || len(p.count) < maxCountedPeers {
		p.count[host]++
	}
}

// take returns the peers refused most often, and forgets all of them.
func (p *refusedPeers) take() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := slices.SortedFunc(maps.Keys(p.count), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.count[b], p.count[a]), cmp.Compare(a, b))
	})
	p.count = nil
	return hosts[:min(len(hosts), maxNamedPeers)]
}
