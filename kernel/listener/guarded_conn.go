package listener

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldhill/kernel/limiter"
)

// guardedConn is a connection that knows whether a request has begun to arrive on it.
type guardedConn struct {
	net.Conn
	guard      *Guard
	acceptedAt time.Time
	// account is what the connection takes of the budget; nil if there is none.
	account *limiter.Account

	mu sync.Mutex
	// isNew is set until the first byte arrives.
	isNew bool
	// waiting is set while the server waits for a request, and begunAt is when the last
	// one began to arrive.
	waiting bool
	begunAt time.Time
	// expired is set while a read is made to fail.
	expired bool
	// writeDeadline is the one that the server or a handler has set.
	writeDeadline time.Time

	// head accounts for the bytes that arrive. net/http goes on to read, one byte at a time,
	// while a handler runs.
	head headMeter
	// failure is the error of all further reads: net/http ignores that of some reads. Only
	// the goroutine that reads uses it.
	failure error
	// ended is set when the connection serves no further request, lingers while the rest of
	// its last one is discarded.
	ended, lingers atomic.Bool
}

func (c *guardedConn) setState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account != nil {
		c.account.Idle(c.head.nextRequest())
	}
	c.waiting = true
}

// Read implements [net.Conn].
func (c *guardedConn) Read(data []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	if c.ended.Load() {
		return 0, closedError(errEnded)
	}
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	if err := c.beginRequest(time.Now().Add(readHeaderTimeout)); err != nil {
		return n, err
	}
	if c.failure = c.receive(data[:n], len(data)); c.failure != nil {
		return 0, c.failure
	}
	return n, err
}

// beginRequest records that a request has begun to arrive, or that its handler starts: the
// server does not read a request that came along with the one before. readDeadline replaces
// the one of a connection that was to end.
func (c *guardedConn) beginRequest(readDeadline time.Time) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.begunAt = time.Now()
	}
	c.isNew, c.waiting = false, false
	if !c.expired {
		return nil
	}
	c.expired = false
	if err := c.SetReadDeadline(readDeadline); err != nil {
		return Error.New("extending the time of a read: %w", err)
	}
	return nil
}

// expire makes the server end the connection if no request has begun to arrive on it.
func (c *guardedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.ended.Load() || c.isNew && time.Since(c.acceptedAt) < firstRequestTimeout || hasArrived(c.Conn) {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// requestAge returns how long ago the request on the connection began to arrive, and false
// if there is none.
func (c *guardedConn) requestAge() (age time.Duration, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return 0, false
	}
	return time.Since(c.begunAt), true
}

// NetConn returns the connection that c wraps.
func (c *guardedConn) NetConn() net.Conn {
	return c.Conn
}

// hasArrived reports whether bytes wait to be read from a connection.
func hasArrived(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
