package listener_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against refusals that wait for a body, that cost callers a connection for a short one, and
// that are lost when the rest of a long one resets the connection.
func TestConnectionAfterARefusedBody(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	tests := []struct {
		name, head, body string
		reused           bool
	}{
		{name: "short", head: "Content-Length: 1000", body: strings.Repeat("b", 1000), reused: true},
		{name: "200 KB", head: "Content-Length: 200000", body: strings.Repeat("b", 200_000), reused: true},
		{name: "chunks", head: "Transfer-Encoding: chunked", body: "5\r\nbbbbb\r\n0\r\n\r\n", reused: true},
		{name: "long", head: "Content-Length: 3000000", body: strings.Repeat("b", 3_000_000)},
		{name: "awaits an invitation", head: "Content-Length: 1000\r\nExpect: 100-continue"},
		{name: "never sent", head: "Content-Length: 1000"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startGuarded(t, refuse)
			conn := dial(t, address)
			reader := bufio.NewReader(conn)
			write(t, conn, "POST / HTTP/1.1\r\nHost: desk\r\n"+test.head+"\r\n\r\n")
			started := time.Now()
			body, err := readBody(reader)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, "no")
			qt.Check(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", time.Since(started)))
			if test.body == "" {
				time.Sleep(time.Second)
			}
			_, _ = io.WriteString(conn, test.body+wholeRequest)
			_, err = readBody(reader)
			qt.Check(t, err == nil, qt.Equals, test.reused)
		})
	}
}
