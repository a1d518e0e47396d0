// Package framer reads and writes the frames that processes exchange over a
// connection.
//
// A frame consists of a header of fixed size and a payload:
//
//	bytes 0..3   length of the payload, big-endian, at most MaxPayloadBytes
//	byte  4      frame type
//	bytes 5..12  stream number, big-endian; 0 for the connection itself
//	bytes 13..16 sequence number, big-endian: 0 for the first frame in a
//	             direction, then incremented by one for each frame
//	bytes 17..   payload
//
// The sequence number lets the receiver detect frames that were lost, duplicated or
// reordered.
//
// # Usage
//
//	buffer = framer.Append(buffer, framer.Frame{Type: framer.TypeData, Stream: 7, Payload: data})
//	reader := framer.NewReader(conn)
//	frame, err := reader.Read()
package framer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("framer")

// ErrOversize is wrapped by the error for a payload larger than MaxPayloadBytes.
var ErrOversize = errs.New("frame payload exceeds the maximum size")

// ErrUnknownType is wrapped by the error for a frame of unknown type.
var ErrUnknownType = errs.New("unknown frame type")

const (
	// HeaderSize is the size of a frame header in bytes.
	HeaderSize = 17
	// MaxPayloadBytes is the maximum size of a frame payload in bytes.
	MaxPayloadBytes = 32 << 10

	// readBufferSize and maxKeptPayload bound the memory of an idle connection: a process
	// keeps one to each of hundreds of others.
	readBufferSize = 1 << 10
	maxKeptPayload = 1 << 10
)

// payloadBuffers holds the buffers for payloads above maxKeptPayload.
var payloadBuffers = sync.Pool{New: func() any { return new([MaxPayloadBytes]byte) }}

// Type is the type of a frame.
type Type uint8

// Frame types.
const (
	// TypeHello is the first frame in each direction.
	TypeHello Type = iota + 1
	// TypeOpen opens a stream; its payload is one byte, the stream kind.
	TypeOpen
	// TypeData carries data of a stream.
	TypeData
	// TypeEnd ends one direction of a stream; its payload is the length and
	// checksum of all data sent in that direction.
	TypeEnd
	// TypeReset aborts a stream in both directions; its payload is the reason.
	TypeReset
	// TypeWindowUpdate extends the flow-control window of a stream; its payload is the
	// number of bytes to add.
	TypeWindowUpdate
	// TypePing requests a TypePong.
	TypePing
	// TypePong is the response to a TypePing.
	TypePong

	typeLimit // one above the highest valid type
)

// Frame is one frame. The Payload of a frame returned by [Reader.Read] is valid
// until the next call.
type Frame struct {
	Type     Type
	Stream   uint64
	Sequence uint32
	Payload  []byte
}

// Append appends the encoding of frame to buffer. The payload must not exceed
// MaxPayloadBytes.
func Append(buffer []byte, frame Frame) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.Payload)))
	buffer = append(buffer, byte(frame.Type))
	buffer = binary.BigEndian.AppendUint64(buffer, frame.Stream)
	buffer = binary.BigEndian.AppendUint32(buffer, frame.Sequence)
	return append(buffer, frame.Payload...)
}

// Reader reads frames from one connection.
type Reader struct {
	source  *bufio.Reader
	header  [HeaderSize]byte
	payload []byte
	// pooled is the buffer of the last payload if it was large.
	pooled *[MaxPayloadBytes]byte
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferSize)}
}

// Read reads the next frame. It returns io.EOF, unwrapped, when the input ends
// between two frames.
func (r *Reader) Read() (Frame, error) {
	if r.pooled != nil {
		payloadBuffers.Put(r.pooled)
		r.pooled = nil
	}
	if _, err := io.ReadFull(r.source, r.header[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		return Frame{}, Error.New("reading the frame header: %w", err)
	}
	length := binary.BigEndian.Uint32(r.header[:4])
	if length > MaxPayloadBytes {
		return Frame{}, Error.New("payload of %d bytes: %w", length, ErrOversize)
	}
	frame := Frame{
		Type:     Type(r.header[4]),
		Stream:   binary.BigEndian.Uint64(r.header[5:]),
		Sequence: binary.BigEndian.Uint32(r.header[13:]),
	}
	if frame.Type == 0 || frame.Type >= typeLimit {
		return Frame{}, Error.New("type %d: %w", frame.Type, ErrUnknownType)
	}
	payload, err := r.readPayload(int(length))
	if err != nil {
		return Frame{}, err
	}
	frame.Payload = payload
	return frame, nil
}

func (r *Reader) readPayload(length int) ([]byte, error) {
	payload := r.buffer(length)
	if _, err := io.ReadFull(r.source, payload); err != nil {
		return nil, Error.New("reading the frame payload: %w", err)
	}
	return payload, nil
}

// buffer returns a buffer for a payload, which is valid until the next Read.
func (r *Reader) buffer(length int) []byte {
	if length > maxKeptPayload {
		r.pooled = payloadBuffers.Get().(*[MaxPayloadBytes]byte)
		return r.pooled[:length]
	}
	if cap(r.payload) < length {
		r.payload = make([]byte, length)
	}
	return r.payload[:length]
}
