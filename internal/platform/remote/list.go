package remote

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// listing is the list as it was last fetched. The list is long and changes
// seldom, so that most fetches need only hear that it is still the same.
type listing struct {
	mu  sync.Mutex
	tag string // entity tag; empty when the platform gives none
	vms []inventory.VM
}

// NewList returns a client of the VM list at a base URL.
func NewList(baseURL string, client *http.Client) inventory.List {
	caller := newCaller(client)
	address := strings.TrimSuffix(baseURL, "/") + "/vms"
	last := &listing{}
	return inventory.List{Fetch: func(ctx context.Context) ([]inventory.VM, error) {
		last.mu.Lock()
		defer last.mu.Unlock()
		var vms []inventory.VM
		tag, err := caller.do(ctx, call{step: "list VMs", method: http.MethodGet, url: address, answer: &vms, known: last.tag})
		if errors.Is(err, errNotModified) {
			return slices.Clone(last.vms), nil
		}
		if err != nil {
			return nil, err
		}
		last.tag, last.vms = tag, vms
		return slices.Clone(vms), nil
	}}
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
