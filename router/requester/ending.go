package requester

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// errReset is the read error of a body that ends with its connection, if that was reset.
var errReset = errors.New("connection reset before the end of the body")

// tcpCloseWait is the state of a connection whose peer has closed its side, TCP_CLOSE_WAIT
// of Linux.
const tcpCloseWait = 8

// endedInOrder reports whether the server closed the connection, after the end of its stream
// was read. The read alone does not tell: the error of a reset is reported once, and a write
// of the request body may have got it.
func (c *conn) endedInOrder() bool {
	if state, ok := c.tcpState(); ok {
		return state == tcpCloseWait
	}
	return c.isSent()
}

// tcpState returns the state of the TCP connection, and false if it is not known.
func (c *conn) tcpState() (state uint8, ok bool) {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.SOL_TCP, unix.TCP_INFO)
	})
	// A closed descriptor is not a closed connection of the server.
	if err != nil || infoErr != nil || info.State == 0 {
		return 0, false
	}
	return info.State, true
}
