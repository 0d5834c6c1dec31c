package remote

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// NewList returns a client of the VM list at a base URL. It asks with the
// entity tag of its last answer, so that a list at rest costs a few bytes.
func NewList(baseURL string, client *http.Client) inventory.List {
	list := &list{caller: newCaller(client), address: strings.TrimSuffix(baseURL, "/") + "/vms"}
	return inventory.List{Fetch: list.fetch}
}

type list struct {
	caller  caller
	address string

	mu   sync.Mutex
	url  string // of the last answer
	etag string // of the last answer
}

func (list *list) fetch(ctx context.Context, domains ...string) ([]inventory.VM, error) {
	list.mu.Lock()
	defer list.mu.Unlock()
	address := list.address
	if len(domains) > 0 {
		address += "?" + url.Values{"failure_domain": domains}.Encode()
	}
	var vms []inventory.VM
	ask := call{step: "list VMs", method: http.MethodGet, url: address, answer: &vms, etag: new(string)}
	if address == list.url {
		*ask.etag = list.etag
	}
	if err := list.caller.do(ctx, ask); err != nil {
		return nil, err
	}
	list.url, list.etag = address, *ask.etag
	return vms, nil
}

// NewUsages returns a client of the usage reports at a base URL.
func NewUsages(baseURL string, client *http.Client) worker.Usages {
	caller := newCaller(client)
	address := strings.TrimSuffix(baseURL, "/") + "/usage"
	return worker.Usages{Fetch: func(ctx context.Context, domain string) ([]worker.Usage, error) {
		query := url.Values{"failure_domain": {domain}}
		var usages []worker.Usage
		err := caller.get(ctx, "read usage", domain, address+"?"+query.Encode(), &usages)
		return usages, err
	}}
}
