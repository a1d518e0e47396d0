package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/executor"
	"marigoldhill/router/relayer"
)

// brokenBody is the body of a response that breaks off because of cause.
func brokenBody(cause error) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(cause)))
}

type relayFunc func() relayer.Answer

func (f relayFunc) Serve(context.Context, *relayer.Call) relayer.Answer { return f() }

var (
	errReset     = errors.New("connection reset")
	errLinkEnded = fmt.Errorf("link ended: %w", io.EOF)
)

// startRouted starts the interface for callers in routed mode and returns its address.
func startRouted(t *testing.T, answer func() relayer.Answer) string {
	network := &listener.GuardNetwork{Network: networker.TCP{}}
	socket, err := network.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: network.Guard.Handler(acceptor.Routed("r1", relayFunc(answer))), ConnState: network.Guard.ConnState}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

// Guards against a response that breaks off halfway and reaches its caller as a complete
// one. Where its end is the end of the connection, only a reset tells them apart.
func TestBrokenResponseIsNotComplete(t *testing.T) {
	sharded := func(length int64, cause error) string {
		f := newFixture(t, true)
		t.Cleanup(func() { _ = f.acceptor.Stop(context.Background()) })
		f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
			answer := doneAnswer("", nil)
			answer.Response.Length, answer.Body = length, brokenBody(cause)
			return answer
		}
		return f.acceptor.Address()
	}
	routed := func(length int64, cause error) string {
		return startRouted(t, func() relayer.Answer {
			return relayer.Answer{Outcome: messenger.OutcomeDone, Status: http.StatusOK, Length: length, Body: brokenBody(cause)}
		})
	}
	for _, mode := range []struct {
		name  string
		start func(length int64, cause error) string
	}{{"sharded", sharded}, {"routed", routed}} {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, broken := range []struct {
				length int64
				cause  error
			}{{-1, errReset}, {100, errReset}, {-1, errLinkEnded}, {100, errLinkEnded}} {
				comment := qt.Commentf("%s, %s, %+v", mode.name, protocol, broken)
				conn, err := net.Dial("tcp", mode.start(broken.length, broken.cause))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				_, err = io.WriteString(conn, "GET /v1/findings/door-1/x "+protocol+"\r\nHost: desk\r\n\r\n")
				qt.Assert(t, err, qt.IsNil)
				data, err := io.ReadAll(conn)
				text := string(data)
				framed := strings.Contains(text, "Content-Length: 100") || strings.Contains(text, "Transfer-Encoding: chunked") && !strings.HasSuffix(text, "0\r\n\r\n")
				qt.Check(t, err != nil || framed || text == "", qt.IsTrue, qt.Commentf("%s: %q, %v", comment, text, err))
				_ = conn.Close()
			}
		}
	}
}
