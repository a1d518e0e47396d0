package requester_test

import (
	"strings"
	"sync/atomic"
	"testing"

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
