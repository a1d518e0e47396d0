package dispatcher_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/dispatcher"
)

// Guards against a response that breaks off, in its head or its body, and reaches the caller
// as a complete one.
func TestResponseThatBreaksOffIsNotComplete(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: a\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nServer: a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nMarigold-Refused: shed\r\nContent-Length: 0\r\nServer: a\r\n\r\n",
	} {
		for cut := range response {
			url := "http://" + serveOnce(t, response[:cut])
			result := dispatcher.New(networker.TCP{}).Send(t.Context(), serverRequest(url))
			if result.Outcome != messenger.OutcomeDone {
				qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown, qt.Commentf("%q", response[:cut]))
				continue
			}
			_, err := io.ReadAll(result.Body)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("status %d of %q", result.Response.Status, response[:cut]))
			_ = result.Body.Close()
		}
	}
}

// serveOnce starts a server that sends one response, closes its connection and ends. It
// returns its address.
func serveOnce(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		defer func() { _ = listener.Close() }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

// Guards against responses that are no valid HTTP and reach the caller as an answer.
func TestInvalidResponsesAreNoAnswers(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 +20 None\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 600 None\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nMy Server: a\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nServer\x01: a\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nMy Server: a\r\nMarigold-Refused: shed\r\nContent-Length: 0\r\n\r\n",
	} {
		result := dispatcher.New(networker.TCP{}).Send(t.Context(), serverRequest("http://"+serveOnce(t, response)))
		qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown, qt.Commentf("%q", response))
		if result.Body != nil {
			_ = result.Body.Close()
		}
	}
}
