package linkshard

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/codec"
)

// Batches are compressed: their rows repeat the names of jobs and workers, and
// the network links of small entries carry a few megabits a second.

// writers holds compressors, which are costly to make.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

// readers holds decompressors.
var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// pack encodes a batch.
func pack(batch any) ([]byte, error) {
	plain, err := codec.Marshal(batch)
	if err != nil {
		return nil, err
	}
	writer, _ := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	var packed bytes.Buffer
	writer.Reset(&packed)
	if _, err := writer.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress a batch")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a batch")
	}
	return packed.Bytes(), nil
}

// unpack decodes a batch into a target. It reads no more than the codec allows,
// whatever a batch claims to hold.
func unpack(packed []byte, target any) error {
	reader := readers.Get().(interface {
		io.Reader
		flate.Resetter
	})
	defer readers.Put(reader)
	if err := reader.Reset(bytes.NewReader(packed), nil); err != nil {
		return errors.Wrap(err, "decompress a batch")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, codec.MaxRecordBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress a batch")
	}
	return codec.Unmarshal(plain, target)
}
