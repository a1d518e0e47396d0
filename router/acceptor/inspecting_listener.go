package acceptor

import (
	"net"

	"marigoldhill/kernel/messenger"
)

// inspectingListener wraps a listener. The bytes read from its connections pass through
// an inspector.
type inspectingListener struct {
	net.Listener
	counters *counters
}

// Accept implements net.Listener.
func (l *inspectingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectingConn{Conn: conn, counters: l.counters}, nil
}

type inspectingConn struct {
	net.Conn
	counters  *counters
	inspector inspector
	failure   error
}

// Read implements net.Conn. net/http responds to an error of the inspector with
// status 400.
func (c *inspectingConn) Read(data []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.Conn.Read(data)
	passed, failure := c.inspector.inspect(data[:n])
	if failure != nil {
		c.failure = failure
		c.counters.count(messenger.OutcomeRefused, messenger.ReasonMalformed)
		return passed, failure
	}
	return n, err
}

// CloseWrite is used by net/http to close a connection without discarding a response
// that is still being sent.
func (c *inspectingConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *inspectingConn) NetConn() net.Conn {
	return c.Conn
}
