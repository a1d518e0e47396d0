package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// answeringNetwork is a network whose only server answers each connection with the same
// bytes and closes it.
type answeringNetwork struct {
	answer []byte
}

// Listen implements [networker.Network].
func (answeringNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// Dial implements [networker.Network].
func (n answeringNetwork) Dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() {
		defer func() { _ = remote.Close() }()
		_ = remote.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := remote.Read(make([]byte, 4<<10)); err == nil {
			_, _ = remote.Write(n.answer)
		}
	}()
	return local, nil
}

// FuzzAnswers checks that bytes of a server become an answer only if they are valid HTTP with
// the ID of the request, and that nothing of theirs follows it on the connection.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nT: a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 46\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nbodyx",
		"HTTP/1.1 200 OK\r\nId: 1\r\nMy\x01Server: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nMy Server: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nId: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := requester.New(requester.Options{Network: answeringNetwork{answer}, HeaderCodec: headerCodec{}})
		result := client.Send(t.Context(), "server", newServerRequest("1"), http.NoBody)
		switch result.Outcome {
		case messenger.OutcomeDone:
			defer func() { _ = result.Body.Close() }()
		case messenger.OutcomeRefused:
			qt.Assert(t, result.ResponseInfo.NotExecuted, qt.IsTrue)
			qt.Assert(t, result.ResponseInfo.ID, qt.Equals, "1")
			return
		default:
			qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
			return
		}
		qt.Assert(t, strings.HasPrefix(string(answer), "HTTP/1."), qt.IsTrue)
		qt.Assert(t, result.Status >= http.StatusOK && result.Status <= 599, qt.IsTrue, qt.Commentf("status %d", result.Status))
		qt.Assert(t, result.ResponseInfo.ID, qt.Equals, "1")
		for name, values := range result.Header {
			qt.Assert(t, httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
			for _, value := range values {
				qt.Assert(t, httpguts.ValidHeaderFieldValue(value), qt.IsTrue, qt.Commentf("%q", value))
			}
		}
		body, err := io.ReadAll(result.Body)
		if err == nil && result.Length >= 0 {
			qt.Assert(t, int64(len(body)), qt.Equals, result.Length)
		}
	})
}
