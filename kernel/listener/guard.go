package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marigoldhill/kernel/networker"
)

const (
	// backlogTimeout is how long a closing Guard waits for each connection that the kernel
	// has accepted already, backlogAttempts how often it does: on a busy machine the time
	// may pass before the first look. Both apply if the socket cannot tell whether a
	// connection waits.
	backlogTimeout  = 10 * time.Millisecond
	backlogAttempts = 5
	// waitingTimeout limits one attempt to accept a connection that waits, in case its
	// caller resets it first.
	waitingTimeout = time.Second
	// maxBacklog is how many connections a closing Guard accepts at most. It must end while
	// callers go on connecting, and covers the longest backlog of the kernel by default.
	maxBacklog = 4096
	// firstRequestTimeout is how long a new connection may take to send its first byte
	// during a stop.
	firstRequestTimeout = 300 * time.Millisecond
	// stopPollInterval is the time between two looks for connections without a request.
	stopPollInterval = 5 * time.Millisecond
)

// Guard is a listener for an [http.Server] that is stopped under load. Shutdown of that
// server drops a request whose header it has not finished reading, and connections that
// wait in the backlog. [Guard.Stop] accepts these, lets every request that has begun to
// arrive get its response, and ends connections without one.
//
// A Guard also keeps what its clients take within a [limiter.Budget]; see [Options]. A response
// may begin, or end, before the body of its request was read.
//
// # Usage
//
//	guard := listener.NewGuard(socket, listener.Options{Budget: budget})
//	server := &http.Server{Handler: guard.Handler(handler), ConnState: guard.ConnState, ConnContext: guard.ConnContext}
//	go server.Serve(guard)
//	...
//	err := guard.Stop(ctx, server)
type Guard struct {
	net.Listener
	options Options
	leaving atomic.Bool
	// cutting is set when connections are closed whatever is on them.
	cutting atomic.Bool
	// drained is closed when no more connections are accepted.
	drained   chan struct{}
	closeOnce sync.Once
	// acceptedLate counts the connections that were accepted since leaving was set. Only
	// Accept uses it.
	acceptedLate int

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
}

// GuardNetwork is a network whose listeners are Guards.
type GuardNetwork struct {
	networker.Network
	// Options are those of the Guards.
	Options Options
	// Guard is the Guard of the last call of Listen.
	Guard *Guard
}

// Listen implements [networker.Network].
func (n *GuardNetwork) Listen(address string) (net.Listener, error) {
	socket, err := n.Network.Listen(address)
	if err != nil {
		return nil, Error.New("listening: %w", err)
	}
	n.Guard = NewGuard(socket, n.Options)
	return n.Guard, nil
}

// NewGuard returns a Guard of socket.
func NewGuard(socket net.Listener, options Options) *Guard {
	return &Guard{Listener: socket, options: options, drained: make(chan struct{}), conns: make(map[*guardedConn]struct{})}
}

// Handler returns a handler whose responses end their connection during a stop. Until handler
// returns, it is the only reader of the body of its request; see requestBody.
func (g *Guard) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		conn, _ := r.Context().Value(connKey{}).(*guardedConn)
		_ = conn.beginRequest(time.Time{})
		r, body := conn.takeBody(w, r)
		defer body.release()
		if err := conn.serve(r); err != nil {
			refuse(w, err)
		} else {
			handler.ServeHTTP(w, r)
		}
		body.drain(w)
	})
}

// CutError is the error of a stop that closed connections with requests on them.
type CutError struct {
	// Connections is the number of connections that were closed.
	Connections int
	// Requests is how many of them had begun to send a request, and Oldest how long ago
	// the first of these did.
	Requests int
	Oldest   time.Duration
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d connections closed, %d with a request, the oldest of which began %s before", e.Connections, e.Requests, e.Oldest)
}

// Stop stops server, which must use the Handler, the ConnState and the ConnContext of the
// Guard. When ctx is done first, it closes the connections that are left and returns an
// error that wraps a [CutError].
func (g *Guard) Stop(ctx context.Context, server *http.Server) error {
	g.leaving.Store(true)
	g.wakeAccept()
	select {
	case <-g.drained:
	case <-ctx.Done():
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for open := g.expireWaiting(); open > 0; open = g.expireWaiting() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			cut := g.countOpen()
			g.cutting.Store(true)
			_ = server.Close()
			return Error.New("waiting for connections: %w: %w", cut, ctx.Err())
		}
	}
	if err := server.Shutdown(ctx); err != nil {
		g.cutting.Store(true)
		_ = server.Close()
		return Error.New("shutting the server down: %w", err)
	}
	return nil
}

