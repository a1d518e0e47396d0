package disrupter

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// thawPollInterval is the interval at which to check whether a VM is still frozen.
const thawPollInterval = 5 * time.Millisecond

// hostPort is a net.Addr of the in-memory network.
type hostPort string

func (h hostPort) Network() string { return "tcp" }
func (h hostPort) String() string  { return string(h) }

// listener is a net.Listener on an address of one VM.
type listener struct {
	simulatedNetwork *SimulatedNetwork
	node             string
	hostPort         string
	backlog          chan *conn
	done             chan struct{}
	closeOnce        sync.Once
}

func (s *SimulatedNetwork) listen(node, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, Error.New("listening on %q: %w", address, err)
	}
	if host != node {
		return nil, Error.New("listening on %q: not an address of %s", address, node)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if port == "0" {
		s.nextPort++
		address = net.JoinHostPort(host, strconv.Itoa(s.nextPort))
	}
	if _, taken := s.listeners[address]; taken {
		return nil, Error.New("listening on %q: address already in use", address)
	}
	opened := &listener{simulatedNetwork: s, node: node, hostPort: address, backlog: make(chan *conn, 128), done: make(chan struct{})}
	s.listeners[address] = opened
	return opened, nil
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
	l.simulatedNetwork.mu.Lock()
	if l.simulatedNetwork.listeners[l.hostPort] == l {
		delete(l.simulatedNetwork.listeners, l.hostPort)
	}
	l.simulatedNetwork.mu.Unlock()
	l.shutDown()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return hostPort(l.hostPort) }

func (l *listener) shutDown() {
	l.closeOnce.Do(func() { close(l.done) })
}

// dial opens a connection. If either direction is partitioned, it blocks until
// ctx is done, like a network that drops the packets of the TCP handshake.
func (s *SimulatedNetwork) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, Error.New("dialing %q: %w", address, err)
	}
	forwardDelay, forwardArrives := s.route(direction{from, to})
	returnDelay, returnArrives := s.route(direction{to, from})
	if !forwardArrives || !returnArrives {
		<-ctx.Done()
		return nil, Error.New("dialing %s: %w", address, context.Cause(ctx))
	}
	if err := sleep(ctx, forwardDelay+returnDelay); err != nil {
		return nil, Error.New("dialing %s: %w", address, err)
	}
	for s.isFrozen(direction{from, to}) {
		if err := sleep(ctx, thawPollInterval); err != nil {
			return nil, Error.New("dialing %s: %w", address, err)
		}
	}
	s.mu.Lock()
	target, ok := s.listeners[address]
	s.mu.Unlock()
	if !ok {
		return nil, Error.New("dialing %s: %w", address, ErrRefused)
	}
	client, server := s.connect(from, to, address)
	select {
	case target.backlog <- server:
		return client, nil
	case <-target.done:
	case <-ctx.Done():
	}
	client.reset()
	return nil, Error.New("dialing %s: %w", address, ErrRefused)
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

// connect creates both ends of a connection.
func (s *SimulatedNetwork) connect(from, to, address string) (client, server *conn) {
	shared := &streamKinds{kinds: make(map[uint64]messenger.Kind)}
	there := newFlow(s, direction{from, to}, shared)
	reverse := newFlow(s, direction{to, from}, shared)
	reverse.frameInspector.reverse = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextPort++
	source := hostPort(net.JoinHostPort(from, strconv.Itoa(s.nextPort)))
	client = &conn{simulatedNetwork: s, localNode: from, remoteNode: to, here: source, there: hostPort(address), in: reverse, out: there}
	server = &conn{simulatedNetwork: s, localNode: to, remoteNode: from, here: hostPort(address), there: source, in: there, out: reverse}
	s.conns[client] = struct{}{}
	s.conns[server] = struct{}{}
	return client, server
}
