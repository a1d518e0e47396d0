package prober

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/networker"
)

// Guards against a server that exhausts the memory of its router with a health report.
func TestEndlessHealthReportIsBounded(t *testing.T) {
	// maxKernelBytes is what the sockets of both ends can hold unread.
	const maxKernelBytes = 16 << 20
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
			server, err := disrupter.ServeEndless(test.head, test.part)
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			qt.Check(t, checkHealth(t.Context(), networker.TCP{}, "http://"+server.Address()), qt.Equals, test.want)
			qt.Check(t, server.Written() < maxKernelBytes, qt.IsTrue)
		})
	}
}
