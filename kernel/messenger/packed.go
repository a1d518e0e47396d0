package messenger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// packSize is the size in bytes from which on deltas are compressed.
	packSize = 4096
	// maxDelta bounds an unpacked delta in bytes.
	maxDelta = 256 << 20
)

// The first byte of an encoded delta says how the rest is encoded.
const (
	packPlain   = 0
	packDeflate = 1
)

var (
	_ msgpack.CustomEncoder = TableDelta{}
	_ msgpack.CustomDecoder = (*TableDelta)(nil)
)

// plainDelta is a TableDelta without its methods.
type plainDelta TableDelta

// EncodeMsgpack implements [msgpack.CustomEncoder]. Large deltas are compressed,
// since after a loss each router gets one of thousands of similar rows.
func (d TableDelta) EncodeMsgpack(encoder *msgpack.Encoder) error {
	plain := plainDelta(d)
	data, err := msgpack.Marshal(&plain)
	if err != nil {
		return fmt.Errorf("encoding a delta: %w", err)
	}
	packed, err := pack(data)
	if err != nil {
		return fmt.Errorf("compressing a delta: %w", err)
	}
	return encoder.EncodeBytes(packed)
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (d *TableDelta) DecodeMsgpack(decoder *msgpack.Decoder) error {
	packed, err := decoder.DecodeBytes()
	if err != nil {
		return fmt.Errorf("decoding a delta: %w", err)
	}
	data, err := unpack(packed)
	if err != nil {
		return fmt.Errorf("unpacking a delta: %w", err)
	}
	var plain plainDelta
	if err := msgpack.Unmarshal(data, &plain); err != nil {
		return fmt.Errorf("decoding a delta: %w", err)
	}
	*d = TableDelta(plain)
	return nil
}

func pack(data []byte) ([]byte, error) {
	if len(data) < packSize {
		return append([]byte{packPlain}, data...), nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(packDeflate)
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

func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	switch packed[0] {
	case packPlain:
		return packed[1:], nil
	case packDeflate:
		return inflate(packed[1:])
	}
	return nil, fmt.Errorf("packing %d is not known", packed[0])
}

func inflate(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(reader, maxDelta+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDelta {
		return nil, fmt.Errorf("it has more than %d bytes", maxDelta)
	}
	return plain, nil
}
