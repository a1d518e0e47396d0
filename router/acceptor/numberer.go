package acceptor

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// numberer makes request numbers that are unique in the cluster for good.
type numberer struct {
	prefix string
	last   atomic.Uint64
}

// newNumberer starts a series of its own, also after a restart.
func newNumberer(name string) *numberer {
	var start [8]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(start[:])
	return &numberer{prefix: name + "-" + hex.EncodeToString(start[:]) + "-"}
}

func (n *numberer) next() string {
	return n.prefix + strconv.FormatUint(n.last.Add(1), 36)
}
