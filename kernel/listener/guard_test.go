package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/networker"
)

// startGuarded starts a server on a Guard and returns its address and a function that
// stops it.
func startGuarded(t *testing.T, handler http.Handler) (string, func() error) {
	network := &listener.GuardNetwork{Network: networker.TCP{}}
	socket, err := network.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: network.Guard.Handler(handler), ConnState: network.Guard.ConnState, ConnContext: network.Guard.ConnContext, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String(), func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		return network.Guard.Stop(ctx, server)
	}
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
}

// readBody reads a response and returns its body.
func readBody(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var okHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

const wholeRequest = "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"

// Guards against requests that a planned stop cuts off while their header is being read.
func TestHalfReadRequestIsAnsweredDuringAStop(t *testing.T) {
	for _, reused := range []bool{false, true} {
		address, stop := startGuarded(t, okHandler)
		conn := dial(t, address)
		reader := bufio.NewReader(conn)
		if reused {
			write(t, conn, wholeRequest)
			_, err := readBody(reader)
			qt.Assert(t, err, qt.IsNil)
		}
		write(t, conn, wholeRequest[:20])
		time.Sleep(30 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		time.Sleep(100 * time.Millisecond)
		write(t, conn, wholeRequest[20:])
		body, err := readBody(reader)
		qt.Check(t, err, qt.IsNil, qt.Commentf("reused %t", reused))
		qt.Check(t, body, qt.Equals, "ok")
		qt.Check(t, <-stopped, qt.IsNil)
	}
}

// Guards against requests that a planned stop cuts off on connections that the kernel has
// accepted and the server has not.
func TestAcceptedConnectionsAreAnsweredDuringAStop(t *testing.T) {
	for range 10 {
		address, stop := startGuarded(t, okHandler)
		var conns []net.Conn
		for range 100 {
			conn := dial(t, address)
			write(t, conn, wholeRequest)
			conns = append(conns, conn)
		}
		qt.Assert(t, stop(), qt.IsNil)
		failed := 0
		for _, conn := range conns {
			if body, err := readBody(bufio.NewReader(conn)); err != nil || body != "ok" {
				failed++
			}
		}
		qt.Check(t, failed, qt.Equals, 0)
	}
}

// slowSocket is a listener of a process that rarely gets the processor: each Accept takes
// long.
type slowSocket struct {
	*net.TCPListener
	delay time.Duration
}

// Accept implements [net.Listener].
func (s slowSocket) Accept() (net.Conn, error) {
	time.Sleep(s.delay)
	return s.TCPListener.Accept()
}

// Guards against a bound in time on what is accepted during a stop: a busy machine cut off
// connections that were in the backlog.
func TestBacklogIsAcceptedHoweverLongItTakes(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	guard := listener.NewGuard(slowSocket{TCPListener: socket.(*net.TCPListener), delay: 30 * time.Millisecond}, listener.Options{})
	server := &http.Server{Handler: guard.Handler(okHandler), ConnState: guard.ConnState, ConnContext: guard.ConnContext}
	go func() { _ = server.Serve(guard) }()
	t.Cleanup(func() { _ = server.Close() })
	var conns []net.Conn
	for range 40 {
		conn := dial(t, socket.Addr().String())
		write(t, conn, wholeRequest)
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	qt.Assert(t, guard.Stop(ctx, server), qt.IsNil)
	for n, conn := range conns {
		body, err := readBody(bufio.NewReader(conn))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("connection %d", n))
		qt.Assert(t, body, qt.Equals, "ok")
	}
}

// Guards against a stop that never ends because callers go on connecting.
func TestStopEndsWhileCallersConnect(t *testing.T) {
	address, stop := startGuarded(t, okHandler)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	started := time.Now()
	for time.Since(started) < 2*time.Second {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	qt.Check(t, time.Since(started) < time.Second, qt.IsTrue, qt.Commentf("connections were accepted for %s", time.Since(started)))
	qt.Check(t, <-stopped, qt.IsNil)
}

// A connection on which nothing was asked does not delay a stop, and neither does one whose
// caller leaves in the middle of a header, or whose handler breaks its response off.
func TestStopClosesOtherConnections(t *testing.T) {
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	tests := []struct {
		name    string
		handler http.Handler
		act     func(conn net.Conn)
	}{
		{name: "idle", handler: okHandler, act: func(conn net.Conn) {
			write(t, conn, wholeRequest)
			_, _ = readBody(bufio.NewReader(conn))
		}},
		{name: "caller leaves", handler: okHandler, act: func(conn net.Conn) {
			write(t, conn, wholeRequest[:20])
			time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
		}},
		{name: "header does not go on", handler: okHandler, act: func(conn net.Conn) { write(t, conn, wholeRequest[:20]) }},
		{name: "response broken off", handler: abort, act: func(conn net.Conn) { write(t, conn, wholeRequest) }},
		{name: "not a request", handler: okHandler, act: func(conn net.Conn) { write(t, conn, "hello\r\n\r\nhello\r\n\r\n") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, stop := startGuarded(t, test.handler)
			conn := dial(t, address)
			test.act(conn)
			time.Sleep(30 * time.Millisecond)
			started := time.Now()
			qt.Check(t, stop(), qt.IsNil)
			qt.Check(t, time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
		})
	}
}

// Guards against stops that run out of time because a listener waits for connections on
// which nothing is asked.
func TestListenerDoesNotWaitForRequestsThatNeverCome(t *testing.T) {
	server, err := listener.Listen(networker.TCP{}, "127.0.0.1:0", okHandler, listener.Options{})
	qt.Assert(t, err, qt.IsNil)
	dial(t, strings.TrimPrefix(server.URL(), "http://"))
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	qt.Assert(t, server.Stop(ctx), qt.IsNil)
}

// Guards against a stop that takes a connection for idle while the next request, which came
// along with the one before, runs.
func TestPipelinedRequestIsAnsweredDuringAStop(t *testing.T) {
	runs := make(chan struct{}, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- struct{}{}
		if r.URL.Path == "/slow" {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, "ok")
	})
	address, stop := startGuarded(t, handler)
	conn := dial(t, address)
	write(t, conn, wholeRequest+strings.Replace(wholeRequest, "/", "/slow", 1))
	<-runs
	<-runs
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		body, err := readBody(reader)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "ok")
	}
	qt.Check(t, <-stopped, qt.IsNil)
}
