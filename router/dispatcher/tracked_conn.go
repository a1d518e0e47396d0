package dispatcher

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/zeebo/errs"
)

// errBlocked is returned by writes to a connection whose request has failed.
var errBlocked = errs.New("writes are blocked since the request has failed")

// trackedConn is a connection that tracks whether bytes were written since its
// current request took it. With HTTP/1.1 a connection serves one request at a time.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	blocked bool
}

// Write implements io.Writer. It sets written before the write, so that a byte that
// may have been sent is never missed.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, Error.New("writing: %w", errBlocked)
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// reset starts the tracking for the next request.
func (c *trackedConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// blockWrites makes further writes fail and reports whether bytes may have been
// written since reset.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.written
}

// usedConns are the connections that one request was given.
type usedConns struct {
	mu      sync.Mutex
	conns   []*trackedConn
	blocked bool
}

// add is called by the HTTP client for each connection, before it is used.
func (u *usedConns) add(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	conn.reset()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, conn)
	if u.blocked {
		conn.blockWrites()
	}
}

// blockWrites makes further writes of the request fail and reports whether any byte
// of it may have been written.
func (u *usedConns) blockWrites() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.blocked = true
	written := false
	for _, conn := range u.conns {
		written = conn.blockWrites() || written
	}
	return written
}

// close closes the connections of the request.
func (u *usedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}
