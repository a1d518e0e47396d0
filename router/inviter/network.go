package inviter

import (
	"context"
	"net"

	"marigoldhill/kernel/networker"
)

// Network is a network whose connections charge the bytes that they receive to a Link, those
// within the VM too: without them, so many large bodies are invited that the requests
// behind them miss their aims.
type Network struct {
	inner networker.Network
	link  *Link
}

var _ networker.Network = (*Network)(nil)

// NewNetwork returns a Network that wraps inner, or inner itself if link has no limit.
func NewNetwork(inner networker.Network, link *Link) networker.Network {
	if link.rate <= 0 {
		return inner
	}
	return &Network{inner: inner, link: link}
}

// Listen implements [networker.Network].
func (n *Network) Listen(address string) (net.Listener, error) {
	wrapped, err := n.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: wrapped, link: n.link}, nil
}

// Dial implements [networker.Network].
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	wrapped, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: wrapped, link: n.link}, nil
}

type listener struct {
	net.Listener
	link *Link
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	wrapped, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: wrapped, link: l.link}, nil
}

type conn struct {
	net.Conn
	link *Link
}

// Read implements [net.Conn].
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.link.Charge(c.link.Now(), int64(n))
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}
