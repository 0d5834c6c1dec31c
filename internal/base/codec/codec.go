// Package codec encodes journal records and link batches: deterministic CBOR with bounded decoding.
//
// Equal values have equal encodings, so that readers can compare state by hash.
// Decoding rejects input that exceeds the limits below, and never allocates
// memory for a length that the input declares but does not contain.
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

// Limits on decoded input.
const (
	MaxRecordBytes = 4 << 20 // bytes of one encoded value
	maxElements    = 1 << 17 // elements of one array, or pairs of one map
	maxNesting     = 16      // levels of arrays and maps
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

// Unmarshal decodes data, which must hold exactly one value, into target, a
// pointer.
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
