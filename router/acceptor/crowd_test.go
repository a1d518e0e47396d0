package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
)

// Guards against a crowd of unfinished heads that keeps ordinary callers out in sharded mode.
func TestUnfinishedHeadsBlockNoCallers(t *testing.T) {
	limits := limiter.Limits{Bytes: 2 << 20, Connections: 20}
	budget := limiter.New("callers", limits, limiter.Options{Log: logger.Discard(), Metrics: metrics.NewSet()})
	f := newFixtureWith(t, true, listener.Options{Budget: budget})
	for range 60 {
		conn, err := net.Dial("tcp", f.acceptor.Address())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		// The router may close the connection meanwhile.
		_, _ = io.WriteString(conn, "GET /v1/findings/door-17/x HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 2000))
		used, open := budget.Used()
		qt.Assert(t, used <= limits.Bytes && open <= limits.Connections, qt.IsTrue, qt.Commentf("%d bytes, %d connections", used, open))
	}
	got := f.send(t, "GET /v1/findings/door-17/x HTTP/1.1\r\nHost: desk\r\n\r\n")
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
}
