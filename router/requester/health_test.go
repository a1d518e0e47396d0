package requester_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/requester"
)

// coldCodec is a headerCodec with the time left.
type coldCodec struct{ headerCodec }

func (coldCodec) ParseHeader(_ int, header http.Header) requester.ResponseInfo {
	return requester.ResponseInfo{ColdLeft: requester.ParseMillis(header.Get("Cold"))}
}

func checkHealth(t *testing.T, address string, timeout time.Duration) (*time.Duration, error) {
	client := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: coldCodec{}})
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return client.CheckHealth(ctx, address, "/health", "s1")
}

// Guards against an answer that is taken for one that says that the server is warm.
func TestCheckHealth(t *testing.T) {
	left := func(millis int) *time.Duration {
		left := time.Duration(millis) * time.Millisecond
		return &left
	}
	tests := []struct {
		name     string
		response string
		want     *time.Duration
		failed   bool
	}{
		{name: "cold", response: "HTTP/1.1 200 OK\nCold: 1500\nContent-Length: 0\n\n", want: left(1500)},
		{name: "warm", response: "HTTP/1.1 200 OK\nCold: 0\nContent-Length: 2\n\nok", want: left(0)},
		{name: "body without an end", response: "HTTP/1.1 503 Full\nCold: 20\n\n", want: left(20)},
		{name: "silent", response: "HTTP/1.1 200 OK\nContent-Length: 0\n\n"},
		{name: "no number", response: "HTTP/1.1 200 OK\nCold: soon\nContent-Length: 0\n\n"},
		{name: "below 0", response: "HTTP/1.1 200 OK\nCold: -1\nContent-Length: 0\n\n"},
		{name: "too large", response: "HTTP/1.1 200 OK\nCold: 1e300\nContent-Length: 0\n\n"},
		{name: "not a number", response: "HTTP/1.1 200 OK\nCold: NaN\nContent-Length: 0\n\n"},
		{name: "no response", response: "x\n\n", failed: true},
	}
	for _, test := range tests {
		var got *http.Request
		address, _ := startServer(t, func(conn net.Conn, request *http.Request) {
			got = request
			respond(test.response)(conn, request)
		})
		coldLeft, err := checkHealth(t, address, time.Second)
		qt.Check(t, err != nil, qt.Equals, test.failed, qt.Commentf(test.name))
		qt.Check(t, coldLeft, qt.DeepEquals, test.want, qt.Commentf(test.name))
		qt.Check(t, got.Method+" "+got.URL.Path+" "+got.Header.Get("Server-Wanted"), qt.Equals, "GET /health s1", qt.Commentf(test.name))
	}
}

// Guards against a health check that never ends, or that a server makes arbitrarily large.
func TestHealthCheckIsBounded(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nA: "} {
		server, err := disrupter.ServeEndless(head, strings.Repeat("b", 100))
		qt.Assert(t, err, qt.IsNil)
		started := time.Now()
		_, err = checkHealth(t, server.Address(), 2*time.Second)
		qt.Check(t, err, qt.ErrorMatches, ".*exceeds a bound.*|.*malformed.*")
		qt.Check(t, time.Since(started) < time.Second, qt.IsTrue)
		server.Close()
	}
	address, _ := startServer(t, func(net.Conn, *http.Request) { time.Sleep(time.Second) })
	started := time.Now()
	_, err := checkHealth(t, address, 100*time.Millisecond)
	qt.Check(t, err, qt.Not(qt.IsNil))
	qt.Check(t, time.Since(started) < 500*time.Millisecond, qt.IsTrue)
}

// A server that is restarted closes its idle connections. Guards against a restart that
// nobody notices until the server announces itself.
func TestIdleConnectionClosedByServerIsReported(t *testing.T) {
	tests := []struct {
		name   string
		closes bool
		want   int64
	}{
		{name: "closed by the server", closes: true, want: 1},
		{name: "reused"},
	}
	for _, test := range tests {
		scripts := []script{respond(completeResponse), respond(completeResponse)}
		if test.closes {
			scripts[0] = func(conn net.Conn, request *http.Request) {
				respond(completeResponse)(conn, request)
				time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
			}
		}
		address, _ := startServer(t, scripts...)
		var broken atomic.Int64
		client := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: headerCodec{}, OnBroken: func() { broken.Add(1) }})
		for range 2 {
			result := client.Send(t.Context(), address, newServerRequest("1"), nil)
			qt.Assert(t, result.Err, qt.IsNil, qt.Commentf(test.name))
			buffer := make([]byte, 16)
			for {
				if _, err := result.Body.Read(buffer); err != nil {
					break
				}
			}
			_ = result.Body.Close()
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, broken.Load(), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
