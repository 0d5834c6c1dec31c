package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// boundedCodec prefixes JSON-RPC objects with a varint length, as the library's
// own codec does, but refuses frames above maxFrameBytes before reading them.
type boundedCodec struct{}

var _ jsonrpc2.ObjectCodec = boundedCodec{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, target any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxFrameBytes {
		return fault.Newf(fault.NotRun, "read frame", "", "frame of %d bytes exceeds %d", size, maxFrameBytes)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(target)
}
