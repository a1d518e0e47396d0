package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
)

// BenchmarkRequest measures an ordinary request on a kept connection, with and without a
// budget for clients.
func BenchmarkRequest(b *testing.B) {
	const request = "GET /find/door-17 HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request: 9c41d07be2a35f68\r\n\r\n"
	budget := limiter.New("callers", limiter.Limits{Bytes: 64 << 20, Connections: 1000}, limiter.Options{Log: logger.Discard(), Metrics: metrics.NewSet()})
	for name, options := range map[string]listener.Options{
		"unlimited": {},
		"budget":    {Budget: budget, HeadLimit: func() int64 { return 64 << 10 }, RequestCost: func(r *http.Request) int64 { return max(r.ContentLength, 0) }},
	} {
		b.Run(name, func(b *testing.B) {
			network := &listener.GuardNetwork{Network: networker.TCP{}, Options: options}
			socket, err := network.Listen("127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			server := &http.Server{Handler: network.Guard.Handler(okHandler), ConnState: network.Guard.ConnState, ConnContext: network.Guard.ConnContext}
			go func() { _ = server.Serve(socket) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", socket.Addr().String())
			qt.Assert(b, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
