package courier_test

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
	"marigoldhill/router/courier"
)

// dialect names headers as simply as can be.
type dialect struct{}

func (dialect) Label(header http.Header, order *courier.Order) {
	header.Set("Server-Wanted", order.Server)
}

func (dialect) Read(status int, header http.Header) courier.Told {
	return courier.Told{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Misplaced: status == http.StatusMisdirectedRequest}
}

// script is what a server does with the requests of a connection, one entry
// each; after the last it closes the connection.
type script func(conn net.Conn, request *http.Request)

func text(answers ...string) script {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		for _, answer := range answers {
			_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "\n", "\r\n"))
		}
	}
}

// serve plays scripts and counts connections.
func serve(t *testing.T, scripts ...script) (string, func() int) {
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

func newCourier() *courier.Courier {
	return courier.New(courier.Options{Network: networker.TCP{}, Dialect: dialect{}, Metrics: metrics.NewSet()})
}

func order(id string) *courier.Order {
	return &courier.Order{
		Relay:    &messenger.Relay{ID: id, Method: "GET", Target: "/a/b?c=d", Host: "desk.example", Header: []messenger.Header{{Name: "Id", Values: []string{id}}}},
		Deadline: time.Now().Add(time.Second),
		Server:   "s1",
	}
}

const whole = "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody"

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		script script
		want   messenger.Outcome
		reason messenger.Reason
		body   string
		broken bool
	}{
		{name: "whole", script: text(whole), want: messenger.OutcomeDone, body: "body"},
		{name: "chunked", script: text("HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n"), want: messenger.OutcomeDone, body: "body"},
		{name: "ends with its connection", script: text("HTTP/1.1 200 OK\nId: 1\n\nbody"), want: messenger.OutcomeDone, body: "body"},
		{name: "informational first", script: text("HTTP/1.1 103 Early Hints\n\n", whole), want: messenger.OutcomeDone, body: "body"},
		{name: "late answer to another request first", script: text("HTTP/1.1 200 OK\nId: 0\nContent-Length: 5\n\nother", whole), want: messenger.OutcomeDone, body: "body"},
		{name: "cut short", script: text("HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\nbody"), want: messenger.OutcomeDone, body: "body", broken: true},
		{name: "chunks cut short", script: text("HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n9\nbody"), want: messenger.OutcomeDone, body: "body", broken: true},
		{name: "reset", script: func(conn net.Conn, _ *http.Request) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() }, want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "closed", script: text(), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "no HTTP", script: text("hello\n\n"), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "without an id", script: text("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), want: messenger.OutcomeUnknown, reason: messenger.ReasonTruncated},
		{name: "only another answer", script: text("HTTP/1.1 200 OK\nId: 0\nContent-Length: 5\n\nother"), want: messenger.OutcomeUnknown, reason: messenger.ReasonCrashed},
		{name: "not run", script: text("HTTP/1.1 503 Busy\nId: 1\nNot-Run: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeRefused, reason: messenger.ReasonShed},
		{name: "not the holder", script: text("HTTP/1.1 421 No\nId: 1\nNot-Run: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeRefused, reason: messenger.ReasonFence},
		{name: "failure without a promise", script: text("HTTP/1.1 503 Busy\nId: 1\nContent-Length: 0\n\n"), want: messenger.OutcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serve(t, test.script)
			result := newCourier().Send(t.Context(), address, order("1"), nil)
			qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%v", result.Err))
			qt.Assert(t, result.Reason, qt.Equals, test.reason)
			qt.Assert(t, result.Sent, qt.IsTrue)
			if result.Body == nil {
				return
			}
			body, err := io.ReadAll(result.Body)
			qt.Check(t, string(body), qt.Equals, test.body)
			qt.Check(t, err != nil, qt.Equals, test.broken, qt.Commentf("%v", err))
			qt.Check(t, result.Body.Close(), qt.IsNil)
		})
	}
}

func TestUnreachableServerIsARefusal(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = socket.Close()
	result := newCourier().Send(t.Context(), socket.Addr().String(), order("1"), nil)
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
		{name: "clean", first: whole, want: 1},
		{name: "bytes after the answer", first: whole + "HTTP/1.1 200 OK\nId: 2\nContent-Length: 5\n\nfalse", want: 2},
		{name: "server closes", first: "HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 4\n\nbody", want: 2},
		{name: "kept for too short", first: "HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=0\nContent-Length: 4\n\nbody", want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, connections := serve(t, text(test.first), text(strings.ReplaceAll(whole, "Id: 1", "Id: 2")))
			c := newCourier()
			for _, id := range []string{"1", "2"} {
				result := c.Send(t.Context(), address, order(id), nil)
				qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%v", result.Err))
				body, err := io.ReadAll(result.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, "body")
				_ = result.Body.Close()
				time.Sleep(20 * time.Millisecond)
			}
			qt.Assert(t, connections(), qt.Equals, test.want)
		})
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	type seen struct{ line, host, wanted, body string }
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
			got := make(chan seen, 1)
			address, _ := serve(t, func(conn net.Conn, request *http.Request) {
				body, _ := io.ReadAll(request.Body)
				got <- seen{request.Method + " " + request.RequestURI, request.Host, request.Header.Get("Server-Wanted"), string(body)}
				text(whole)(conn, request)
			})
			sent := order("1")
			sent.Relay.Method, sent.Relay.Length = "POST", test.length
			result := newCourier().Send(t.Context(), address, sent, strings.NewReader(test.body))
			qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%v", result.Err))
			_ = result.Body.Close()
			qt.Assert(t, <-got, qt.Equals, seen{"POST /a/b?c=d", "desk.example", "s1", test.body})
		})
	}
}

// The server sees within moments that the caller has left.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	ended := make(chan error, 1)
	address, _ := serve(t, func(conn net.Conn, _ *http.Request) {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	result := newCourier().Send(ctx, address, order("1"), nil)
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
	qt.Assert(t, result.Reason, qt.Equals, messenger.ReasonCanceled)
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(time.Second):
		t.Fatal("the server still waits for the caller")
	}
}

func ExampleCourier_Send() {
	result := newCourier().Send(context.Background(), "127.0.0.1:1", order("1"), nil)
	fmt.Println(result.Outcome, result.Reason)
	// Output: refused down
}
