package granter_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/networker"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
)

// Guards against responses that are no valid HTTP and count as the answer to a range call:
// a denied grant would free keys that the server holds.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nMy Server: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 409 Conflict\r\nMy Server: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nServer : a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, response)
				_ = conn.Close()
			}
		}()
		client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
		granted, err := client.Grant(t.Context(), listener.Addr().String(), &holder.Call{Server: "s1"})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", response))
		qt.Check(t, granted, qt.Equals, holder.Unanswered, qt.Commentf("%q", response))
		released, _, err := client.Release(t.Context(), listener.Addr().String(), &holder.Call{Server: "s1"})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", response))
		qt.Check(t, released, qt.Equals, holder.Unanswered, qt.Commentf("%q", response))
		_ = listener.Close()
	}
}
