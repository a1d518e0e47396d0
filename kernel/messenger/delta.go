package messenger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
)

const (
	// minCompressedBytes is the encoded size from which deltas are compressed.
	minCompressedBytes = 4096
	// maxDeltaBytes is the maximum size of a decompressed delta.
	maxDeltaBytes = 256 << 20
)

// The first byte of an encoded delta gives the format of the rest.
const (
	formatPlain   = 0
	formatDeflate = 1
)

var (
	_ msgpack.CustomEncoder = TableDelta{}
	_ msgpack.CustomDecoder = (*TableDelta)(nil)
)

// plainDelta is a TableDelta without the methods, so that msgpack encodes its
// fields.
type plainDelta TableDelta

// EncodeMsgpack implements [msgpack.CustomEncoder]. Large deltas are compressed,
// because after the loss of a router each of the others receives a delta with
// thousands of similar rows.
func (d TableDelta) EncodeMsgpack(encoder *msgpack.Encoder) error {
	plain := plainDelta(d)
	data, err := msgpack.Marshal(&plain)
	if err != nil {
		return fmt.Errorf("encoding a delta: %w", err)
	}
	compressed, err := compress(data)
	if err != nil {
		return fmt.Errorf("compressing a delta: %w", err)
	}
	return encoder.EncodeBytes(compressed)
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (d *TableDelta) DecodeMsgpack(source *msgpack.Decoder) error {
	compressed, err := source.DecodeBytes()
	if err != nil {
		return fmt.Errorf("decoding a delta: %w", err)
	}
	data, err := decompress(compressed)
	if err != nil {
		return fmt.Errorf("decompressing a delta: %w", err)
	}
	var plain plainDelta
	if err := decoder.Unmarshal(data, &plain); err != nil {
		return fmt.Errorf("decoding a delta: %w", err)
	}
	*d = TableDelta(plain)
	return nil
}

// compress returns data after its format byte, compressed when it is large.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressedBytes {
		return append([]byte{formatPlain}, data...), nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(formatDeflate)
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	switch compressed[0] {
	case formatPlain:
		return compressed[1:], nil
	case formatDeflate:
		return inflate(compressed[1:])
	}
	return nil, fmt.Errorf("unknown format %d", compressed[0])
}

func inflate(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(reader, maxDeltaBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDeltaBytes {
		return nil, fmt.Errorf("decompressed size is above %d bytes", maxDeltaBytes)
	}
	return plain, nil
}
