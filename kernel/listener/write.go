package listener

import (
	"errors"
	"os"
	"time"
)

const (
	// stallTimeout is how long a client may take to receive up to stallBytes of an answer.
	// Until then it keeps its request, and with it a slot of the backend server.
	stallTimeout = 10 * time.Second
	stallBytes   = 64 << 10
	// reasonStalled is the reason for closing a connection whose client does not read.
	reasonStalled = "stalled"
)

// SetDeadline implements [net.Conn].
func (c *guardedConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetWriteDeadline implements [net.Conn].
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write implements [net.Conn]. It fails when the client receives nothing for stallTimeout.
func (c *guardedConn) Write(data []byte) (int, error) {
	if c.account == nil {
		return c.Conn.Write(data)
	}
	c.account.SetBlocked(true)
	defer c.account.SetBlocked(false)
	written := 0
	for {
		part := data[written:min(written+stallBytes, len(data))]
		if err := c.Conn.SetWriteDeadline(c.stallDeadline()); err != nil {
			return written, Error.New("limiting the time of a write: %w", err)
		}
		n, err := c.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.account.Report(reasonStalled)
		}
		if err != nil || written == len(data) {
			return written, err
		}
		c.account.SetBlocked(true)
	}
}

// stallDeadline returns when a write that begins now must have ended.
func (c *guardedConn) stallDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(stallTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		return c.writeDeadline
	}
	return deadline
}
