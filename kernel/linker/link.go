package linker

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// writeChunkSize is the size in bytes of the chunks in which a batch is written.
// It is small enough that a network link under load takes a chunk within WriteTimeout.
const writeChunkSize = 32 << 10

// Link is one connection with its streams. Its methods are safe for concurrent
// use.
type Link struct {
	conn    net.Conn
	reader  *framer.Reader
	options Options
	peer    messenger.Hello
	dialed  bool
	// nextSequence is the expected sequence number of the next frame. It is used
	// only by the goroutine that reads.
	nextSequence uint32

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu         sync.Mutex
	streams    map[uint64]*Stream
	lastStream uint64 // highest stream number opened by either side
	endedAt    time.Time

	queue     sendQueue
	keepalive keepalive
	tasks     sync.WaitGroup
}

// Dial opens a link to address and performs the handshake.
func Dial(ctx context.Context, network networker.Network, address string, options Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := dialWithRetry(ctx, network, address)
	if err != nil {
		options.count("dial_failures", "network")
		return nil, Error.New("%w: %w", ErrNotConnected, err)
	}
	link := newLink(conn, options, true)
	if err := link.handshake(); err != nil {
		_ = conn.Close()
		return nil, Error.New("%w: %w", ErrNotConnected, err)
	}
	link.run()
	return link, nil
}

func newLink(conn net.Conn, options Options, dialed bool) *Link {
	ctx, cancel := context.WithCancelCause(context.Background())
	link := &Link{
		conn:    conn,
		options: options,
		dialed:  dialed,
		ctx:     ctx,
		cancel:  cancel,
		streams: make(map[uint64]*Stream),
	}
	link.queue.init()
	link.reader = framer.NewReader(countingReader{conn, &link.keepalive.reads})
	link.keepalive.link = link
	return link
}

// Peer returns the hello message of the peer.
func (l *Link) Peer() messenger.Hello {
	return l.peer
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} {
	return l.ctx.Done()
}

// Close ends the link and all its streams.
func (l *Link) Close() {
	l.fail(Error.New("link: %w", ErrClosed))
}

// Open opens a stream. The stream is reset when ctx is done.
func (l *Link) Open(ctx context.Context, kind messenger.Kind) (*Stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, Error.New("opening a stream: %w", context.Cause(l.ctx))
	}
	l.lastStream++
	stream := newStream(l, l.lastStream, kind)
	stream.ctx = ctx
	l.streams[stream.number] = stream
	l.keepalive.start()
	// Sent with the lock held so that stream numbers reach the peer in order.
	l.send(framer.Frame{Type: framer.TypeOpen, Stream: stream.number, Payload: []byte{byte(kind)}})
	stream.watchContext(ctx)
	return stream, nil
}

func (l *Link) run() {
	l.tasks.Go(l.readLoop)
	l.tasks.Go(l.writeLoop)
}

// handshake exchanges hello frames. Both sides send theirs without waiting for the
// other.
func (l *Link) handshake() error {
	if err := l.conn.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return Error.New("setting the handshake deadline: %w", err)
	}
	hello, err := msgpack.Marshal(&l.options.Hello)
	if err != nil {
		return Error.New("encoding the hello message: %w", err)
	}
	written := make(chan error, 1)
	go func() {
		l.queue.add(framer.Frame{Type: framer.TypeHello, Payload: hello})
		_, err := l.conn.Write(l.queue.takeBatch(nil))
		written <- err
	}()
	err = l.readHello()
	// The hello frame is sent in full even to an incompatible peer, so that the
	// peer can report why the handshake failed. The deadline limits the wait.
	if err := errors.Join(err, <-written); err != nil {
		return Error.New("handshake failed: %w", err)
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clearing the handshake deadline: %w", err)
	}
	return nil
}

