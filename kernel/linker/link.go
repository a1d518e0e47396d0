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

// writeSize is the size in bytes of the parts in which a batch is written. A link
// that is shared by many takes one within WriteTime.
const writeSize = 32 << 10

// Link is one connection with its streams. Its methods are safe for concurrent
// use.
type Link struct {
	conn    net.Conn
	reader  *framer.Reader
	options Options
	peer    messenger.Hello
	dialled bool
	// expected is the sequence number of the next frame; only the goroutine
	// that reads uses it.
	expected uint32

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	streams map[uint64]*Stream
	last    uint64 // newest stream number, of either side
	ended   time.Time

	out   outbox
	pulse pulse
	tasks sync.WaitGroup
}

// Dial opens a link to address and greets the peer.
func Dial(ctx context.Context, network networker.Network, address string, options Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTime)
	defer cancel()
	conn, err := connect(ctx, network, address)
	if err != nil {
		options.count("dial_failures", "network")
		return nil, Error.New("%w: %w", ErrDial, err)
	}
	link := newLink(conn, options, true)
	if err := link.greet(); err != nil {
		_ = conn.Close()
		return nil, Error.New("%w: %w", ErrDial, err)
	}
	link.run()
	return link, nil
}

func newLink(conn net.Conn, options Options, dialled bool) *Link {
	ctx, cancel := context.WithCancelCause(context.Background())
	link := &Link{
		conn:    conn,
		options: options,
		dialled: dialled,
		ctx:     ctx,
		cancel:  cancel,
		streams: make(map[uint64]*Stream),
	}
	link.out.init()
	link.reader = framer.NewReader(hearing{conn, &link.pulse.reads})
	link.pulse.link = link
	return link
}

// Peer returns the greeting of the peer.
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

// Open opens a stream. When ctx ends, the stream is reset.
func (l *Link) Open(ctx context.Context, kind messenger.Kind) (*Stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, Error.New("opening a stream: %w", context.Cause(l.ctx))
	}
	l.last++
	stream := newStream(l, l.last, kind)
	stream.ctx = ctx
	l.streams[stream.number] = stream
	l.pulse.start()
	// Sent under the lock, so that numbers reach the peer in order.
	l.send(framer.Frame{Type: framer.TypeOpen, Stream: stream.number, Payload: []byte{byte(kind)}})
	stream.watch(ctx)
	return stream, nil
}

func (l *Link) run() {
	l.tasks.Go(l.readLoop)
	l.tasks.Go(l.writeLoop)
}

// greet exchanges greetings, both ends at once.
func (l *Link) greet() error {
	if err := l.conn.SetDeadline(time.Now().Add(HelloTime)); err != nil {
		return Error.New("setting the greeting's deadline: %w", err)
	}
	hello, err := msgpack.Marshal(&l.options.Hello)
	if err != nil {
		return Error.New("encoding the greeting: %w", err)
	}
	sent := make(chan error, 1)
	go func() {
		l.out.add(framer.Frame{Type: framer.TypeHello, Payload: hello})
		_, err := l.conn.Write(l.out.take(nil))
		sent <- err
	}()
	err = l.readHello()
	// Even a stranger gets the whole greeting, so that it can say why it was
	// refused; the deadline bounds the wait.
	if err := errors.Join(err, <-sent); err != nil {
		return Error.New("greeting: %w", err)
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clearing the greeting's deadline: %w", err)
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
		return Error.New("first frame has type %d: %w", frame.Type, ErrProtocol)
	}
	l.expected = 1
	if err := msgpack.Unmarshal(frame.Payload, &l.peer); err != nil {
		l.options.count("refusals", "garbage")
		return Error.New("decoding the greeting: %w", err)
	}
	own := l.options.Hello
	if l.peer.Cluster != own.Cluster {
		l.options.count("refusals", "cluster")
		return Error.New("cluster %q, not %q: %w", l.peer.Cluster, own.Cluster, ErrStranger)
	}
	if l.peer.Version != own.Version {
		l.options.count("refusals", "version")
		return Error.New("protocol version %d, not %d: %w", l.peer.Version, own.Version, ErrStranger)
	}
	return nil
}

func (l *Link) readLoop() {
	for {
		frame, err := l.reader.Read()
		if err != nil {
			l.countReadFailure(err)
			l.fail(Error.New("reading from %s: %w", l.peer.Name, err))
			return
		}
		if err := l.admit(frame); err != nil {
			l.options.count("refusals", "protocol")
			l.fail(err)
			return
		}
	}
}

func (l *Link) countReadFailure(err error) {
	switch {
	case errors.Is(err, framer.ErrOversize):
		l.options.count("refusals", "oversize")
	case errors.Is(err, framer.ErrType):
		l.options.count("refusals", "garbage")
	}
}

// admit handles one frame unless it came before. A gap in the sequence means
// that frames were lost, which breaks the connection at once.
func (l *Link) admit(frame framer.Frame) error {
	switch ahead := int32(frame.Sequence - l.expected); {
	case ahead < 0:
		l.options.count("late_frames", "doubled")
		return nil
	case ahead > 0:
		l.options.count("closures", "gap")
		return Error.New("%d frames from %s are missing: %w", ahead, l.peer.Name, ErrProtocol)
	}
	l.expected++
	return l.receive(frame)
}

