package relayer

import (
	"errors"
	"syscall"
)

// isConnectionRefused reports whether a connection attempt was refused.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
