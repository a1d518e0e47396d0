package networker

import "net"

// IsLocal reports whether both ends of a connection have the same host address. Its bytes
// do not cross the VM's link.
func IsLocal(conn net.Conn) bool {
	local, _, err := net.SplitHostPort(conn.LocalAddr().String())
	if err != nil {
		return false
	}
	remote, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	return err == nil && local == remote
}
