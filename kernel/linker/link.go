package linker

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

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
	if err := decoder.Unmarshal(frame.Payload, &l.peer); err != nil {
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
