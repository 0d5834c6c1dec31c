package linkshard

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// order is one order to a worker; exactly one of its parts is set.
type order struct {
	Number int64        `cbor:"1,keyasint"` // within its session
	Start  *fleet.Start `cbor:"2,keyasint,omitempty"`
	Stop   *fleet.Stop  `cbor:"3,keyasint,omitempty"`
	Pace   *fleet.Pace  `cbor:"4,keyasint,omitempty"`
	Hold   *fleet.Hold  `cbor:"5,keyasint,omitempty"`
}

// wait is how long the worker may take before it answers.
func (o order) wait() clock.Millis {
	if o.Hold == nil {
		return 0
	}
	return clock.Millis(o.Hold.WaitMS)
}

// result of an order: a report of a hold, an answer of any other.
type result struct {
	Number int64         `cbor:"1,keyasint"` // of the order
	Answer *fleet.Answer `cbor:"2,keyasint,omitempty"`
	Report *fleet.Report `cbor:"3,keyasint,omitempty"`
}

// failed is the result of an order that got no answer.
func failed(o order, outcome fleet.Outcome) result {
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

// orders is a batch from the owner.
type orders struct {
	Echo clock.Millis `cbor:"1,keyasint"` // newest reading of the link's clock that the owner has
	List []order      `cbor:"2,keyasint"`
}

// results is a batch from a link.
type results struct {
	Stamp clock.Millis `cbor:"1,keyasint"` // reading of the link's clock
	List  []result     `cbor:"2,keyasint,omitempty"`
}

func decodeOrders(data []byte) (orders, error) {
	var batch orders
	if err := unpack(data, &batch); err != nil {
		return orders{}, errors.WithMessage(err, "orders of a session")
	}
	for _, o := range batch.List {
		if o.parts() != 1 {
			return orders{}, errors.Errorf("order %d has %d parts, not one", o.Number, o.parts())
		}
	}
	return batch, nil
}

func (o order) parts() int {
	count := 0
	for _, set := range []bool{o.Start != nil, o.Stop != nil, o.Pace != nil, o.Hold != nil} {
		if set {
			count++
		}
	}
	return count
}

func decodeResults(data []byte) (results, error) {
	var batch results
	if err := unpack(data, &batch); err != nil {
		return results{}, errors.WithMessage(err, "results of a session")
	}
	for _, r := range batch.List {
		if err := r.check(); err != nil {
			return results{}, errors.WithMessagef(err, "result %d", r.Number)
		}
	}
	return batch, nil
}

func (r result) check() error {
	if (r.Answer == nil) == (r.Report == nil) {
		return errors.New("neither an answer nor a report alone")
	}
	if !r.outcome().Known() {
		return errors.Errorf("unknown outcome %d", r.outcome())
	}
	if r.Report == nil {
		return nil
	}
	for _, end := range r.Report.Ended {
		if !end.Cause.Known() {
			return errors.Errorf("unknown cause %d of an end", end.Cause)
		}
	}
	return nil
}
