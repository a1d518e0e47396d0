package linker

import (
	"errors"
	"io"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

func (l *Link) readLoop() {
	for {
		frame, err := l.reader.Read()
		if err != nil {
			l.countReadError(err)
			if err == io.EOF {
				// To the readers of the streams io.EOF would mean that theirs is complete.
				err = io.ErrUnexpectedEOF
			}
			l.fail(Error.New("reading from %s: %w", l.peer.Name, err))
			return
		}
		if err := l.handleInSequence(frame); err != nil {
			l.options.count("refusals", "protocol")
			l.fail(err)
			return
		}
	}
}

func (l *Link) countReadError(err error) {
	switch {
	case errors.Is(err, framer.ErrOversize):
		l.options.count("refusals", "oversize")
	case errors.Is(err, framer.ErrUnknownType):
		l.options.count("refusals", "garbage")
	}
}

// handleInSequence handles one frame, or drops it if it is a duplicate. A gap in
// the sequence means that frames were lost and closes the connection at once.
func (l *Link) handleInSequence(frame framer.Frame) error {
	switch offset := int32(frame.Sequence - l.nextSequence); {
	case offset < 0:
		l.options.count("late_frames", "doubled")
		return nil
	case offset > 0:
		l.options.count("closures", "gap")
		return Error.New("sequence gap of %d frames from %s: %w", offset, l.peer.Name, ErrProtocolViolation)
	}
	l.nextSequence++
	return l.handleFrame(frame)
}

// handleFrame handles one frame. An error closes the connection.
func (l *Link) handleFrame(frame framer.Frame) error {
	switch frame.Type {
	case framer.TypePing:
		l.send(framer.Frame{Type: framer.TypePong})
		return nil
	case framer.TypePong:
		l.keepalive.pongs.Add(1)
		return nil
	case framer.TypeOpen:
		return l.acceptStream(frame)
	case framer.TypeHello:
		return Error.New("unexpected second hello frame: %w", ErrProtocolViolation)
	}
	l.mu.Lock()
	stream, ok := l.streams[frame.Stream]
	wasOpened := frame.Stream <= l.lastStream
	l.mu.Unlock()
	if !ok {
		if !wasOpened {
			return Error.New("frame for stream %d, which has not been opened: %w", frame.Stream, ErrProtocolViolation)
		}
		l.options.count("late_frames", "closed")
		return nil
	}
	return stream.handleFrame(frame)
}

func (l *Link) acceptStream(frame framer.Frame) error {
	if l.dialed || l.options.Handler == nil {
		return Error.New("peer is not allowed to open streams: %w", ErrProtocolViolation)
	}
	if len(frame.Payload) != 1 {
		return Error.New("open frame has a payload of %d bytes, want 1: %w", len(frame.Payload), ErrProtocolViolation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil
	}
	if frame.Stream <= l.lastStream {
		l.options.count("late_frames", "reopened")
		return Error.New("stream number %d is not above the last one: %w", frame.Stream, ErrProtocolViolation)
	}
	l.lastStream = frame.Stream
	if len(l.streams) >= MaxConcurrentStreams {
		l.options.count("refusals", "streams")
		l.send(framer.Frame{Type: framer.TypeReset, Stream: frame.Stream, Payload: []byte("too many streams")})
		return nil
	}
	stream := newAcceptedStream(l, frame.Stream, messenger.Kind(frame.Payload[0]))
	l.streams[stream.number] = stream
	l.keepalive.start()
	l.tasks.Go(func() { l.serveStream(stream) })
	return nil
}

func (l *Link) serveStream(stream *Stream) {
	defer stream.Close()
	l.options.Handler(stream.ctx, l, stream)
}
