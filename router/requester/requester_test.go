package requester_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/requester"
)

// headerCodec is a minimal [requester.HeaderCodec].
type headerCodec struct{}

func (headerCodec) SetHeader(header http.Header, serverRequest *requester.ServerRequest) {
	header.Set("Server-Wanted", serverRequest.Server)
}

func (headerCodec) ParseHeader(status int, header http.Header) requester.ResponseInfo {
	return requester.ResponseInfo{ID: header.Get("Id"), NotExecuted: header.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

// script handles one request that the server read from conn.
type script func(conn net.Conn, request *http.Request)

// respond returns a script that reads the request body and sends responses, with \n
// replaced by CRLF.
func respond(responses ...string) script {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		for _, response := range responses {
			_, _ = io.WriteString(conn, strings.ReplaceAll(response, "\n", "\r\n"))
		}
	}
}

// startServer starts a server that handles one request with each of scripts, over as
// many connections as the client opens, and closes the connection after the last. It
// returns its address and a function that returns the number of connections so far.
func startServer(t *testing.T, scripts ...script) (string, func() int) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	accepted := make(chan int, 1)
	accepted <- 0
	go func() {
		next := 0
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			accepted <- <-accepted + 1
			reader := bufio.NewReader(conn)
			for next < len(scripts) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				next++
				scripts[next-1](conn, request)
			}
			_ = conn.Close()
		}
	}()
	return socket.Addr().String(), func() int {
		count := <-accepted
		accepted <- count
		return count
	}
}

func newClient() *requester.Client {
	client, _ := newCountedClient()
	return client
}

// newCountedClient also returns the metrics of the client.
func newCountedClient() (*requester.Client, *metrics.Set) {
	set := metrics.NewSet()
	return requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: headerCodec{}, Metrics: set}), set
}

func newServerRequest(id string) *requester.ServerRequest {
	return &requester.ServerRequest{
		Relay:    &messenger.Relay{ID: id, Method: "GET", Target: "/a/b?c=d", Host: "desk.example", Header: []messenger.Header{{Name: "Id", Values: []string{id}}}},
		Deadline: time.Now().Add(time.Second),
		Server:   "s1",
	}
}

const completeResponse = "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody"