// receive handles one frame. An error breaks the connection.
func (l *Link) receive(frame framer.Frame) error {
	switch frame.Type {
	case framer.TypePing:
		l.send(framer.Frame{Type: framer.TypePong})
		return nil
	case framer.TypePong:
		l.pulse.pongs.Add(1)
		return nil
	case framer.TypeOpen:
		return l.accept(frame)
	case framer.TypeHello:
		return Error.New("second greeting: %w", ErrProtocol)
	}
	l.mu.Lock()
	stream, ok := l.streams[frame.Stream]
	known := frame.Stream <= l.last
	l.mu.Unlock()
	if !ok {
		if !known {
			return Error.New("frame for stream %d, which was never opened: %w", frame.Stream, ErrProtocol)
		}
		l.options.count("late_frames", "closed")
		return nil
	}
	return stream.receive(frame)
}

func (l *Link) accept(frame framer.Frame) error {
	if l.dialled || l.options.Handler == nil {
		return Error.New("peer may not open streams: %w", ErrProtocol)
	}
	if len(frame.Payload) != 1 {
		return Error.New("open frame of %d bytes: %w", len(frame.Payload), ErrProtocol)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil
	}
	if frame.Stream <= l.last {
		l.options.count("late_frames", "reopened")
		return Error.New("stream %d was used before: %w", frame.Stream, ErrProtocol)
	}
	l.last = frame.Stream
	if len(l.streams) >= MaxStreams {
		l.options.count("refusals", "streams")
		l.send(framer.Frame{Type: framer.TypeReset, Stream: frame.Stream, Payload: []byte("too many streams")})
		return nil
	}
	stream := newAccepted(l, frame.Stream, messenger.Kind(frame.Payload[0]))
	l.streams[stream.number] = stream
	l.pulse.start()
	l.tasks.Go(func() { l.serve(stream) })
	return nil
}

func (l *Link) serve(stream *Stream) {
	defer stream.Close()
	l.options.Handler(stream.ctx, l, stream)
}

// send queues a frame for the connection. It never blocks. A peer that reads
// nothing, while it asks for more and more answers, loses the connection.
func (l *Link) send(frame framer.Frame) {
	if !l.out.add(frame) {
		return
	}
	l.options.count("closures", "overflow")
	// The caller may hold locks that fail needs.
	go l.fail(Error.New("peer reads nothing: %w", ErrProtocol))
}

func (l *Link) writeLoop() {
	var batch []byte
	for {
		select {
		case <-l.out.wake:
		case <-l.ctx.Done():
			return
		}
		batch = l.out.take(batch)
		if len(batch) == 0 {
			continue
		}
		if err := l.write(batch); err != nil {
			l.fail(Error.New("writing to %s: %w", l.peer.Name, err))
			return
		}
	}
}

// write writes a batch in parts. A connection that takes no part for WriteTime
// fails, so that no writer waits for ever; one that is slow goes on.
func (l *Link) write(batch []byte) error {
	for len(batch) > 0 {
		part := batch[:min(len(batch), writeSize)]
		if err := l.conn.SetWriteDeadline(time.Now().Add(WriteTime)); err != nil {
			return Error.New("setting the deadline: %w", err)
		}
		if _, err := l.conn.Write(part); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.options.count("closures", "stuck")
			}
			return err
		}
		batch = batch[len(part):]
	}
	return nil
}

// drainPoll is the time between two looks at a link that drains.
const drainPoll = 10 * time.Millisecond

// drain waits until no stream is open and the peer has answered a ping, which it
// does only after it has read all that came before.
func (l *Link) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	wanted := uint64(0)
	for {
		switch {
		case wanted > 0 && l.pulse.pongs.Load() >= wanted:
			return
		case wanted == 0 && !l.isBusy():
			wanted = l.ping()
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

// ping asks the peer for a pong and returns how many were asked for so far.
func (l *Link) ping() uint64 {
	count := l.pulse.pings.Add(1)
	l.send(framer.Frame{Type: framer.TypePing})
	return count
}

// isBusy reports whether a stream is open.
func (l *Link) isBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) > 0
}

// fail ends the link with a cause. Only the first call counts.
func (l *Link) fail(cause error) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return
	}
	l.cancel(cause)
	l.ended = time.Now()
	streams := l.streams
	l.streams = make(map[uint64]*Stream)
	l.mu.Unlock()
	for _, stream := range streams {
		stream.abort(cause)
	}
	l.pulse.stop()
	l.out.close()
	_ = l.conn.Close()
}

func (l *Link) forget(stream *Stream) {
	l.mu.Lock()
	delete(l.streams, stream.number)
	l.mu.Unlock()
}

// endPayload encodes the length and checksum of a direction.
func endPayload(length, checksum uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, length)
	return binary.BigEndian.AppendUint64(payload, checksum)
}

var _ io.ReadWriter = (*Stream)(nil)
