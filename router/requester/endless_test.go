package requester_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// Guards against a server that exhausts the memory of its router, or keeps a request past
// its deadline, with bytes that are no response.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const (
		// maxKernelBytes is what the sockets of both ends can hold unread.
		maxKernelBytes = 16 << 20
		maxHeapBytes   = 8 << 20
	)
	tests := []struct {
		name, head, part string
		// part of the metric that counts the response
		metric string
	}{
		{name: "header lines", head: "HTTP/1.1 200 OK\r\n", part: "A: b\r\n", metric: "head"},
		{name: "one header line", head: "HTTP/1.1 200 OK\r\nA: ", part: "b", metric: "head"},
		{name: "status line", head: "HTTP/1.1 200 ", part: "O", metric: "head"},
		{name: "folded header line", head: "HTTP/1.1 200 OK\r\nA: b\r\n", part: " b\r\n", metric: "head"},
		{name: "many short fields", head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 300) + "\r\n", part: "b", metric: "fields"},
		{name: "informational responses", part: "HTTP/1.1 103 Early Hints\r\n\r\n", metric: "informational"},
		{name: "large informational responses", part: "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("b", 30_000) + "\r\n\r\n", metric: "head"},
		{name: "body of a response to another request", head: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 999999999999\r\n\r\n", part: "b", metric: "skipped"},
		{name: "chunks of a response to another request", head: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", part: "4\r\nbody\r\n", metric: "skipped"},
		{name: "responses to other requests", part: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("b", 600_000), metric: "skipped"},
		{name: "line of a chunk", head: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n4;", part: "e"},
		{name: "chunk extensions", head: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1;" + strings.Repeat("e", 2000) + "\r\nb\r\n"},
		{name: "trailer", head: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", part: "A: b\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := disrupter.ServeEndless(test.head, test.part)
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			client, set := newCountedClient()
			serverRequest := newServerRequest("1")
			serverRequest.Deadline = time.Now().Add(5 * time.Second)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			result := client.Send(t.Context(), server.Address(), serverRequest, nil)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
			qt.Check(t, result.Reason, qt.Equals, messenger.ReasonTruncated, qt.Commentf("%v", result.Err))
			qt.Check(t, took < 2*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
			qt.Check(t, server.Written() < maxKernelBytes, qt.IsTrue)
			qt.Check(t, after.TotalAlloc-before.TotalAlloc < maxHeapBytes, qt.IsTrue, qt.Commentf("allocated %d bytes", after.TotalAlloc-before.TotalAlloc))
			if test.metric != "" {
				qt.Check(t, result.Err, qt.ErrorIs, requester.ErrExcess)
				qt.Check(t, set.GetOrCreateCounter(`marigold_backend_excess_total{part="`+test.metric+`"}`).Get(), qt.Equals, uint64(1))
			}
			qt.Check(t, client.IsConnected(), qt.IsFalse)
		})
	}
}

// Guards against requests that outlast their deadline when no context ends them.
func TestDeadlineEndsReadsWithoutContext(t *testing.T) {
	trickle := func(head string) script {
		return func(conn net.Conn, _ *http.Request) {
			_, err := io.WriteString(conn, head)
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.WriteString(conn, "b")
			}
		}
	}
	tests := []struct {
		name, head string
		reason     messenger.Reason
	}{
		{name: "head", head: "HTTP/1.1 200 OK\r\nA: "},
		{name: "body of a response to another request", head: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9999\r\n\r\n"},
		{name: "body", head: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9999\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startServer(t, trickle(test.head))
			serverRequest := newServerRequest("1")
			serverRequest.Deadline = time.Now().Add(200 * time.Millisecond)
			started := time.Now()
			result := newClient().Send(t.Context(), address, serverRequest, nil)
			if result.Body != nil {
				_, err := io.Copy(io.Discard, result.Body)
				qt.Check(t, err, qt.IsNotNil)
				_ = result.Body.Close()
			} else {
				qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
				qt.Check(t, result.Reason, qt.Equals, messenger.ReasonExpired, qt.Commentf("%v", result.Err))
			}
			qt.Check(t, time.Since(started) < time.Second, qt.IsTrue)
		})
	}
}

// Guards against a refusal that is held back by its body, and against reuse of a connection
// on which the rest of such a body is still to come.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\nId: 1\nNot-Run: 1\nContent-Length: 20000\n\n"
	tests := []struct {
		name string
		body string
	}{
		{name: "body that stops", body: "b"},
		{name: "body that stops at the limit", body: strings.Repeat("b", 16<<10)},
		{name: "body above the limit", body: strings.Repeat("b", 20_000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			address, connectionCount := startServer(t, func(conn net.Conn, request *http.Request) {
				respond(head+test.body)(conn, request)
				<-release
			})
			client := newClient()
			serverRequest := newServerRequest("1")
			serverRequest.Deadline = time.Now().Add(5 * time.Second)
			started := time.Now()
			result := client.Send(t.Context(), address, serverRequest, nil)
			qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeRefused)
			qt.Check(t, time.Since(started) < time.Second, qt.IsTrue)
			qt.Check(t, client.IsConnected(), qt.IsFalse, qt.Commentf("connection kept for reuse"))
			qt.Check(t, connectionCount(), qt.Equals, 1)
		})
	}
}
