// Package codec encodes log records: deterministic CBOR with bounded decoding.
//
// The same value always gives the same bytes, so that readers can compare
// state by hash. Decoding refuses what exceeds the limits below and never
// allocates for a length that the input only claims.
//
// # Usage
//
//	data, err := codec.Marshal(record)
//	err = codec.Unmarshal(data, &record)
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of what is decoded.
const (
	MaxRecordBytes = 4 << 20 // one log record
	maxElements    = 1 << 17 // entries of one array or map
	maxNesting     = 16      // levels
)

// ErrTooLarge is returned for input longer than MaxRecordBytes.
var ErrTooLarge = errors.New("record is larger than the limit")

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	return data, errors.Wrap(err, "encode record")
}

// Unmarshal decodes one whole value into target, a pointer.
func Unmarshal(data []byte, target any) error {
	if len(data) > MaxRecordBytes {
		return ErrTooLarge
	}
	return errors.Wrap(decMode.Unmarshal(data, target), "decode record")
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}
