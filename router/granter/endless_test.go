package granter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
)

// Guards against a server that exhausts the memory of its router with its response to a
// range call.
func TestEndlessResponseToRangeCallIsBounded(t *testing.T) {
	// maxKernelBytes is what the sockets of both ends can hold unread.
	const maxKernelBytes = 16 << 20
	tests := []struct {
		name, head, part string
		want             holder.CallResult
	}{
		{name: "header", head: "HTTP/1.1 200 OK\r\n", part: "A: b\r\n", want: holder.Unanswered},
		{name: "header line", head: "HTTP/1.1 200 OK\r\nA: ", part: "b", want: holder.Unanswered},
		{name: "informational responses", part: "HTTP/1.1 103 Early Hints\r\n\r\n", want: holder.Unanswered},
		{name: "body", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", part: "4\r\nbody\r\n", want: holder.Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := disrupter.ServeEndless(test.head, test.part)
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
			result, _ := client.Grant(t.Context(), server.Address(), &holder.Call{To: 9, Fence: 1, Server: "s1"})
			qt.Check(t, result, qt.Equals, test.want)
			qt.Check(t, server.Written() < maxKernelBytes, qt.IsTrue)
		})
	}
}
