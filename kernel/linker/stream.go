package linker

import (
	"context"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

// Stream is one exchange on a link. Reading and writing may run side by side,
// each from one goroutine.
type Stream struct {
	link   *Link
	number uint64
	kind   messenger.Kind
	ctx    context.Context
	cancel context.CancelCauseFunc
	unhook func() bool

	mu        sync.Mutex
	changed   sync.Cond
	received  []byte // not read yet
	credit    uint64 // read, but not announced to the peer yet
	window    int64  // bytes that may still be sent
	allowed   int64  // bytes that the peer may still send
	ended     bool   // the peer's last frame came and was right
	sealed    bool   // the last frame was sent
	failure   error
	inLength  uint64
	outLength uint64
	inSum     *xxhash.Digest
	outSum    *xxhash.Digest
}

func newStream(ctx context.Context, link *Link, number uint64, kind messenger.Kind) *Stream {
	stream := &Stream{
		link:    link,
		number:  number,
		kind:    kind,
		window:  StreamWindow,
		allowed: StreamWindow,
		inSum:   xxhash.New(),
		outSum:  xxhash.New(),
	}
	stream.changed.L = &stream.mu
	stream.ctx, stream.cancel = context.WithCancelCause(ctx)
	stream.unhook = context.AfterFunc(ctx, func() {
		stream.reset(Error.New("stream: %w", context.Cause(ctx)))
	})
	return stream
}

// Kind returns what the stream carries.
func (s *Stream) Kind() messenger.Kind {
	return s.kind
}

// Context ends when the stream is aborted by either side.
func (s *Stream) Context() context.Context {
	return s.ctx
}

// Write sends bytes, waiting for the peer's window.
func (s *Stream) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		s.link.out.wait()
		part, err := s.reserve(len(data))
		if err != nil {
			return written, err
		}
		s.emit(data[:part])
		data = data[part:]
		written += part
	}
	return written, nil
}

// reserve waits until the window lets some of wanted bytes through.
func (s *Stream) reserve(wanted int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.window == 0 && s.failure == nil {
		s.changed.Wait()
	}
	if s.failure != nil {
		return 0, s.failure
	}
	if s.sealed {
		return 0, Error.New("writing after the end: %w", ErrClosed)
	}
	part := min(wanted, framer.MaxPayload, int(s.window))
	s.window -= int64(part)
	return part, nil
}

func (s *Stream) emit(part []byte) {
	_, _ = s.outSum.Write(part)
	s.outLength += uint64(len(part))
	s.link.send(framer.Frame{Type: framer.TypeData, Stream: s.number, Payload: part})
}

// Read reads bytes. It returns io.EOF only after the peer's last frame, when
// length and checksum agreed.
func (s *Stream) Read(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.received) == 0 && !s.ended && s.failure == nil {
		s.changed.Wait()
	}
	if len(s.received) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		return 0, s.failure
	}
	n := copy(data, s.received)
	s.received = s.received[n:]
	if len(s.received) == 0 {
		s.received = nil
	}
	s.giveCredit(n)
	return n, nil
}

func (s *Stream) giveCredit(n int) {
	s.credit += uint64(n)
	if s.credit < StreamWindow/2 || s.ended {
		return
	}
	s.allowed += int64(s.credit)
	payload := binary.BigEndian.AppendUint64(nil, s.credit)
	s.credit = 0
	s.link.send(framer.Frame{Type: framer.TypeWindow, Stream: s.number, Payload: payload})
}

// Send sends one message.
func (s *Stream) Send(message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return Error.New("encoding a %T: %w", message, err)
	}
	prefixed := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	if _, err := s.Write(append(prefixed, data...)); err != nil {
		return Error.New("sending a %T: %w", message, err)
	}
	return nil
}

