package acceptor

import (
	"net"
	"net/http"
)

// abortResponse ends a response whose body is incomplete so that the caller does not take
// it for a complete one. It does not return normally.
//
// A missing last chunk or a short length shows that a body is incomplete. A response to an
// HTTP/1.0 request may have neither: its body ends with the connection, so that connection
// must be reset, not closed.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

func resetConnection(w http.ResponseWriter) {
	hijacked, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended
	}
	defer func() { _ = hijacked.Close() }()
	for conn := hijacked; ; {
		if socket, ok := conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
			return
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}
