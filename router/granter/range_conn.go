package granter

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// rangeConn is a connection that is counted until it is closed.
type rangeConn struct {
	net.Conn
	open      *atomic.Int64
	closeOnce sync.Once
	// mu is held by the call that uses the connection until it has judged the response:
	// the transport offers the connection to the next call before.
	mu sync.Mutex
	// handovers are the tokens of the responses so far.
	handovers map[string]bool
}

// maxHandovers is how many releases a connection carries at most, which bounds
// rangeConn.handovers.
const maxHandovers = 64

// Close implements [net.Conn].
func (c *rangeConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// addHandover reports whether the response with a token cannot be a copy of an earlier one.
func (c *rangeConn) addHandover(token string) bool {
	if token == "" || c.handovers[token] {
		return false
	}
	c.handovers[token] = true
	return true
}

// usedConn is the connection of a call. Its done must be called at the end of the call.
type usedConn struct {
	conn *rangeConn
	// reused is set if the connection has carried other calls before.
	reused bool
}

// trace returns a context for a call that sets the connection.
func (u *usedConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.done() // of an attempt that the transport repeats
		if conn, ok := info.Conn.(*rangeConn); ok {
			conn.mu.Lock()
			u.conn, u.reused = conn, info.Reused
		}
	}})
}

// done leaves the connection to the next call.
func (u *usedConn) done() {
	if u.conn != nil {
		u.conn.mu.Unlock()
		u.conn = nil
	}
}

// close closes the connection, so that it carries no further calls.
func (u *usedConn) close() {
	if u.conn != nil {
		_ = u.conn.Close()
	}
}
