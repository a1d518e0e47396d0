package networker_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/networker"
)

// addressedConn is a connection between two addresses.
type addressedConn struct {
	net.Conn
	local, remote string
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (c addressedConn) LocalAddr() net.Addr  { return address(c.local) }
func (c addressedConn) RemoteAddr() net.Addr { return address(c.remote) }

// Guards against connections that are counted on the wrong side of the VM's link.
func TestIsLocal(t *testing.T) {
	tests := []struct {
		local, remote string
		want          bool
	}{
		{local: "10.0.0.1:80", remote: "10.0.0.1:32768", want: true},
		{local: "10.0.0.1:80", remote: "10.0.0.2:32768"},
		{local: "[::1]:80", remote: "[::1]:32768", want: true},
		{local: "pipe", remote: "pipe"},
	}
	for _, test := range tests {
		got := networker.IsLocal(addressedConn{local: test.local, remote: test.remote})
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s to %s", test.local, test.remote))
	}
}
