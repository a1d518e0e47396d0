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

// Guards against a response to a range call that breaks off and is taken for a complete one:
// keys would count as held or as released.
func TestResponseThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nMarigold-Handover: w7\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno",
	} {
		for cut := range response {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					_, _ = conn.Read(make([]byte, 4<<10))
					_, _ = io.WriteString(conn, response[:cut])
					_ = conn.Close()
				}
			}()
			client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
			result, _, err := client.Release(t.Context(), listener.Addr().String(), &holder.Call{Server: "s1"})
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", response[:cut]))
			qt.Check(t, result, qt.Equals, holder.Unanswered, qt.Commentf("%q", response[:cut]))
			_ = listener.Close()
		}
	}
}
