package launcher

import (
	"context"
	"net"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// errDown says that the process of a network has been killed.
var errDown = errs.New("the process has been killed")

// faultyNetwork is the network of one process, which ends with the process when
// it is killed, so that nothing that the process still does can be seen.
type faultyNetwork struct {
	inner networker.Network

	mutex     sync.Mutex
	down      bool
	conns     map[*trackedConn]struct{}
	listeners map[net.Listener]struct{}
}

func newFaultyNetwork(inner networker.Network) *faultyNetwork {
	return &faultyNetwork{
		inner:     inner,
		conns:     make(map[*trackedConn]struct{}),
		listeners: make(map[net.Listener]struct{}),
	}
}

// Listen implements networker.Network.
func (n *faultyNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.inner.Listen(address)
	if err != nil {
		return nil, Error.New("listening: %w", err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.down {
		_ = listener.Close()
		return nil, Error.New("listening: %w", errDown)
	}
	n.listeners[listener] = struct{}{}
	return trackedListener{Listener: listener, network: n}, nil
}

// Dial implements networker.Network.
func (n *faultyNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, Error.New("dialling: %w", err)
	}
	return n.track(conn)
}

func (n *faultyNetwork) track(conn net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: conn, network: n}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.down {
		_ = conn.Close()
		return nil, Error.New("connecting: %w", errDown)
	}
	n.conns[tracked] = struct{}{}
	return tracked, nil
}

// kill closes everything and lets nothing be opened any more.
func (n *faultyNetwork) kill() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down = true
	for listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.conns {
		_ = conn.Conn.Close()
	}
}

// trackedListener hands out tracked connections.
type trackedListener struct {
	net.Listener
	network *faultyNetwork
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(conn)
}

// Close implements net.Listener.
func (l trackedListener) Close() error {
	l.network.mutex.Lock()
	delete(l.network.listeners, l.Listener)
	l.network.mutex.Unlock()
	return l.Listener.Close()
}

// trackedConn forgets itself when it is closed.
type trackedConn struct {
	net.Conn
	network *faultyNetwork
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mutex.Lock()
	delete(c.network.conns, c)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}
