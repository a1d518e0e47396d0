package acceptor

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idGenerator generates request IDs that are unique in the cluster, also over time.
type idGenerator struct {
	prefix string
	last   atomic.Uint64
}

// newIDGenerator returns a generator whose IDs start with the name of the router and a
// random number, so that they do not repeat after a restart.
func newIDGenerator(name string) *idGenerator {
	var start [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(start[:])
	return &idGenerator{prefix: name + "-" + hex.EncodeToString(start[:]) + "-"}
}

func (g *idGenerator) next() string {
	return g.prefix + strconv.FormatUint(g.last.Add(1), 36)
}
