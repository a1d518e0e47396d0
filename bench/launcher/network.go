package launcher

import (
	"context"
	"net"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// errKilled is returned by the network of a process that has been killed.
var errKilled = errs.New("the process has been killed")

// killableNetwork is the network of one process. When the process is killed, all its
// connections and listeners are closed and no new ones can be opened, so that nothing
// that the process does afterwards is visible to others.
type killableNetwork struct {
	inner networker.Network

	mutex     sync.Mutex
	killed    bool
	conns     map[*trackedConn]struct{}
	listeners map[net.Listener]struct{}
}

func newKillableNetwork(inner networker.Network) *killableNetwork {
	return &killableNetwork{
		inner:     inner,
		conns:     make(map[*trackedConn]struct{}),
		listeners: make(map[net.Listener]struct{}),
	}
}

// Listen implements networker.Network.
func (n *killableNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.inner.Listen(address)
	if err != nil {
		return nil, Error.New("listening: %w", err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.killed {
		_ = listener.Close()
		return nil, Error.New("listening: %w", errKilled)
	}
	n.listeners[listener] = struct{}{}
	return trackedListener{Listener: listener, network: n}, nil
}

// Dial implements networker.Network.
func (n *killableNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, Error.New("dialing: %w", err)
	}
	return n.track(conn)
}

func (n *killableNetwork) track(conn net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: conn, network: n}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.killed {
		_ = conn.Close()
		return nil, Error.New("connecting: %w", errKilled)
	}
	n.conns[tracked] = struct{}{}
	return tracked, nil
}

// kill closes all listeners and connections and prevents new ones.
func (n *killableNetwork) kill() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.killed = true
	for listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.conns {
		_ = conn.Conn.Close()
	}
}

// trackedListener accepts connections as trackedConn.
type trackedListener struct {
	net.Listener
	network *killableNetwork
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

// trackedConn is a connection that its network closes on kill, unless it was closed
// before.
type trackedConn struct {
	net.Conn
	network *killableNetwork
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mutex.Lock()
	delete(c.network.conns, c)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}
