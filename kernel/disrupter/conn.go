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
	world  *World
	local  string
	remote string
	here   net.Addr
	there  net.Addr
	in     *flow
	out    *flow
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) { return c.in.read(data) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.end(io.EOF)
		c.in.abandon(net.ErrClosed)
		c.world.forget(c)
	})
	return nil
}

// reset ends both directions at once.
func (c *conn) reset() {
	c.once.Do(func() {
		c.out.abandon(ErrReset)
		c.in.abandon(ErrReset)
		c.world.forget(c)
	})
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.here }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.there }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.readLimit.set(t)
	c.out.writeLimit.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.readLimit.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.writeLimit.set(t)
	return nil
}

// limit is a deadline that can be waited for.
type limit struct {
	mu     sync.Mutex
	timer  *time.Timer
	passed chan struct{}
}

func newLimit() *limit {
	return &limit{passed: make(chan struct{})}
}

// set moves the deadline; the zero time removes it.
func (l *limit) set(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil && !l.timer.Stop() {
		<-l.passed
	}
	l.timer = nil
	closed := isClosed(l.passed)
	if t.IsZero() || time.Until(t) > 0 {
		if closed {
			l.passed = make(chan struct{})
		}
		if !t.IsZero() {
			passed := l.passed
			l.timer = time.AfterFunc(time.Until(t), func() { close(passed) })
		}
		return
	}
	if !closed {
		close(l.passed)
	}
}

// wait returns a channel that is closed once the deadline has passed.
func (l *limit) wait() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// errTimeout is what net.Conn returns after a deadline.
var errTimeout = os.ErrDeadlineExceeded