func TestResponses(t *testing.T) {
	tests := []struct {
		name      string
		script    script
		want      messenger.Outcome
		reason    messenger.Reason
		body      string
		truncated bool
	}{
		{name: "whole", script: respond(completeResponse), want: messenger.OutcomeDone, body: "body"},
		{name: "chunked", script: respond("HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n"), want: messenger.OutcomeDone, body: "body"},
		{name: "body ends with the connection", script: respond("HTTP/1.1 200 OK\nId: 1\n\nbody"), want: messenger.OutcomeDone, body: "body"},
		{name: "informational first", script: respond("HTTP/1.1 103 Early Hints\n\n", completeResponse), want: messenger.OutcomeDone, body: "body"},
		{name: "late response to another request first", script: respond("HTTP/1.1 200 OK\nId: 0\nContent-Length: 5\n\nother", completeResponse), want: messenger.OutcomeDone, body: "body"},
		{name: "truncated body", script: respond("HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\nbody"), want: messenger.OutcomeDone, body: "body", truncated: true},
		{name: "truncated chunks", script: respond("HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n9\nbody"), want: messenger.OutcomeDone, body: "body", truncated: true},
		{name: "reset", script: func(conn net.Conn, _ *http.Request) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() }, want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "closed", script: respond(), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "not HTTP", script: respond("hello\n\n"), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "without an ID", script: respond("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), want: messenger.OutcomeUnknown, reason: messenger.ReasonTruncated},
		{name: "only a response to another request", script: respond("HTTP/1.1 200 OK\nId: 0\nContent-Length: 5\n\nother"), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "not run", script: respond("HTTP/1.1 503 Busy\nId: 1\nNot-Run: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeRefused, reason: messenger.ReasonShed},
		{name: "not the holder of the key", script: respond("HTTP/1.1 421 No\nId: 1\nNot-Run: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeRefused, reason: messenger.ReasonFence},
		{name: "failure without the not-run header", script: respond("HTTP/1.1 503 Busy\nId: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startServer(t, test.script)
			result := newClient().Send(t.Context(), address, newServerRequest("1"), nil)
			qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%v", result.Err))
			qt.Assert(t, result.Reason, qt.Equals, test.reason)
			qt.Assert(t, result.Sent, qt.IsTrue)
			if result.Body == nil {
				return
			}
			body, err := io.ReadAll(result.Body)
			qt.Check(t, string(body), qt.Equals, test.body)
			qt.Check(t, err != nil, qt.Equals, test.truncated, qt.Commentf("%v", err))
			qt.Check(t, result.Body.Close(), qt.IsNil)
		})
	}
}

func TestRequestToUnreachableServerIsRefused(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = socket.Close()
	result := newClient().Send(t.Context(), socket.Addr().String(), newServerRequest("1"), nil)
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Assert(t, result.Reason, qt.Equals, messenger.ReasonDown)
	qt.Assert(t, result.Sent, qt.IsFalse)
}

func TestConnectionsAreReusedOnlyWhenClean(t *testing.T) {
	tests := []struct {
		name  string
		first string
		want  int
	}{
		{name: "clean", first: completeResponse, want: 1},
		{name: "bytes after the response", first: completeResponse + "HTTP/1.1 200 OK\nId: 2\nContent-Length: 5\n\nfalse", want: 2},
		{name: "server closes", first: "HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 4\n\nbody", want: 2},
		{name: "idle timeout of zero", first: "HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=0\nContent-Length: 4\n\nbody", want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, connectionCount := startServer(t, respond(test.first), respond(strings.ReplaceAll(completeResponse, "Id: 1", "Id: 2")))
			c := newClient()
			for _, id := range []string{"1", "2"} {
				result := c.Send(t.Context(), address, newServerRequest(id), nil)
				qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%v", result.Err))
				body, err := io.ReadAll(result.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, "body")
				_ = result.Body.Close()
				time.Sleep(20 * time.Millisecond)
			}
			qt.Assert(t, connectionCount(), qt.Equals, test.want)
		})
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	type received struct{ line, host, wanted, body string }
	tests := []struct {
		name   string
		length int64
		body   string
	}{
		{name: "none"},
		{name: "short", length: 5, body: "short"},
		{name: "long", length: 100_000, body: strings.Repeat("0123456789", 10_000)},
		{name: "of unknown length", length: -1, body: strings.Repeat("0123456789", 10_000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := make(chan received, 1)
			address, _ := startServer(t, func(conn net.Conn, request *http.Request) {
				body, _ := io.ReadAll(request.Body)
				got <- received{request.Method + " " + request.RequestURI, request.Host, request.Header.Get("Server-Wanted"), string(body)}
				respond(completeResponse)(conn, request)
			})
			sent := newServerRequest("1")
			sent.Relay.Method, sent.Relay.Length = "POST", test.length
			result := newClient().Send(t.Context(), address, sent, strings.NewReader(test.body))
			qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%v", result.Err))
			_ = result.Body.Close()
			qt.Assert(t, <-got, qt.Equals, received{"POST /a/b?c=d", "desk.example", "s1", test.body})
		})
	}
}

// TestCanceledRequestClosesConnection checks that the connection is closed within a
// second after the caller canceled, so that the server can stop executing the request.
func TestCanceledRequestClosesConnection(t *testing.T) {
	ended := make(chan error, 1)
	address, _ := startServer(t, func(conn net.Conn, _ *http.Request) {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	result := newClient().Send(ctx, address, newServerRequest("1"), nil)
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
	qt.Assert(t, result.Reason, qt.Equals, messenger.ReasonCanceled)
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(time.Second):
		t.Fatal("connection was not closed within 1 s of the cancellation")
	}
}

func ExampleClient_Send() {
	result := newClient().Send(context.Background(), "127.0.0.1:1", newServerRequest("1"), nil)
	fmt.Println(result.Outcome, result.Reason)
	// Output: refused down
}

// TestOpenConnectionsAreCounted checks that a client knows whether a connection to the
// server is open, once a dial has been refused.
func TestOpenConnectionsAreCounted(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := socket.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "7")
	})}
	go func() { _ = server.Serve(socket) }()
	client := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: headerCodec{}})
	send := func() requester.Result {
		return client.Send(t.Context(), address, &requester.ServerRequest{Relay: &messenger.Relay{ID: "7", Method: "GET", Target: "/", Host: "h"}}, strings.NewReader(""))
	}
	qt.Check(t, client.IsConnected(), qt.IsFalse)
	result := send()
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone)
	qt.Check(t, client.IsConnected(), qt.IsTrue)
	_, _ = io.Copy(io.Discard, result.Body)
	_ = result.Body.Close()
	qt.Assert(t, server.Close(), qt.IsNil)
	qt.Check(t, client.IsConnected(), qt.IsFalse, qt.Commentf("idle connection that the server closed"))
	qt.Check(t, send().Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Check(t, client.IsConnected(), qt.IsFalse)
}

// respondExactly returns a script that reads the request body and sends response as it is.
func respondExactly(response string) script {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	}
}
