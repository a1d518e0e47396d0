package requester_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/requester"
)

// Guards against counting a body that its caller did not send completely as a broken
// connection of the backend server, which would then be treated as cold.
func TestIncompleteBodyIsNoBrokenConnection(t *testing.T) {
	address, _ := startServer(t, respond(completeResponse))
	var broken atomic.Int64
	client := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: headerCodec{}, OnBroken: func() { broken.Add(1) }})
	request := newServerRequest("1")
	request.Relay.Method, request.Relay.Length = "POST", 8
	result := client.Send(t.Context(), address, request, strings.NewReader("half"))
	qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Check(t, result.Sent, qt.IsFalse)
	qt.Check(t, broken.Load(), qt.Equals, int64(0))
}

// Guards against a request that runs with a part of its body: whatever ends the body early,
// the server must not get the end of a complete one.
func TestBrokenBodyIsNotSentAsComplete(t *testing.T) {
	for _, length := range []int64{-1, 100_000} {
		for _, cause := range []error{io.ErrUnexpectedEOF, fmt.Errorf("link: %w", io.EOF)} {
			ended := make(chan error, 1)
			address, _ := startServer(t, func(_ net.Conn, request *http.Request) {
				_, err := io.Copy(io.Discard, request.Body)
				ended <- err
			})
			request := newServerRequest("1")
			request.Relay.Method, request.Relay.Length = "POST", length
			body := io.MultiReader(strings.NewReader(strings.Repeat("b", 50_000)), iotest.ErrReader(cause))
			result := newClient().Send(t.Context(), address, request, body)
			qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown)
			qt.Check(t, <-ended, qt.IsNotNil, qt.Commentf("length %d, %v", length, cause))
		}
	}
}
