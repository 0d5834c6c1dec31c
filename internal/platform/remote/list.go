package remote

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// NewList returns a client of the VM list at a base URL.
func NewList(baseURL string, client *http.Client) inventory.List {
	caller := newCaller(client)
	address := strings.TrimSuffix(baseURL, "/") + "/vms"
	return inventory.List{Fetch: func(ctx context.Context) ([]inventory.VM, error) {
		var vms []inventory.VM
		err := caller.get(ctx, "list VMs", "", address, &vms)
		return vms, err
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