// Receive reads one message into message, a pointer.
func (s *Stream) Receive(message any) error {
	var prefix [4]byte
	if _, err := io.ReadFull(s, prefix[:]); err != nil {
		return Error.New("receiving a %T: %w", message, err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxMessage {
		return Error.New("message of %d bytes: %w", length, ErrProtocol)
	}
	data, err := io.ReadAll(io.LimitReader(s, int64(length)))
	if err != nil {
		return Error.New("receiving a %T: %w", message, err)
	}
	if len(data) < int(length) {
		return Error.New("receiving a %T: %w", message, io.ErrUnexpectedEOF)
	}
	if err := msgpack.Unmarshal(data, message); err != nil {
		return Error.New("decoding a %T: %w", message, err)
	}
	return nil
}

// CloseWrite ends the sending direction: the peer sees io.EOF after all bytes.
func (s *Stream) CloseWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	if s.sealed {
		return nil
	}
	s.sealed = true
	payload := endPayload(s.outLength, s.outSum.Sum64())
	s.link.send(framer.Frame{Type: framer.TypeEnd, Stream: s.number, Payload: payload})
	s.retire()
	return nil
}

// Close ends the stream. Unless both directions ended well, the peer sees it
// reset.
func (s *Stream) Close() {
	s.reset(Error.New("stream: %w", ErrClosed))
}

// reset aborts the stream here and at the peer.
func (s *Stream) reset(cause error) {
	s.mu.Lock()
	whole := s.sealed && s.ended
	over := s.failure != nil
	s.mu.Unlock()
	if !whole && !over {
		s.link.send(framer.Frame{Type: framer.TypeReset, Stream: s.number, Payload: []byte("closed")})
	}
	s.link.forget(s)
	s.abort(cause)
}

// abort ends the stream here with a cause.
func (s *Stream) abort(cause error) {
	s.unhook()
	s.mu.Lock()
	if s.failure == nil {
		s.failure = cause
	}
	s.changed.Broadcast()
	s.mu.Unlock()
	s.cancel(cause)
}

// retire forgets the stream once both directions ended. The caller holds mu.
func (s *Stream) retire() {
	if s.sealed && s.ended {
		s.link.forget(s)
		s.unhook()
	}
}

// receive handles a frame of the peer. An error breaks the connection.
func (s *Stream) receive(frame framer.Frame) error {
	switch frame.Type {
	case framer.TypeData:
		return s.receiveData(frame.Payload)
	case framer.TypeEnd:
		return s.receiveEnd(frame.Payload)
	case framer.TypeWindow:
		return s.receiveWindow(frame.Payload)
	case framer.TypeReset:
		s.link.forget(s)
		s.abort(Error.New("%s: %w", frame.Payload, ErrReset))
		return nil
	}
	return Error.New("frame of type %d on a stream: %w", frame.Type, ErrProtocol)
}

func (s *Stream) receiveData(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return Error.New("data after the end of stream %d: %w", s.number, ErrProtocol)
	}
	s.allowed -= int64(len(data))
	if s.allowed < 0 {
		return Error.New("stream %d overran its window: %w", s.number, ErrProtocol)
	}
	_, _ = s.inSum.Write(data)
	s.inLength += uint64(len(data))
	s.received = append(s.received, data...)
	s.changed.Broadcast()
	return nil
}

func (s *Stream) receiveEnd(payload []byte) error {
	if len(payload) != 16 {
		return Error.New("end frame of %d bytes: %w", len(payload), ErrProtocol)
	}
	length := binary.BigEndian.Uint64(payload)
	checksum := binary.BigEndian.Uint64(payload[8:])
	s.mu.Lock()
	if length != s.inLength || checksum != s.inSum.Sum64() {
		s.mu.Unlock()
		s.link.options.count("refusals", "checksum")
		return Error.New("stream %d: %w", s.number, ErrTruncated)
	}
	s.ended = true
	s.changed.Broadcast()
	s.retire()
	s.mu.Unlock()
	return nil
}

func (s *Stream) receiveWindow(payload []byte) error {
	if len(payload) != 8 {
		return Error.New("window frame of %d bytes: %w", len(payload), ErrProtocol)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window += int64(binary.BigEndian.Uint64(payload))
	if s.window < 0 || s.window > StreamWindow {
		return Error.New("window of stream %d is %d: %w", s.number, s.window, ErrProtocol)
	}
	s.changed.Broadcast()
	return nil
}