// deadliner is a listener whose Accept can time out.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// wakeAccept makes an Accept that waits return, or closes the listener if that is not
// possible.
func (g *Guard) wakeAccept() {
	socket, ok := g.Listener.(deadliner)
	if !ok || socket.SetDeadline(time.Unix(1, 0)) != nil {
		_ = g.Close()
	}
}

// acceptBacklog accepts a connection that waits, or closes the listener if there is none.
func (g *Guard) acceptBacklog() (net.Conn, error) {
	socket, ok := g.Listener.(deadliner)
	if !ok || g.acceptedLate >= maxBacklog {
		return nil, g.closeDrained()
	}
	for attempts := 0; attempts < backlogAttempts; {
		waits, known := connectionWaits(g.Listener)
		timeout := backlogTimeout
		switch {
		case !known:
			attempts++
		case !waits:
			return nil, g.closeDrained()
		default:
			timeout = waitingTimeout
		}
		if err := socket.SetDeadline(time.Now().Add(timeout)); err != nil {
			return nil, g.closeDrained()
		}
		conn, err := g.Listener.Accept()
		if err == nil {
			g.acceptedLate++
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
	return nil, g.closeDrained()
}

// closeDrained closes the listener and returns the error that ends the server.
func (g *Guard) closeDrained() error {
	_ = g.Close()
	return net.ErrClosed
}

// connectionWaits reports whether a connection waits to be accepted, and false if that is
// not known.
func connectionWaits(socket net.Listener) (waits, known bool) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		_, pollErr := unix.Poll(polled, 0)
		waits, known = polled[0].Revents&unix.POLLIN != 0, pollErr == nil
	})
	return waits, known && err == nil
}

// expireWaiting ends the connections on which no request has begun to arrive, and returns
// how many connections are open.
func (g *Guard) expireWaiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		conn.expire()
	}
	return len(g.conns)
}

// countOpen returns what closing all connections now would cut off.
func (g *Guard) countOpen() *CutError {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := &CutError{Connections: len(g.conns)}
	for conn := range g.conns {
		if age, begun := conn.requestAge(); begun {
			cut.Requests++
			cut.Oldest = max(cut.Oldest, age)
		}
	}
	return cut
}

// Accept implements [net.Listener].
func (g *Guard) Accept() (net.Conn, error) {
	for {
		conn, err := g.acceptAny()
		if err != nil {
			return nil, err
		}
		guarded, err := g.guard(conn)
		if err == nil {
			return guarded, nil
		}
		_ = conn.Close()
	}
}

// guard returns the guardedConn of a new connection, or an error if there is no room for it.
func (g *Guard) guard(conn net.Conn) (*guardedConn, error) {
	guarded := &guardedConn{Conn: conn, guard: g, acceptedAt: time.Now(), isNew: true, waiting: true}
	if g.options.Budget != nil {
		account, err := g.options.Budget.Open(func() { _ = conn.Close() })
		if err != nil {
			return nil, Error.New("accepting a connection: %w", err)
		}
		guarded.account = account
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[guarded] = struct{}{}
	return guarded, nil
}

// acceptAny accepts the next connection, one of the backlog during a stop.
func (g *Guard) acceptAny() (net.Conn, error) {
	var conn net.Conn
	err := os.ErrDeadlineExceeded
	if !g.leaving.Load() {
		conn, err = g.Listener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn, err = g.acceptBacklog()
	}
	return conn, err
}

// Close implements [net.Listener]. Closing again has no effect.
func (g *Guard) Close() error {
	g.closeOnce.Do(func() { close(g.drained) })
	if err := g.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return Error.New("closing the listener: %w", err)
	}
	return nil
}

// ConnState is the hook of the server for states of connections.
func (g *Guard) ConnState(conn net.Conn, state http.ConnState) {
	if guarded := unwrap(conn); guarded != nil {
		guarded.setState(state)
	}
}

// connKey is the key of the guardedConn in the context of its requests.
type connKey struct{}

// ConnContext is the hook of the server for contexts of connections.
func (g *Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

// unwrap returns the guardedConn that conn wraps, or nil.
func unwrap(conn net.Conn) *guardedConn {
	for {
		if guarded, ok := conn.(*guardedConn); ok {
			return guarded
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}
