package linker

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// prefixSize is the size of the length before a message, in bytes.
	prefixSize = 4
	// trustedSize is the longest message whose announced length is believed
	// before its bytes are there.
	trustedSize = 64 << 10
)

// drafts are the buffers that messages are encoded in.
var drafts = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send sends one message.
func (s *Stream) Send(message any) error {
	draft := drafts.Get().(*bytes.Buffer)
	defer dropDraft(draft)
	if err := encode(draft, message); err != nil {
		return Error.New("encoding a %T: %w", message, err)
	}
	if _, err := s.Write(draft.Bytes()); err != nil {
		return Error.New("sending a %T: %w", message, err)
	}
	return nil
}

// encode writes a message after its length.
func encode(draft *bytes.Buffer, message any) error {
	draft.Reset()
	draft.Write(make([]byte, prefixSize))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(draft)
	// Both ends know the fields, so their names are not sent.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(message); err != nil {
		return err
	}
	data := draft.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-prefixSize))
	return nil
}

// dropDraft keeps a buffer for the next message unless it has grown large.
func dropDraft(draft *bytes.Buffer) {
	if draft.Cap() <= trustedSize {
		drafts.Put(draft)
	}
}

// Receive reads one message into message, a pointer.
func (s *Stream) Receive(message any) error {
	prefix := make([]byte, prefixSize)
	if _, err := io.ReadFull(s, prefix); err != nil {
		return Error.New("receiving a %T: %w", message, err)
	}
	length := binary.BigEndian.Uint32(prefix)
	if length > MaxMessage {
		return Error.New("message of %d bytes: %w", length, ErrProtocol)
	}
	data, err := s.readMessage(int(length))
	if err != nil {
		return Error.New("receiving a %T: %w", message, err)
	}
	if err := msgpack.Unmarshal(data, message); err != nil {
		return Error.New("decoding a %T: %w", message, err)
	}
	return nil
}

func (s *Stream) readMessage(length int) ([]byte, error) {
	if length <= trustedSize {
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
