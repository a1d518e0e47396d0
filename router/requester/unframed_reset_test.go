package requester_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

const uploadBytes = 4 << 20

// newUpload returns a request whose body is sent while the response is awaited. length is the
// length that it states, -1 for none.
func newUpload(length int64) (*requester.ServerRequest, io.Reader) {
	request := newServerRequest("1")
	request.Relay.Method, request.Relay.Length = http.MethodPost, length
	return request, strings.NewReader(strings.Repeat("b", uploadBytes))
}

// Guards against the part of a response without a length that reaches the caller as a whole
// one: when a connection is reset during an upload, the error goes to the write, and the read
// gets the end of the stream.
func TestUnframedResponseThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	for _, length := range []int64{-1, uploadBytes} {
		for range 200 {
			address, _ := startServer(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				time.Sleep(time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			request, body := newUpload(length)
			result := newClient().Send(t.Context(), address, request, body)
			if result.Outcome != messenger.OutcomeDone {
				qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
				continue
			}
			// The writes fail before the rest of the response is read.
			time.Sleep(2 * time.Millisecond)
			content, err := io.ReadAll(result.Body)
			_ = result.Body.Close()
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("length %d, body %q", length, content))
		}
	}
}

// Guards against an early response that is taken for a broken one because its request is
// still being sent.
func TestUnframedResponseThatEndsInOrderDuringAnUploadIsComplete(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	address, _ := startServer(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ended
	})
	request, body := newUpload(-1)
	result := newClient().Send(t.Context(), address, request, io.MultiReader(body, slowBody{}))
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone)
	content, err := io.ReadAll(result.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(content), qt.Equals, "whole")
	_ = result.Body.Close()
}

// slowBody is the rest of a body that its caller sends slowly and without end.
type slowBody struct{}

func (slowBody) Read(data []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return copy(data, "b"), nil
}

// Guards against a whole early response that is cut off because its request cannot be sent to its
// end: a server that does not read a body closes the connection, which resets it.
func TestWholeResponseIsReadAfterTheUploadFailed(t *testing.T) {
	const size = 30_000
	for _, length := range []int64{-1, uploadBytes} {
		address, _ := startServer(t, func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size))
			time.Sleep(10 * time.Millisecond)
			_ = conn.Close() // with unread bytes
		})
		request, body := newUpload(length)
		result := newClient().Send(t.Context(), address, request, body)
		qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone)
		time.Sleep(50 * time.Millisecond) // the upload has failed
		content, err := io.ReadAll(result.Body)
		qt.Check(t, err, qt.IsNil, qt.Commentf("length %d", length))
		qt.Check(t, len(content), qt.Equals, size)
		_ = result.Body.Close()
	}
}
