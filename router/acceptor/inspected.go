package acceptor

import (
	"net"

	"marigoldhill/kernel/messenger"
)

// inspected is a listener whose connections pass an inspector.
type inspected struct {
	net.Listener
	counters *counters
}

// Accept implements net.Listener.
func (l *inspected) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectedConn{Conn: conn, counters: l.counters}, nil
}

type inspectedConn struct {
	net.Conn
	counters  *counters
	inspector inspector
	failure   error
}

// Read implements net.Conn. net/http answers its error with status 400.
func (c *inspectedConn) Read(data []byte) (int, error) {
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

// CloseWrite lets net/http end a connection without cutting off its answer.
func (c *inspectedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
