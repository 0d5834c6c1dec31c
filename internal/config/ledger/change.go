package ledger

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Change is what an operator appends: edits that are accepted or rejected
// together. Writer and Sequence name it: an append that is repeated after a
// lost answer has the same pair.
type Change struct {
	Writer   string `cbor:"1,keyasint" json:"writer"`
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
	Base     int64  `cbor:"3,keyasint,omitempty" json:"base"` // version that the operator looked at
	Edits    []Edit `cbor:"4,keyasint,omitempty" json:"edits"`
	Rules    int    `cbor:"5,keyasint,omitempty" json:"rules"` // set by Encode
}

// Rules numbers what is accepted. Readers of different releases must judge a
// record alike, so a check that is added or relaxed gets the next number and
// holds only for records that carry it. A reader that meets a higher number
// than it knows judges nothing until it reads a snapshot.
const Rules = 1

// Edit is one step of a change. Exactly one member is set. Edits apply in
// order and each must leave valid tables.
type Edit struct {
	Replace    *Tables      `cbor:"1,keyasint,omitempty" json:"replace,omitempty"` // both tables; needs the newest base
	Pools      *pool.Table  `cbor:"2,keyasint,omitempty" json:"pools,omitempty"`   // the table of pools; needs the newest base
	PutRoute   *route.Route `cbor:"3,keyasint,omitempty" json:"put_route,omitempty"`
	DropRoute  string       `cbor:"4,keyasint,omitempty" json:"drop_route,omitempty"`
	PutTeam    *route.Team  `cbor:"5,keyasint,omitempty" json:"put_team,omitempty"`
	DropTeam   string       `cbor:"6,keyasint,omitempty" json:"drop_team,omitempty"`
	PutPool    *pool.Pool   `cbor:"7,keyasint,omitempty" json:"put_pool,omitempty"`
	DropPool   string       `cbor:"8,keyasint,omitempty" json:"drop_pool,omitempty"`
	PutDomain  *pool.Domain `cbor:"9,keyasint,omitempty" json:"put_failure_domain,omitempty"`
	DropDomain string       `cbor:"10,keyasint,omitempty" json:"drop_failure_domain,omitempty"`
	Mark       *mark.Mark   `cbor:"11,keyasint,omitempty" json:"mark,omitempty"`
}

// Tables is both tables.
type Tables struct {
	Routes route.Table `cbor:"1,keyasint" json:"routes"`
	Pools  pool.Table  `cbor:"2,keyasint" json:"pools"`
}

// A record of the stream holds one of its members.
type record struct {
	Change *Change `cbor:"1,keyasint,omitempty"`
	Part   *part   `cbor:"2,keyasint,omitempty"`
}

// Encode returns the record of a change. The error says which limit of a
// record it exceeds.
func Encode(change Change) ([]byte, error) {
	if problem := shapeProblem(change); problem != "" {
		return nil, errors.New(problem)
	}
	change.Rules = Rules
	data, err := codec.Marshal(record{Change: &change})
	if err != nil {
		return nil, err
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("the change takes %d bytes; the limit of a record is %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode reads the record of a change; false for anything else.
func Decode(data []byte) (Change, bool) {
	entry, err := decode(data)
	if err != nil || entry.Change == nil {
		return Change{}, false
	}
	return *entry.Change, true
}

func decode(data []byte) (record, error) {
	var entry record
	if len(data) > MaxRecordBytes {
		return entry, errors.Errorf("%d bytes; the limit is %d", len(data), MaxRecordBytes)
	}
	if err := codec.Unmarshal(data, &entry); err != nil {
		return entry, err
	}
	if (entry.Change == nil) == (entry.Part == nil) {
		return entry, errors.New("neither a change nor a part of a snapshot")
	}
	return entry, nil
}

func shapeProblem(change Change) string {
	switch {
	case change.Writer == "" || len(change.Writer) > maxWriterBytes:
		return "writer is missing or too long"
	case change.Base < 0:
		return "base is negative"
	case len(change.Edits) == 0:
		return "changes nothing"
	case len(change.Edits) > maxEdits:
		return "too many edits in one record"
	}
	for _, edit := range change.Edits {
		if edit.members() != 1 {
			return "an edit must set exactly one member"
		}
	}
	return ""
}

func (edit Edit) members() int {
	count := 0
	for _, set := range []bool{
		edit.Replace != nil, edit.Pools != nil,
		edit.PutRoute != nil, edit.DropRoute != "", edit.PutTeam != nil, edit.DropTeam != "",
		edit.PutPool != nil, edit.DropPool != "", edit.PutDomain != nil, edit.DropDomain != "", edit.Mark != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// What an edit writes, as a name that is the same for all edits that touch it.
// Whole tables are "".
func (edit Edit) touches() string {
	switch {
	case edit.PutRoute != nil:
		return "route " + edit.PutRoute.Name
	case edit.DropRoute != "":
		return "route " + edit.DropRoute
	case edit.PutTeam != nil:
		return "team " + edit.PutTeam.Name
	case edit.DropTeam != "":
		return "team " + edit.DropTeam
	case edit.PutPool != nil:
		return "pool " + edit.PutPool.Name
	case edit.DropPool != "":
		return "pool " + edit.DropPool
	case edit.PutDomain != nil:
		return "failure domain " + edit.PutDomain.Name
	case edit.DropDomain != "":
		return "failure domain " + edit.DropDomain
	case edit.Mark != nil:
		return "mark of " + string(edit.Mark.Kind) + " " + edit.Mark.Name
	}
	return ""
}
