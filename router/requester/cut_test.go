package requester_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// Guards against a response that breaks off, in its head or its body, and reaches the caller
// as a complete one.
func TestResponseThatBreaksOffIsNotComplete(t *testing.T) {
	tests := []struct {
		name     string
		response string
		// open is set if the body ends with the connection: then only the head can be seen
		// to break off.
		open bool
	}{
		{name: "with a length", response: completeResponse},
		{name: "chunked", response: "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n"},
		{name: "without a body", response: "HTTP/1.1 200 OK\nContent-Length: 0\nId: 1\nServer: a\n\n"},
		{name: "no content", response: "HTTP/1.1 204 No Content\nId: 1\nServer: a\n\n"},
		{name: "body ends with the connection", response: "HTTP/1.1 200 OK\nId: 1\n\nbody", open: true},
		{name: "informational first", response: "HTTP/1.1 103 Early Hints\nLink: a\n\n" + completeResponse},
		{name: "refusal", response: "HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 0\nId: 1\nServer: a\n\n"},
		{name: "a late response to another request first", response: "HTTP/1.1 200 OK\nId: 0\nContent-Length: 5\n\nother" + completeResponse},
	}
	for _, test := range tests {
		cuts := len(test.response)
		if test.open {
			cuts = strings.Index(test.response, "\n\n") + 2
		}
		// One half of a line break is the end of some cuts.
		response := strings.ReplaceAll(test.response, "\n", "\r\n")
		cuts += strings.Count(test.response[:cuts], "\n")
		for cut := range cuts {
			address, _ := startServer(t, respondExactly(response[:cut]))
			result := newClient().Send(t.Context(), address, newServerRequest("1"), nil)
			if result.Outcome == messenger.OutcomeDone {
				_, err := io.ReadAll(result.Body)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s: status %d of %q", test.name, result.Status, response[:cut]))
				_ = result.Body.Close()
				continue
			}
			qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown, qt.Commentf("%s: %q", test.name, response[:cut]))
		}
	}
}
