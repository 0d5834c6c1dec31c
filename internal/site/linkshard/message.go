package linkshard

import (
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// order is one order to a worker. Exactly one of Start, Stop, Pace and Hold is set.
type order struct {
	Number int64        `cbor:"1,keyasint"` // unique within the session
	Start  *fleet.Start `cbor:"2,keyasint,omitempty"`
	Stop   *fleet.Stop  `cbor:"3,keyasint,omitempty"`
	Pace   *fleet.Pace  `cbor:"4,keyasint,omitempty"`
	Hold   *fleet.Hold  `cbor:"5,keyasint,omitempty"`
}

// workerWait returns how long the worker may wait before it answers.
func (o order) workerWait() clock.Millis {
	if o.Hold == nil {
		return 0
	}
	return clock.Millis(o.Hold.WaitMS)
}

// result is the result of one order: a report for a hold, an answer for any other
// order.
type result struct {
	Number int64         `cbor:"1,keyasint"` // of the order that it answers
	Answer *fleet.Answer `cbor:"2,keyasint,omitempty"`
	Report *fleet.Report `cbor:"3,keyasint,omitempty"`
}

// failedResult returns the result of an order that was not sent or not answered.
func failedResult(o order, outcome fleet.Outcome) result {
	if o.Hold != nil {
		return result{Number: o.Number, Report: &fleet.Report{Outcome: outcome}}
	}
	return result{Number: o.Number, Answer: &fleet.Answer{Outcome: outcome}}
}

func (r result) outcome() fleet.Outcome {
	if r.Report != nil {
		return r.Report.Outcome
	}
	return r.Answer.Outcome
}

// orders is a batch of orders from the owner to a link.
type orders struct {
	Echo clock.Millis `cbor:"1,keyasint"` // newest reading of the link's clock that the owner has received
	List []order      `cbor:"2,keyasint"`
}

// countStarts returns the number of start orders in a batch.
func (b orders) countStarts() int {
	return lo.CountBy(b.List, func(o order) bool { return o.Start != nil })
}

// results is a batch of results from a link to the owner.
type results struct {
	Stamp clock.Millis `cbor:"1,keyasint"` // reading of the link's clock
	List  []result     `cbor:"2,keyasint,omitempty"`
}

func decodeOrders(data []byte) (orders, error) {
	var batch orders
	if err := decodeBatch(data, &batch); err != nil {
		return orders{}, errors.WithMessage(err, "orders of a session")
	}
	for _, o := range batch.List {
		if o.partCount() != 1 {
			return orders{}, errors.Errorf("order %d has %d parts, not one", o.Number, o.partCount())
		}
	}
	return batch, nil
}

// partCount returns how many of Start, Stop, Pace and Hold are set.
func (o order) partCount() int {
	count := 0
	for _, isSet := range []bool{o.Start != nil, o.Stop != nil, o.Pace != nil, o.Hold != nil} {
		if isSet {
			count++
		}
	}
	return count
}

func decodeResults(data []byte) (results, error) {
	var batch results
	if err := decodeBatch(data, &batch); err != nil {
		return results{}, errors.WithMessage(err, "decode batch of results")
	}
	for _, r := range batch.List {
		if err := r.validate(); err != nil {
			return results{}, errors.WithMessagef(err, "result %d", r.Number)
		}
	}
	return batch, nil
}

func (r result) validate() error {
	if (r.Answer == nil) == (r.Report == nil) {
		return errors.New("result must have either an answer or a report")
	}
	if !r.outcome().Known() {
		return errors.Errorf("unknown outcome %d", r.outcome())
	}
	if r.Report == nil {
		return nil
	}
	for _, end := range r.Report.Ended {
		if !end.Cause.Known() {
			return errors.Errorf("unknown end cause %d", end.Cause)
		}
	}
	return nil
}
