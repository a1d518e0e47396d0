package prober

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/networker"
)

// Guards against a server that exhausts the memory of its router with a health report.
func TestEndlessHealthReportIsBounded(t *testing.T) {
	const (
		maxEndlessBytes = 64 << 20
		// maxKernelBytes is what the sockets of both ends can hold unread.
		maxKernelBytes = 16 << 20
	)
	tests := []struct {
		name, head, part string
		want             Evidence
	}{
		{name: "header", head: "HTTP/1.1 200 OK\r\n", part: "A: b\r\n", want: ProbeTimeout},
		{name: "informational responses", part: "HTTP/1.1 103 Early Hints\r\n\r\n", want: ProbeTimeout},
		{name: "body", head: "HTTP/1.1 200 OK\r\n\r\n", part: " ", want: ProbeAnswered},
		{name: "state", head: "HTTP/1.1 200 OK\r\n\r\n{\"state\":\"", part: "x", want: ProbeAnswered},
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
			qt.Check(t, checkHealth(t.Context(), networker.TCP{}, "http://"+socket.Addr().String()), qt.Equals, test.want)
			qt.Check(t, <-written < maxKernelBytes, qt.IsTrue)
		})
	}
}
