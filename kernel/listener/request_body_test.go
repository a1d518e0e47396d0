package listener_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/listener"
)

// Guards against refusals that wait for a body, that cost callers a connection for a short one, and
// that are lost when the rest of a long one resets the connection.
func TestConnectionAfterARefusedBody(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		listener.StopReading(w, r)
		w.Header().Set("Content-Length", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	tests := []struct {
		name, head, body string
		// reused is set if the connection serves another request, closes if the response says
		// that it does not.
		reused, closes bool
	}{
		{name: "short", head: "Content-Length: 1000", body: strings.Repeat("b", 1000), reused: true},
		{name: "200 KB", head: "Content-Length: 200000", body: strings.Repeat("b", 200_000), reused: true},
		{name: "chunks", head: "Transfer-Encoding: chunked", body: "5\r\nbbbbb\r\n0\r\n\r\n", reused: true},
		{name: "long", head: "Content-Length: 3000000", body: strings.Repeat("b", 3_000_000), closes: true},
		{name: "long, in chunks", head: "Transfer-Encoding: chunked", body: "2dc6c0\r\n" + strings.Repeat("b", 3_000_000) + "\r\n0\r\n\r\n"},
		{name: "awaits an invitation", head: "Content-Length: 1000\r\nExpect: 100-continue", closes: true},
		{name: "never sent", head: "Content-Length: 1000"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startGuarded(t, refuse)
			conn := dial(t, address)
			reader := bufio.NewReader(conn)
			write(t, conn, "POST / HTTP/1.1\r\nHost: desk\r\n"+test.head+"\r\n\r\n")
			started := time.Now()
			response, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, response.Close, qt.Equals, test.closes)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, "no")
			qt.Check(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", time.Since(started)))
			if test.body == "" {
				time.Sleep(time.Second)
			}
			started = time.Now()
			_, _ = io.WriteString(conn, test.body+wholeRequest)
			_, err = readBody(reader)
			qt.Check(t, err == nil, qt.Equals, test.reused)
			qt.Check(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("closed or answered after %v", time.Since(started)))
		})
	}
}
