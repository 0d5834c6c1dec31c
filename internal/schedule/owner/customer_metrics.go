package owner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Labels of customers in metrics.
const (
	labeledCustomers  = 20      // customers with a label of their own, those of the largest weights
	maxCustomerLabels = 60      // labels given by one process, as customers change
	otherCustomers    = "other" // label of all other customers
)

// labelCustomers gives the customers of the largest weights labels of their own.
func (o *Owner) labelCustomers(listed []manifest.Customer) {
	largest := slices.Clone(listed)
	slices.SortStableFunc(largest, func(a, b manifest.Customer) int { return cmp.Compare(b.Weight, a.Weight) })
	labeled := map[string]bool{}
	for _, customer := range largest[:min(len(largest), labeledCustomers)] {
		labeled[customer.Name] = true
	}
	for _, customer := range listed {
		c := o.customerOf(o.quotas.Account(customer.Name))
		c.label = otherCustomers
		if labeled[customer.Name] && o.options.Metrics.claimCustomerLabel(customer.Name) {
			c.label = customer.Name
		}
	}
}

// claimCustomerLabel gives a customer a label unless maxCustomerLabels are in use, and
// reports whether it has one.
func (c *Metrics) claimCustomerLabel(name string) bool {
	if !c.customerLabels[name] && len(c.customerLabels) >= maxCustomerLabels {
		return false
	}
	c.customerLabels[name] = true
	return true
}

// publishHeld adds a customer's steps that were held back since the last call to the
// metrics.
func (o *Owner) publishHeld(c *customer) {
	if c.heldByQuota > 0 {
		o.options.Metrics.Customer("steps_held_by_quota", c.label, c.heldByQuota)
	}
	if c.heldByShare > 0 {
		o.options.Metrics.Customer("steps_held_by_share", c.label, c.heldByShare)
	}
	c.heldByQuota, c.heldByShare = 0, 0
}

// Customer counts an event of a customer.
func (c *Metrics) Customer(event, label string, count int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("oriolepier_customer_%s_total{customer=%q}", event, label)).Add(count)
}
