package disrupter

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	simulatedNetwork *SimulatedNetwork
	localNode        string
	remoteNode       string
	here             net.Addr // local address
	there            net.Addr // remote address
	in               *flow
	out              *flow
	closeOnce        sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) { return c.in.read(data) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.out.closeWrite(io.EOF)
		c.in.abort(net.ErrClosed)
		c.simulatedNetwork.removeConn(c)
	})
	return nil
}

// reset aborts both directions at once.
func (c *conn) reset() {
	c.closeOnce.Do(func() {
		c.out.abort(ErrReset)
		c.in.abort(ErrReset)
		c.simulatedNetwork.removeConn(c)
	})
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.here }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.there }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	c.out.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.writeDeadline.set(t)
	return nil
}

// deadline is a deadline that can be used in a select statement.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline {
	return &deadline{expired: make(chan struct{})}
}

// set changes the deadline; the zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		// The timer has fired. Its function may not have closed the channel yet.
		<-d.expired
	}
	d.timer = nil
	closed := isClosed(d.expired)
	if t.IsZero() || time.Until(t) > 0 {
		if closed {
			d.expired = make(chan struct{})
		}
		if !t.IsZero() {
			expired := d.expired
			d.timer = time.AfterFunc(time.Until(t), func() { close(expired) })
		}
		return
	}
	if !closed {
		close(d.expired)
	}
}

// wait returns a channel that is closed once the deadline has passed.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// errTimeout is returned by reads and writes after their deadline.
var errTimeout = os.ErrDeadlineExceeded
