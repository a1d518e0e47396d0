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

// Stream is a bidirectional stream on a link. One goroutine may read while another
// one writes.
type Stream struct {
	link   *Link
	number uint64
	kind   messenger.Kind
	ctx    context.Context
	// cancel cancels ctx. On a stream opened by this side it is nil until the first
	// call of Context.
	cancel context.CancelCauseFunc
	// stopWatching ends the watch on the context of a stream opened by this side;
	// nil on a stream opened by the peer.
	stopWatching func() bool

	mu               sync.Mutex
	changed          sync.Cond
	unread           receiveBuffer // received, not read yet
	credit           uint64        // bytes read, but not added to the peer's window yet
	sendWindow       int64         // bytes that may still be sent
	receiveWindow    int64         // bytes that the peer may still send
	receivedEnd      bool          // the peer's end frame was received and matched
	sentEnd          bool          // the end frame was sent
	failure          error
	receivedLength   uint64
	sentLength       uint64
	receivedChecksum xxhash.Digest
	sentChecksum     xxhash.Digest
}

// errStreamClosed is returned by a stream that was closed on this side. It is
// allocated once, since most streams end this way.
var errStreamClosed = Error.New("stream: %w", ErrClosed)

func newStream(link *Link, number uint64, kind messenger.Kind) *Stream {
	stream := &Stream{
		link:          link,
		number:        number,
		kind:          kind,
		sendWindow:    StreamWindowBytes,
		receiveWindow: StreamWindowBytes,
	}
	stream.changed.L = &stream.mu
	stream.receivedChecksum.Reset()
	stream.sentChecksum.Reset()
	return stream
}

// watchContext resets a stream opened by this side when ctx is done. It must be
// called after the open frame is queued, since a reset of an unopened stream is a
// protocol violation.
func (s *Stream) watchContext(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWatching = context.AfterFunc(ctx, func() {
		s.reset(Error.New("stream: %w", context.Cause(ctx)))
	})
}

// newAcceptedStream returns a stream opened by the peer. Its context is derived
// from the context of the link.
func newAcceptedStream(link *Link, number uint64, kind messenger.Kind) *Stream {
	stream := newStream(link, number, kind)
	stream.ctx, stream.cancel = context.WithCancelCause(link.ctx)
	return stream
}

// Kind returns the kind given when the stream was opened.
func (s *Stream) Kind() messenger.Kind {
	return s.kind
}

// Hellos returns the hello messages of this process and of the peer.
func (s *Stream) Hellos() (local, peer messenger.Hello) {
	return s.link.options.Hello, s.link.peer
}

// Context returns a context that is canceled when the stream is aborted by either
// side.
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

// Write sends data. It blocks while the send queue or the flow-control window is
// full.
func (s *Stream) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		s.link.queue.waitForSpace()
		size, err := s.reserveWindow(len(data))
		if err != nil {
			return written, err
		}
		s.sendData(data[:size])
		data = data[size:]
		written += size
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom, so that io.Copy uses a pooled buffer.
func (s *Stream) ReadFrom(source io.Reader) (int64, error) {
	buffer := payloadBuffers.Get().(*[framer.MaxPayloadBytes]byte)
	defer payloadBuffers.Put(buffer)
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

// reserveWindow blocks until the send window is not empty, then reserves up to
// requested bytes of it and returns their number.
func (s *Stream) reserveWindow(requested int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.sendWindow == 0 && s.failure == nil {
		s.changed.Wait()
	}
	if s.failure != nil {
		return 0, s.failure
	}
	if s.sentEnd {
		return 0, Error.New("write after CloseWrite: %w", ErrClosed)
	}
	size := min(requested, framer.MaxPayloadBytes, int(s.sendWindow))
	s.sendWindow -= int64(size)
	return size, nil
}

func (s *Stream) sendData(data []byte) {
	_, _ = s.sentChecksum.Write(data)
	s.sentLength += uint64(len(data))
	s.link.send(framer.Frame{Type: framer.TypeData, Stream: s.number, Payload: data})
}

// Read reads data. It returns io.EOF only if the peer has ended its direction and
// the length and checksum matched; no other error wraps io.EOF.
func (s *Stream) Read(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.unread.isEmpty() && !s.receivedEnd && s.failure == nil {
		s.changed.Wait()
	}
	if s.unread.isEmpty() {
		if s.receivedEnd {
			return 0, io.EOF
		}
		return 0, s.failure
	}
	n := s.unread.read(data)
	s.announceCredit(n)
	return n, nil
}

// announceCredit adds n bytes read to the credit. It sends a window update once the
// credit is half of the window, so that not every read causes a frame.
func (s *Stream) announceCredit(n int) {
	s.credit += uint64(n)
	if s.credit < StreamWindowBytes/2 || s.receivedEnd {
		return
	}
	s.receiveWindow += int64(s.credit)
	payload := binary.BigEndian.AppendUint64(nil, s.credit)
	s.credit = 0
	s.link.send(framer.Frame{Type: framer.TypeWindowUpdate, Stream: s.number, Payload: payload})
}

// CloseWrite ends the sending direction. The peer reads io.EOF after all data.
func (s *Stream) CloseWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	if s.sentEnd {
		return nil
	}
	s.sentEnd = true
	payload := endPayload(s.sentLength, s.sentChecksum.Sum64())
	s.link.send(framer.Frame{Type: framer.TypeEnd, Stream: s.number, Payload: payload})
	s.removeIfEnded()
	return nil
}