func (l *Link) readHello() error {
	frame, err := l.reader.Read()
	if err != nil {
		l.options.count("refusals", "garbage")
		return err
	}
	if frame.Type != framer.TypeHello || frame.Sequence != 0 {
		l.options.count("refusals", "garbage")
		return Error.New("unexpected first frame of type %d: %w", frame.Type, ErrProtocolViolation)
	}
	l.nextSequence = 1
	if err := msgpack.Unmarshal(frame.Payload, &l.peer); err != nil {
		l.options.count("refusals", "garbage")
		return Error.New("decoding the hello message: %w", err)
	}
	local := l.options.Hello
	if l.peer.Cluster != local.Cluster {
		l.options.count("refusals", "cluster")
		return Error.New("peer is in cluster %q, want %q: %w", l.peer.Cluster, local.Cluster, ErrIncompatiblePeer)
	}
	if l.peer.Version != local.Version {
		l.options.count("refusals", "version")
		return Error.New("peer has protocol version %d, want %d: %w", l.peer.Version, local.Version, ErrIncompatiblePeer)
	}
	return nil
}

func (l *Link) readLoop() {
	for {
		frame, err := l.reader.Read()
		if err != nil {
			l.countReadError(err)
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

// send appends a frame to the send queue. It never blocks. If the queue exceeds its
// limit, because the peer keeps requesting responses without reading any, the
// connection is closed.
func (l *Link) send(frame framer.Frame) {
	if !l.queue.add(frame) {
		return
	}
	l.options.count("closures", "overflow")
	// In a goroutine, since the caller may hold locks that fail acquires.
	go l.fail(Error.New("send queue limit exceeded, the peer is not reading: %w", ErrProtocolViolation))
}

func (l *Link) writeLoop() {
	var batch []byte
	for {
		select {
		case <-l.queue.ready:
		case <-l.ctx.Done():
			return
		}
		batch = l.queue.takeBatch(batch)
		if len(batch) == 0 {
			continue
		}
		if err := l.write(batch); err != nil {
			l.fail(Error.New("writing to %s: %w", l.peer.Name, err))
			return
		}
	}
}

// write writes a batch in chunks. It fails if a chunk is not written within
// WriteTimeout, so that no writer waits forever. A slow connection stays open as long
// as each chunk is written in time.
func (l *Link) write(batch []byte) error {
	for len(batch) > 0 {
		chunk := batch[:min(len(batch), writeChunkSize)]
		if err := l.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
			return Error.New("setting the write deadline: %w", err)
		}
		if _, err := l.conn.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.options.count("closures", "stuck")
			}
			return err
		}
		batch = batch[len(chunk):]
	}
	return nil
}

// drainPollInterval is the interval at which drain checks the state of a link.
const drainPollInterval = 10 * time.Millisecond

// drain waits until no stream is open and the peer has answered a ping sent after
// that, which shows that it has read everything sent before the ping.
func (l *Link) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	targetPongs := uint64(0)
	for {
		switch {
		case targetPongs > 0 && l.keepalive.pongs.Load() >= targetPongs:
			return
		case targetPongs == 0 && !l.hasOpenStreams():
			targetPongs = l.ping()
		}
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// ping sends a ping and returns the number of pings sent so far.
func (l *Link) ping() uint64 {
	count := l.keepalive.pings.Add(1)
	l.send(framer.Frame{Type: framer.TypePing})
	return count
}

// hasOpenStreams reports whether at least one stream is open.
func (l *Link) hasOpenStreams() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) > 0
}

// fail closes the link and aborts its streams with cause. Only the first call has
// an effect.
func (l *Link) fail(cause error) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return
	}
	l.cancel(cause)
	l.endedAt = time.Now()
	streams := l.streams
	l.streams = make(map[uint64]*Stream)
	l.mu.Unlock()
	for _, stream := range streams {
		stream.abort(cause)
	}
	l.keepalive.stop()
	l.queue.close()
	_ = l.conn.Close()
}

func (l *Link) removeStream(stream *Stream) {
	l.mu.Lock()
	delete(l.streams, stream.number)
	l.mu.Unlock()
}

// endPayload encodes the payload of an end frame.
func endPayload(length, checksum uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, length)
	return binary.BigEndian.AppendUint64(payload, checksum)
}

var _ io.ReadWriter = (*Stream)(nil)
