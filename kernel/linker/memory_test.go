package linker_test

import (
	"io"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Guards against memory that grows with the size of the fleet: a router keeps up to two
// links to each of 1,000 others in 64 MB, of which it needs 20 MB otherwise.
func TestIdleLinkTakesLittleMemory(t *testing.T) {
	const (
		links = 200
		// maxEndBytes is the memory of one end of a link.
		maxEndBytes = 44 << 20 / 2000
		bodyBytes   = 300_000
	)
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	defer pool.Close()
	var addresses []string
	for range links {
		server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: echo})
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = server.Close() }()
		addresses = append(addresses, server.Address())
	}
	measure := func() uint64 {
		runtime.GC()
		runtime.GC() // empties the pools
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc + stats.StackInuse
	}
	before := measure()
	for _, address := range addresses {
		stream, err := pool.Open(t.Context(), address, messenger.KindForward)
		qt.Assert(t, err, qt.IsNil)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = stream.Write(make([]byte, bodyBytes))
			_ = stream.CloseWrite()
		}()
		size, err := io.Copy(io.Discard, stream)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, size, qt.Equals, int64(bodyBytes))
		<-sent
	}
	perEnd := int64(measure()-before) / (2 * links)
	t.Logf("%d bytes for each end of a link", perEnd)
	qt.Check(t, perEnd < maxEndBytes, qt.IsTrue, qt.Commentf("%d bytes for each end of a link, want less than %d", perEnd, maxEndBytes))
}
