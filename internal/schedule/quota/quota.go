// Package quota counts what customers have running and compares it with their
// limits.
//
// A [Ledger] has an [Account] for each customer. The scheduler adds a task to an
// account when it assigns a worker to it and removes it when its run has
// certainly ended, so an account covers everything that may be executing. Starts
// that a worker may still execute although their run counts as ended are held in
// the ledger as late starts until that is impossible.
//
// # Usage
//
//	ledger := quota.New()
//	ledger.SetCustomers(tables.Customers())
//	account := ledger.Account("customer-3") // nil without a customer
//	if account.Admits(room) {
//		account.Add(room, 1)
//	}
package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Ledger has the accounts of a cell's customers and the late starts.
type Ledger struct {
	accounts    map[string]*Account
	leastWeight float64                         // of the customers in the tables in force; 0: none
	late        map[string]map[Start]*lateStart // by worker
}

// New returns a ledger without customers.
func New() *Ledger {
	return &Ledger{accounts: map[string]*Account{}, late: map[string]map[Start]*lateStart{}}
}

// SetCustomers replaces the customers' limits and weights. A customer that is not
// listed keeps its account, without a limit and with the least weight of the listed
// ones: its accepted work must still be done.
func (l *Ledger) SetCustomers(customers []manifest.Customer) {
	l.leastWeight = 0
	for _, customer := range customers {
		if l.leastWeight == 0 || customer.Weight > 0 && customer.Weight < l.leastWeight {
			l.leastWeight = customer.Weight
		}
	}
	for name, account := range l.accounts {
		account.customer, account.listed = manifest.Customer{Name: name, Weight: l.leastWeight}, false
	}
	for _, customer := range customers {
		account := l.Account(customer.Name)
		customer.Keys = nil // they are secret and of no use here
		account.customer, account.listed = customer, true
	}
}

// Account returns the account of a customer, which it opens if there is none; nil
// for the empty name.
func (l *Ledger) Account(name string) *Account {
	if name == "" {
		return nil
	}
	account := l.accounts[name]
	if account == nil {
		account = &Account{customer: manifest.Customer{Name: name, Weight: l.leastWeight}}
		l.accounts[name] = account
	}
	return account
}

// Empty reports whether there are no accounts.
func (l *Ledger) Empty() bool { return len(l.accounts) == 0 }

// Accounts returns all accounts in the order of their customers' names.
func (l *Ledger) Accounts() []*Account {
	return slices.SortedFunc(maps.Values(l.accounts), func(a, b *Account) int { return cmp.Compare(a.Name(), b.Name()) })
}

// Account counts what one customer has running. The methods that only read are
// valid for nil, the account of jobs without a customer.
type Account struct {
	customer manifest.Customer
	listed   bool // the customer is in the tables in force
	used     fleet.Room
	tasks    int64
}

// Name returns the customer's name.
func (a *Account) Name() string { return a.customer.Name }

// Weight returns the customer's weight; 0 if no weight is known.
func (a *Account) Weight() float64 { return a.customer.Weight }

// Listed reports whether the customer is in the tables in force.
func (a *Account) Listed() bool { return a.listed }

// Limit returns the customer's limit; 0 in a field: none.
func (a *Account) Limit() fleet.Room { return a.customer.Limit }

// Used returns what the customer may have running.
func (a *Account) Used() fleet.Room { return a.used }

// Tasks returns how many tasks the customer may have running.
func (a *Account) Tasks() int64 { return a.tasks }

// Limited reports whether the account has a limit.
func (a *Account) Limited() bool { return a != nil && a.customer.Limit != fleet.Room{} }

// Add counts a number of tasks that may be executing; a negative number removes
// them.
func (a *Account) Add(room fleet.Room, tasks int64) {
	if a == nil {
		return
	}
	a.used = a.used.Plus(room, tasks)
	a.tasks += tasks
}

// Admits reports whether the customer stays within its limit with another task.
func (a *Account) Admits(room fleet.Room) bool {
	return !a.Limited() || fits(room, a.used, a.customer.Limit)
}

// Keeps reports whether the customer is within its limit with a task that is
// already counted.
func (a *Account) Keeps(room fleet.Room) bool {
	return !a.Limited() || fits(room, a.used.Plus(room, -1), a.customer.Limit)
}

// FitsBeside reports whether a request fits the limit beside another amount.
func (a *Account) FitsBeside(room, other fleet.Room) bool {
	return !a.Limited() || fits(room, other, a.customer.Limit)
}

// Exceeds reports whether a task alone exceeds the limit.
func (a *Account) Exceeds(room fleet.Room) bool {
	return a.Limited() && !fits(room, fleet.Room{}, a.customer.Limit)
}

// Free returns how many milli-CPU the customer's limit leaves for further tasks, and
// whether its milli-CPU are limited.
func (a *Account) Free() (milliCPU int64, limited bool) {
	if a == nil || a.customer.Limit.MilliCPU == 0 {
		return 0, false
	}
	return max(a.customer.Limit.MilliCPU-a.used.MilliCPU, 0), true
}

// Waves returns the number of successive groups in which a number of equal tasks must
// run to stay within the customer's limit, if it runs nothing else.
func (a *Account) Waves(tasks int, room fleet.Room) int64 {
	if !a.Limited() || tasks == 0 {
		return 1
	}
	width := int64(tasks)
	for _, r := range resources(room, fleet.Room{}, a.customer.Limit) {
		if r.limited() {
			width = min(width, max(r.limit/r.requested, 1))
		}
	}
	return (int64(tasks) + width - 1) / width
}

// fits reports whether a request fits the limit beside what is used. Resources that
// are not requested are not checked: use above a lowered limit must not keep tasks
// waiting that need none of that resource.
func fits(room, used, limit fleet.Room) bool {
	for _, r := range resources(room, used, limit) {
		if r.limited() && r.used+r.requested > r.limit {
			return false
		}
	}
	return true
}

// resource is a request for one resource beside what is used and the limit.
type resource struct{ requested, used, limit int64 }

func (r resource) limited() bool { return r.limit > 0 && r.requested > 0 }

func resources(room, used, limit fleet.Room) [3]resource {
	return [3]resource{
		{room.MilliCPU, used.MilliCPU, limit.MilliCPU},
		{room.MemoryMB, used.MemoryMB, limit.MemoryMB},
		{room.GPUs, used.GPUs, limit.GPUs},
	}
}
