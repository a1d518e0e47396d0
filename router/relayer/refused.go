package relayer

import (
	"errors"
	"syscall"
)

// isRefused reports whether a port refused a connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
