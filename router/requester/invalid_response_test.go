package requester_test

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// Guards against responses that are no valid HTTP and reach the caller as an answer.
func TestInvalidResponsesAreNoAnswers(t *testing.T) {
	const rest = "\nId: 1\nContent-Length: 4\n\nbody"
	tests := []struct{ name, response string }{
		{name: "status 000", response: "HTTP/1.1 000 None" + rest},
		{name: "status 000 with a response as its body", response: "HTTP/1.1 000 None\nId: 1\nContent-Length: 100\n\n" + completeResponse},
		{name: "status 099", response: "HTTP/1.1 099 None\n\n" + completeResponse},
		{name: "status below 100 with a sign", response: "HTTP/1.1 +20 None\n\n" + completeResponse},
		{name: "status with a sign", response: "HTTP/1.1 -00 None\n\n" + completeResponse},
		{name: "status 600", response: "HTTP/1.1 600 None" + rest},
		{name: "status 999", response: "HTTP/1.1 999 None" + rest},
		{name: "switch of the protocol", response: "HTTP/1.1 101 Switching Protocols\nUpgrade: x\n\n" + completeResponse},
		{name: "blank before the colon", response: "HTTP/1.1 200 OK\nServer : a" + rest},
		{name: "blank in a name", response: "HTTP/1.1 200 OK\nMy Server: a" + rest},
		{name: "blank in the name of the length", response: "HTTP/1.1 200 OK\nId: 1\nContent-Length : 4\n\nbodyx"},
		{name: "tab in a name", response: "HTTP/1.1 200 OK\nMy\tServer: a" + rest},
		{name: "control byte in a name", response: "HTTP/1.1 200 OK\nMy\x01Server: a" + rest},
		{name: "NUL in a name", response: "HTTP/1.1 200 OK\nServer\x00: a" + rest},
		{name: "name above ASCII", response: "HTTP/1.1 200 OK\nSérver: a" + rest},
		{name: "empty name", response: "HTTP/1.1 200 OK\n: a" + rest},
		{name: "no colon", response: "HTTP/1.1 200 OK\nServer" + rest},
		{name: "control byte in a value", response: "HTTP/1.1 200 OK\nServer: a\x01b" + rest},
		{name: "carriage return in a value", response: "HTTP/1.1 200 OK\nServer: a\rb" + rest},
		{name: "other protocol version", response: "HTTP/2.0 200 OK" + rest},
		{name: "transfer encoding of HTTP/1.0", response: "HTTP/1.0 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n"},
		{name: "transfer encoding of HTTP/1.0 beside a length", response: "HTTP/1.0 200 OK\nId: 1\nContent-Length: 4\ntransfer-encoding: chunked\n\nbody"},
		{name: "two lengths", response: "HTTP/1.1 200 OK\nContent-Length: 3" + rest},
		{name: "length with a sign", response: "HTTP/1.1 200 OK\nId: 1\nContent-Length: +4\n\nbody"},
		{name: "invalid informational response", response: "HTTP/1.1 103 Early Hints\nMy Link: a\n\n" + completeResponse},
		{name: "invalid refusal", response: "HTTP/1.1 503 Busy\nNot-Run: 1\nMy Server: a" + rest},
	}
	for _, test := range tests {
		address, _ := startServer(t, respond(test.response))
		client := newClient()
		result := client.Send(t.Context(), address, newServerRequest("1"), nil)
		qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeUnknown, qt.Commentf("%s: status %d", test.name, result.Status))
		qt.Check(t, client.IsConnected(), qt.IsFalse, qt.Commentf(test.name))
		if result.Body != nil {
			_ = result.Body.Close()
		}
	}
}

// Guards against checks of responses that refuse valid ones.
func TestUnusualValidResponsesAreAnswers(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 299 \nId: 1\nContent-Length: 4\n\nbody",
		"HTTP/1.1 599\nId: 1\nContent-Length: 4\n\nbody",
		"HTTP/1.0 200 OK\nId: 1\n\nbody",
		"HTTP/1.1 200 OK\nId: 1\n!#$%&'*+-.^_`|~9: \xe9\t\nContent-Length: 4\n\nbody",
		"HTTP/1.1 200 OK\nId: 1\nX-Empty:\nContent-Length:4\n\nbody",
	} {
		address, _ := startServer(t, respond(response))
		result := newClient().Send(t.Context(), address, newServerRequest("1"), nil)
		qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%q: %v", response, result.Err))
		content, err := io.ReadAll(result.Body)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q", response))
		qt.Check(t, string(content), qt.Equals, "body", qt.Commentf("%q", response))
		_ = result.Body.Close()
	}
}
