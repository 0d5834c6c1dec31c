package owner

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// patienceUrgent and patienceBatch are how long a job waits for room in a
	// cell before another one may try; both double with each hand-over.
	patienceUrgent   clock.Millis = 2 * clock.Second
	patienceBatch    clock.Millis = 30 * clock.Second
	maxPatienceSteps              = 6
	// tellAgain is when a receipt, result or cancellation is written again
	// although nothing says that it was lost.
	tellAgain clock.Millis = 30 * clock.Second
	// maxTold bounds the records for other cells of one tick.
	maxTold = 50
)

// serves reports whether some worker of the cell is in one of the pools and is
// neither out nor out of reach.
func (sched *scheduler) serves(pools []string) bool {
	for _, name := range pools {
		if sched.serving[name] > 0 {
			return true
		}
	}
	return false
}

// settleRejected hands over, gives back or parks the jobs that the newest pick
// could not place, and reports whether there were any.
func (sched *scheduler) settleRejected(now clock.Millis) bool {
	settled := false
	for _, one := range sched.reject {
		entry, known := sched.owner.state.Job(one.id)
		if !known || entry.Phase != job.Queued {
			continue
		}
		if sched.settle(entry, one, now) {
			settled = true
		}
	}
	sched.reject = sched.reject[:0]
	return settled
}

func (sched *scheduler) settle(entry *cell.Job, one rejected, now clock.Millis) bool {
	switch {
	case sched.leave(entry, one.reason):
	case one.never && sched.impossible(entry):
		sched.park(entry, one.reason)
	default:
		sched.delayed.Set(entry.ID, now+firstBackoff)
	}
	sched.sync(entry.ID, now)
	return true
}

// sendAway moves a queued job out of a failure domain that is out.
func (sched *scheduler) sendAway(item queue.Item, now clock.Millis) bool {
	entry, known := sched.owner.state.Job(item.ID)
	if known && sched.leave(entry, "its failure domain is out") {
		return true
	}
	sched.reject = append(sched.reject, rejected{id: item.ID, reason: "its failure domain is out"})
	return false
}

// leave hands a job to another cell, or gives a guest back. It returns false
// when no other cell can run it.
func (sched *scheduler) leave(entry *cell.Job, reason string) bool {
	epoch := sched.owner.ownEpoch
	if entry.From != "" {
		next := plan{kind: cell.KindGiveBack}
		sched.record(entry, next, cell.Encode(cell.GiveBack{Epoch: epoch, ID: entry.ID, Hand: entry.Hand, Reason: reason}))
		return true
	}
	to := sched.elsewhere(entry)
	if to == "" {
		return false
	}
	sched.owner.count.Hands++
	next := plan{kind: cell.KindHand}
	sched.record(entry, next, cell.Encode(cell.Hand{Epoch: epoch, ID: entry.ID, Hand: entry.Hand + 1, To: to}))
	return true
}

func (sched *scheduler) park(entry *cell.Job, reason string) {
	next := plan{kind: cell.KindPark}
	sched.record(entry, next, cell.Encode(cell.Park{Epoch: sched.owner.ownEpoch, ID: entry.ID, Reason: reason}))
}

// elsewhere chooses another cell for a job, by chance in proportion to the
// processors that its pools have there; "" when none can run it.
func (sched *scheduler) elsewhere(entry *cell.Job) string {
	total := int64(0)
	weights := make([]int64, len(sched.owner.plant.others))
	for index, place := range sched.owner.plant.others {
		weights[index] = sched.owner.capacity(place.vms, entry)
		total += weights[index]
	}
	if total == 0 {
		return ""
	}
	draw := int64(seedOf(fmt.Sprint(entry.ID, entry.Hand, sched.owner.options.Seed)) % uint64(total))
	for index, weight := range weights {
		if draw < weight {
			return sched.owner.plant.others[index].name
		}
		draw -= weight
	}
	return ""
}

// capacity sums the processors of the workers that could hold a job when empty.
func (owner *Owner) capacity(vms []inventory.VM, entry *cell.Job) int64 {
	sum := int64(0)
	for _, vm := range vms {
		if owner.couldRun(vm, entry) {
			sum += vm.Size.MilliCores
		}
	}
	return sum
}

// couldRun reports whether an empty worker of that kind could hold the job.
func (owner *Owner) couldRun(vm inventory.VM, entry *cell.Job) bool {
	row, pooled := owner.world.Config.Pools.Of(vm.Name, vm.FailureDomain)
	if !pooled {
		return false
	}
	room := vm.Size
	if entry.Spec.Class != route.Urgent {
		room = room.Sub(machine{VM: vm, pool: row}.usualReserve())
	}
	if !room.Fits(entry.Spec.Size) {
		return false
	}
	for _, name := range entry.Spec.Pools {
		if name == row.Name {
			return true
		}
	}
	return false
}

// impossible reports whether no worker of any failure domain, in service or
// not, could hold a job when empty.
func (sched *scheduler) impossible(entry *cell.Job) bool {
	if entry.From != "" {
		return false
	}
	for _, vm := range sched.owner.world.VMs {
		if vm.Role == inventory.Worker && sched.owner.couldRun(vm, entry) {
			return false
		}
	}
	return true
}

// tellOthers writes receipts, results and cancellations into other streams.
func (sched *scheduler) tellOthers(now clock.Millis) {
	for range maxTold {
		id, due := sched.outbox.Pop(now)
		if !due {
			return
		}
		entry, known := sched.owner.state.Job(id)
		if !known {
			continue
		}
		if entry.Phase == job.Handed {
			sched.tell(entry, entry.To, cell.Encode(cell.ReceiptOf(sched.owner.options.Cell, entry)), nil)
			if entry.Cancel {
				sched.tell(entry, entry.To, cell.Encode(cell.Cancel{ID: id}), nil)
			}
			continue
		}
		if entry.Result {
			record := cell.Encode(cell.Delivered{ID: id, Hand: entry.Hand})
			sched.tell(entry, entry.From, cell.Encode(cell.ResultOf(entry)), func() { sched.owner.add(record, nil) })
		}
	}
}

// tell writes a record into another cell's stream, and again after a while
// unless the state has moved on.
func (sched *scheduler) tell(entry *cell.Job, to string, record []byte, done func()) {
	id := entry.ID
	owner := sched.owner
	sched.outbox.Set(id, owner.now()+tellAgain)
	owner.options.Journal.Add(job.StreamName(to), record, func(_ stream.Offset, err error) {
		if err != nil && owner.sched == sched && sched.outbox.Has(id) {
			sched.outbox.Set(id, owner.now()+firstBackoff)
		}
		if err == nil && done != nil {
			done()
		}
	})
}
