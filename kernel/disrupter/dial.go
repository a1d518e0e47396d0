package disrupter

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// thawPoll is the time between two looks whether a VM is still frozen.
const thawPoll = 5 * time.Millisecond

// address is a net.Addr of the in-memory network.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// listener is an open listener of one VM.
type listener struct {
	world   *World
	node    string
	address string
	backlog chan *conn
	done    chan struct{}
	once    sync.Once
}

func (w *World) listen(node, at string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(at)
	if err != nil {
		return nil, Error.New("listening at %q: %w", at, err)
	}
	if host != node {
		return nil, Error.New("listening at %q: not an address of %s", at, node)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if port == "0" {
		w.nextPort++
		at = net.JoinHostPort(host, strconv.Itoa(w.nextPort))
	}
	if _, taken := w.listeners[at]; taken {
		return nil, Error.New("listening at %q: address already in use", at)
	}
	l := &listener{world: w, node: node, address: at, backlog: make(chan *conn, 128), done: make(chan struct{})}
	w.listeners[at] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.world.mu.Lock()
	if l.world.listeners[l.address] == l {
		delete(l.world.listeners, l.address)
	}
	l.world.mu.Unlock()
	l.end()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

func (l *listener) end() {
	l.once.Do(func() { close(l.done) })
}

// dial opens a connection. A cut in either direction makes it wait until ctx
// ends, like a network that drops the handshake.
func (w *World) dial(ctx context.Context, from, at string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(at)
	if err != nil {
		return nil, Error.New("dialling %q: %w", at, err)
	}
	there, passes := w.route(pair{from, to})
	back, returns := w.route(pair{to, from})
	if !passes || !returns {
		<-ctx.Done()
		return nil, Error.New("dialling %s: %w", at, context.Cause(ctx))
	}
	if err := sleep(ctx, there+back); err != nil {
		return nil, Error.New("dialling %s: %w", at, err)
	}
	for w.isFrozen(pair{from, to}) {
		if err := sleep(ctx, thawPoll); err != nil {
			return nil, Error.New("dialling %s: %w", at, err)
		}
	}
	w.mu.Lock()
	l, ok := w.listeners[at]
	w.mu.Unlock()
	if !ok {
		return nil, Error.New("dialling %s: %w", at, ErrRefused)
	}
	near, far := w.connect(from, to, at)
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	near.reset()
	return nil, Error.New("dialling %s: %w", at, ErrRefused)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// connect makes both ends of a connection.
func (w *World) connect(from, to, at string) (near, far *conn) {
	shared := &streams{kinds: make(map[uint64]messenger.Kind)}
	there := newFlow(w, pair{from, to}, shared)
	back := newFlow(w, pair{to, from}, shared)
	back.frames.back = true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextPort++
	source := address(net.JoinHostPort(from, strconv.Itoa(w.nextPort)))
	near = &conn{world: w, local: from, remote: to, here: source, there: address(at), in: back, out: there}
	far = &conn{world: w, local: to, remote: from, here: address(at), there: source, in: there, out: back}
	w.conns[near] = struct{}{}
	w.conns[far] = struct{}{}
	return near, far
}
