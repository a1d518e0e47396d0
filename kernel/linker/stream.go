package linker

import (
	"context"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

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
	// cancel ends ctx; nil for a stream that was opened here, until its context
	// is asked for.
	cancel context.CancelCauseFunc
	// unhook stops watching the context of a stream that was opened here; nil
	// for the peer's.
	unhook func() bool

	mu        sync.Mutex
	changed   sync.Cond
	received  inbox  // not read yet
	credit    uint64 // read, but not announced to the peer yet
	window    int64  // bytes that may still be sent
	allowed   int64  // bytes that the peer may still send
	ended     bool   // the peer's last frame came and was right
	sealed    bool   // the last frame was sent
	failure   error
	inLength  uint64
	outLength uint64
	inSum     xxhash.Digest
	outSum    xxhash.Digest
}

// errStreamClosed is what a stream that was closed here returns. It is made
// once, since most streams end so.
var errStreamClosed = Error.New("stream: %w", ErrClosed)

func newStream(link *Link, number uint64, kind messenger.Kind) *Stream {
	stream := &Stream{
		link:    link,
		number:  number,
		kind:    kind,
		window:  StreamWindow,
		allowed: StreamWindow,
	}
	stream.changed.L = &stream.mu
	stream.inSum.Reset()
	stream.outSum.Reset()
	return stream
}

// watch resets a stream that was opened here when ctx ends. The peer must know
// of the stream by then.
func (s *Stream) watch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unhook = context.AfterFunc(ctx, func() {
		s.reset(Error.New("stream: %w", context.Cause(ctx)))
	})
}

// newAccepted returns a stream that the peer opened. The link aborts it when it
// ends itself.
func newAccepted(link *Link, number uint64, kind messenger.Kind) *Stream {
	stream := newStream(link, number, kind)
	stream.ctx, stream.cancel = context.WithCancelCause(link.ctx)
	return stream
}

// Kind returns what the stream carries.
func (s *Stream) Kind() messenger.Kind {
	return s.kind
}

// Context ends when the stream is aborted by either side.
func (s *Stream) Context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return s.ctx
	}
	s.ctx, s.cancel = context.WithCancelCause(s.ctx)
	if s.failure != nil {
		s.cancel(s.failure)
	}
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

// ReadFrom implements io.ReaderFrom, so that copies reuse their buffers.
func (s *Stream) ReadFrom(source io.Reader) (int64, error) {
	buffer := parts.Get().(*[framer.MaxPayload]byte)
	defer parts.Put(buffer)
	var sent int64
	for {
		n, err := source.Read(buffer[:])
		if n > 0 {
			written, err := s.Write(buffer[:n])
			sent += int64(written)
			if err != nil {
				return sent, err
			}
		}
		switch {
		case err == io.EOF:
			return sent, nil
		case err != nil:
			return sent, err
		}
	}
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
	for s.received.isEmpty() && !s.ended && s.failure == nil {
		s.changed.Wait()
	}
	if s.received.isEmpty() {
		if s.ended {
			return 0, io.EOF
		}
		return 0, s.failure
	}
	n := s.received.take(data)
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
	s.reset(errStreamClosed)
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
	s.mu.Lock()
	if s.failure == nil {
		s.failure = cause
	}
	s.changed.Broadcast()
	cancel, unhook := s.cancel, s.unhook
	s.mu.Unlock()
	if unhook != nil {
		unhook()
	}
	if cancel != nil {
		cancel(cause)
	}
}

// retire forgets the stream once both directions ended. The caller holds mu.
func (s *Stream) retire() {
	if s.sealed && s.ended {
		s.link.forget(s)
		if s.unhook != nil {
			s.unhook()
		}
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
	s.received.add(data)
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
