package dispatcher

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/zeebo/errs"
)

// errSealed ends writes on a connection whose request was given up.
var errSealed = errs.New("connection is sealed")

// watched is a connection that knows whether bytes were written since a request
// took it. HTTP/1.1 gives a connection to one request at a time.
type watched struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write notes the attempt before it writes, so that a byte that may have left
// is never missed.
func (w *watched) Write(data []byte) (int, error) {
	w.mu.Lock()
	if w.sealed {
		w.mu.Unlock()
		return 0, Error.New("writing: %w", errSealed)
	}
	w.written = true
	w.mu.Unlock()
	return w.Conn.Write(data)
}

// begin starts the watch for one request.
func (w *watched) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = false
}

// seal lets no more bytes out and reports whether any left since begin.
func (w *watched) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	return w.written
}

// usage is the connections that one request was given.
type usage struct {
	mu    sync.Mutex
	conns []*watched
	ended bool
}

// add is called by the HTTP client for each connection, before it is used.
func (u *usage) add(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*watched)
	if !ok {
		return
	}
	conn.begin()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, conn)
	if u.ended {
		conn.seal()
	}
}

// seal gives the request up and reports whether a byte of it may have left.
func (u *usage) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	left := false
	for _, conn := range u.conns {
		left = conn.seal() || left
	}
	return left
}
