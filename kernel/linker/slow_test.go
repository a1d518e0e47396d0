package linker_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
)

// slowConn limits writes to rate bytes per second, like a network link under load.
type slowConn struct {
	net.Conn
	rate int
}

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(c.rate))
	return c.Conn.Write(data)
}

// slowNetwork is a network with one connection, which is slow in the direction to
// the dialing side.
type slowNetwork struct {
	pipeNetwork
	local net.Conn
}

func (n *slowNetwork) Dial(context.Context, string) (net.Conn, error) { return n.local, nil }

// A large response must arrive completely over a link of 50 kB/s, although writing
// one batch takes longer than WriteTimeout.
func TestSlowLinkIsNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		network := &slowNetwork{pipeNetwork: pipeNetwork{conn: slowConn{remote, 50_000}, closed: make(chan struct{})}, local: local}
		set := metrics.NewSet()
		server, err := linker.Listen(network, "", linker.Options{Hello: hello, Metrics: set, Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
			if _, err := stream.Write(make([]byte, 300_000)); err == nil {
				_ = stream.CloseWrite()
			}
		}})
		qt.Assert(t, err, qt.IsNil)
		pool := linker.NewPool(network, linker.Options{Hello: hello})
		stream, err := pool.Open(t.Context(), "far", messenger.KindForward)
		qt.Assert(t, err, qt.IsNil)
		size, err := io.Copy(io.Discard, stream)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, size, qt.Equals, int64(300_000))
		qt.Assert(t, counterValue(set, "closures", "stuck"), qt.Equals, uint64(0))
		pool.Close()
		qt.Assert(t, server.Close(), qt.IsNil)
	})
}

// A process that shuts down must wait until the responses it has sent are received.
func TestDrainWaitsForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		network := &slowNetwork{pipeNetwork: pipeNetwork{conn: slowConn{remote, 50_000}, closed: make(chan struct{})}, local: local}
		server, err := linker.Listen(network, "", linker.Options{Hello: hello, Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
			if _, err := stream.Write(make([]byte, 60_000)); err == nil {
				_ = stream.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, stream)
		}})
		qt.Assert(t, err, qt.IsNil)
		pool := linker.NewPool(network, linker.Options{Hello: hello})
		stream, err := pool.Open(t.Context(), "far", messenger.KindForward)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stream.CloseWrite(), qt.IsNil)
		time.Sleep(100 * time.Millisecond) // the handshake is slow as well
		received := make(chan int64, 1)
		go func() {
			size, _ := io.Copy(io.Discard, stream)
			received <- size
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		server.Drain(ctx)
		qt.Assert(t, server.Close(), qt.IsNil)
		qt.Assert(t, <-received, qt.Equals, int64(60_000))
		pool.Close()
	})
}
