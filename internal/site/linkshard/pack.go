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
// the network of a small entry carries only a few megabits per second.

// compressors pools compressors, which are expensive to create.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

// decompressors pools decompressors.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encodeBatch encodes and compresses a batch.
func encodeBatch(batch any) ([]byte, error) {
	plain, err := codec.Marshal(batch)
	if err != nil {
		return nil, err
	}
	writer, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
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

// decodeBatch decompresses and decodes a batch into target. It decompresses at most
// one byte more than codec.MaxRecordBytes, so a small batch cannot exhaust memory.
func decodeBatch(packed []byte, target any) error {
	reader := decompressors.Get().(interface {
		io.Reader
		flate.Resetter
	})
	defer decompressors.Put(reader)
	if err := reader.Reset(bytes.NewReader(packed), nil); err != nil {
		return errors.Wrap(err, "decompress a batch")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, codec.MaxRecordBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress a batch")
	}
	return codec.Unmarshal(plain, target)
}