// Close closes the stream. Unless both directions have ended normally, it resets
// the stream at the peer.
func (s *Stream) Close() {
	s.reset(errStreamClosed)
}

// reset aborts the stream on both sides.
func (s *Stream) reset(cause error) {
	s.mu.Lock()
	complete := s.sentEnd && s.receivedEnd
	failed := s.failure != nil
	s.mu.Unlock()
	if !complete && !failed {
		s.link.send(framer.Frame{Type: framer.TypeReset, Stream: s.number, Payload: []byte("closed")})
	}
	s.link.removeStream(s)
	s.abort(cause)
}

// abort ends the stream on this side. Cause becomes its failure unless it has one.
func (s *Stream) abort(cause error) {
	s.mu.Lock()
	if s.failure == nil {
		s.failure = cause
	}
	s.changed.Broadcast()
	cancel, stopWatching := s.cancel, s.stopWatching
	s.mu.Unlock()
	if stopWatching != nil {
		stopWatching()
	}
	if cancel != nil {
		cancel(cause)
	}
}

// removeIfEnded removes the stream from its link if both directions have ended. The
// caller must hold mu.
func (s *Stream) removeIfEnded() {
	if s.sentEnd && s.receivedEnd {
		s.link.removeStream(s)
		if s.stopWatching != nil {
			s.stopWatching()
		}
	}
}

// handleFrame handles a frame from the peer. An error closes the connection.
func (s *Stream) handleFrame(frame framer.Frame) error {
	switch frame.Type {
	case framer.TypeData:
		return s.handleData(frame.Payload)
	case framer.TypeEnd:
		return s.handleEnd(frame.Payload)
	case framer.TypeWindowUpdate:
		return s.handleWindowUpdate(frame.Payload)
	case framer.TypeReset:
		s.link.removeStream(s)
		s.abort(Error.New("%s: %w", frame.Payload, ErrReset))
		return nil
	}
	return Error.New("unexpected frame of type %d on a stream: %w", frame.Type, ErrProtocolViolation)
}

func (s *Stream) handleData(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedEnd {
		return Error.New("data after the end of stream %d: %w", s.number, ErrProtocolViolation)
	}
	s.receiveWindow -= int64(len(data))
	if s.receiveWindow < 0 {
		return Error.New("data exceeds the window of stream %d: %w", s.number, ErrProtocolViolation)
	}
	_, _ = s.receivedChecksum.Write(data)
	s.receivedLength += uint64(len(data))
	s.unread.add(data)
	s.changed.Broadcast()
	return nil
}

func (s *Stream) handleEnd(payload []byte) error {
	if len(payload) != 16 {
		return Error.New("end frame has a payload of %d bytes, want 16: %w", len(payload), ErrProtocolViolation)
	}
	length := binary.BigEndian.Uint64(payload)
	checksum := binary.BigEndian.Uint64(payload[8:])
	s.mu.Lock()
	if length != s.receivedLength || checksum != s.receivedChecksum.Sum64() {
		s.mu.Unlock()
		s.link.options.count("refusals", "checksum")
		return Error.New("stream %d: %w", s.number, ErrStreamMismatch)
	}
	s.receivedEnd = true
	s.changed.Broadcast()
	s.removeIfEnded()
	s.mu.Unlock()
	return nil
}

func (s *Stream) handleWindowUpdate(payload []byte) error {
	if len(payload) != 8 {
		return Error.New("window update frame has a payload of %d bytes, want 8: %w", len(payload), ErrProtocolViolation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendWindow += int64(binary.BigEndian.Uint64(payload))
	if s.sendWindow < 0 || s.sendWindow > StreamWindowBytes {
		return Error.New("window of stream %d out of range: %d: %w", s.number, s.sendWindow, ErrProtocolViolation)
	}
	s.changed.Broadcast()
	return nil
}
