package listener

import (
	"io"
	"time"

	"github.com/zeebo/errs"
)

// lingerTimeout is how long the rest of a request is read and discarded before its connection
// is closed. Closing a connection with unread bytes resets it, and the client may lose the
// response.
const lingerTimeout = 500 * time.Millisecond

// errEnded is the error of reads from a connection that serves no further request.
var errEnded = errs.New("connection serves no further request")

// end makes all reads fail, so that the rest of a request is not taken for another one. The
// response can still be written.
func (c *guardedConn) end() {
	c.ended.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements [net.Conn]. It has no effect after end.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	if c.ended.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements [net.Conn]. A connection with the rest of a request on it is closed once its
// client has closed it, or after lingerTimeout.
func (c *guardedConn) Close() error {
	if !c.ended.Load() || c.guard.cutting.Load() {
		return c.closeNow()
	}
	c.linger()
	return nil
}

// linger half-closes a connection whose response was written, and discards what arrives until it
// closes it. Calls after the first have no effect.
func (c *guardedConn) linger() {
	if !c.lingers.CompareAndSwap(false, true) {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		_ = c.closeNow()
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeNow()
	}()
}

func (c *guardedConn) closeNow() error {
	if c.account != nil {
		defer c.account.Close()
	}
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
