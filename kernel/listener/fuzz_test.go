package listener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/limiter"
)

// fuzzSocket is a listener with one connection.
type fuzzSocket struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements [net.Listener].
func (s fuzzSocket) Accept() (net.Conn, error) {
	conn, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements [net.Listener].
func (s fuzzSocket) Close() error { return nil }

// Addr implements [net.Listener].
func (s fuzzSocket) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzHeads checks that each request that reaches a handler was accounted for while it
// arrived, whatever came before it on the connection, and that nothing is left afterwards.
func FuzzHeads(f *testing.F) {
	odd := strings.Repeat("a:\n", 1500)
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n" + odd + "\r\n",
		"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\nHost: a\n" + odd + "\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\nHost: a\r\n" + odd + "\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + odd + "\r\n",
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + odd + "\r\n",
		"\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\te\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nPragma: no-cache\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nB : c\r\n\r\n",
		"GET /%41 HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(len(seed)))
		f.Add([]byte(seed), uint16(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, split uint16) {
		budget := limiter.New("callers", limiter.Limits{Bytes: 1 << 40, Connections: 4}, limiter.Options{})
		socket := fuzzSocket{conns: make(chan net.Conn, 1)}
		guard := NewGuard(socket, Options{Budget: budget, BodyCost: 0})
		handler := guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// net/http adds a Cache-Control to a Pragma.
				added := limiter.HeadCost(len("Cache-Control: no-cache"), 1)
				used, _ := budget.Used()
				if charged, cost := used-limiter.ConnectionCost, headCost(r); charged+added < cost {
					t.Errorf("head of cost %d was charged %d", cost, charged)
				}
				handler.ServeHTTP(w, r)
			}),
			ConnState: guard.ConnState, ConnContext: guard.ConnContext, ReadHeaderTimeout: time.Second,
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(guard)
		}()
		local, remote := net.Pipe()
		socket.conns <- remote
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			_, _ = io.Copy(io.Discard, local)
		}()
		_ = local.SetWriteDeadline(time.Now().Add(2 * time.Second))
		first := min(int(split), len(data))
		if _, err := local.Write(data[:first]); err == nil {
			_, _ = local.Write(data[first:])
		}
		_ = local.Close()
		<-drained
		close(socket.conns)
		<-done
		for range 200 {
			if used, _ := budget.Used(); used == 0 {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		used, open := budget.Used()
		qt.Assert(t, used, qt.Equals, int64(0), qt.Commentf("%d connections", open))
	})
}
