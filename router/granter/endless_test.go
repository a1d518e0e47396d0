package granter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/networker"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
)

// Guards against a server that exhausts the memory of its router with its response to a
// range call.
func TestEndlessResponseToRangeCallIsBounded(t *testing.T) {
	const (
		maxEndlessBytes = 64 << 20
		// maxKernelBytes is what the sockets of both ends can hold unread.
		maxKernelBytes = 16 << 20
	)
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
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = socket.Close() }()
			written := make(chan int, 1)
			go func() {
				conn, err := socket.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				count, err := io.WriteString(conn, test.head)
				block := strings.Repeat(test.part, 1+(32<<10)/len(test.part))
				for count < maxEndlessBytes && err == nil {
					n := 0
					n, err = io.WriteString(conn, block)
					count += n
				}
				written <- count
			}()
			client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
			result, _ := client.Grant(t.Context(), socket.Addr().String(), &holder.Call{To: 9, Fence: 1, Server: "s1"})
			qt.Check(t, result, qt.Equals, test.want)
			qt.Check(t, <-written < maxKernelBytes, qt.IsTrue)
		})
	}
}
