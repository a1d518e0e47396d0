package linker

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/decoder"
)

const (
	// lengthPrefixSize is the size of the length prefix of a message, in bytes.
	lengthPrefixSize = 4
	// maxPreallocatedSize is the size of the largest message, in bytes, for which
	// memory is allocated before its data has arrived. The buffer for a larger
	// message grows with the data, since the announced length may be wrong.
	maxPreallocatedSize = 64 << 10
)

// encodeBuffers holds buffers for the encoding of messages.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send sends one message.
func (s *Stream) Send(message any) error {
	buffer := encodeBuffers.Get().(*bytes.Buffer)
	defer recycleBuffer(buffer)
	if err := encode(buffer, message); err != nil {
		return Error.New("encoding a %T: %w", message, err)
	}
	if _, err := s.Write(buffer.Bytes()); err != nil {
		return Error.New("sending a %T: %w", message, err)
	}
	return nil
}

// encode replaces the content of buffer with the length prefix and the encoding of
// message.
func encode(buffer *bytes.Buffer, message any) error {
	buffer.Reset()
	buffer.Write(make([]byte, lengthPrefixSize))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	// Both ends use the same message types, so field names are not sent.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(message); err != nil {
		return err
	}
	data := buffer.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthPrefixSize))
	return nil
}

// recycleBuffer returns buffer to the pool unless it has grown large.
func recycleBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPreallocatedSize {
		encodeBuffers.Put(buffer)
	}
}

// Receive reads one message and decodes it into message, which must be a pointer.
func (s *Stream) Receive(message any) error {
	data, err := s.receiveData(message, MaxMessageBytes)
	if err != nil {
		return err
	}
	if err := decoder.Unmarshal(data, message); err != nil {
		return Error.New("decoding a %T: %w", message, err)
	}
	return nil
}

// ErrNoRoom is returned by [Stream.ReceiveWithin] for a message that must not be decoded.
var ErrNoRoom = errs.New("no memory for the message")

// ReceiveWithin is like Receive for a message of at most MaxRequestBytes that may have many
// small parts. It calls take with the size of the message and the number of its elements
// before it decodes it. If take returns false, it returns ErrNoRoom and only the first field,
// which must be a string.
func (s *Stream) ReceiveWithin(message any, take func(size, elements int) bool) (first string, err error) {
	data, err := s.receiveData(message, MaxRequestBytes)
	if err != nil {
		return "", err
	}
	if !take(len(data), decoder.Elements(data)) {
		first, err := decoder.FirstString(data)
		return first, errors.Join(ErrNoRoom, err)
	}
	if err := decoder.Unmarshal(data, message); err != nil {
		return "", Error.New("decoding a %T: %w", message, err)
	}
	return "", nil
}

// receiveData reads one message of at most limit bytes. message is named in errors.
func (s *Stream) receiveData(message any, limit uint32) ([]byte, error) {
	prefix := make([]byte, lengthPrefixSize)
	if _, err := io.ReadFull(s, prefix); err != nil {
		return nil, Error.New("receiving a %T: %w", message, err)
	}
	length := binary.BigEndian.Uint32(prefix)
	if length > limit {
		return nil, Error.New("message of %d bytes exceeds the maximum size: %w", length, ErrProtocolViolation)
	}
	data, err := s.readMessage(int(length))
	if err != nil {
		return nil, Error.New("receiving a %T: %w", message, err)
	}
	return data, nil
}

func (s *Stream) readMessage(length int) ([]byte, error) {
	if length <= maxPreallocatedSize {
		data := make([]byte, length)
		_, err := io.ReadFull(s, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(s, int64(length)))
	if err == nil && len(data) < length {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}
