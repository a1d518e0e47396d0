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

// slowConn takes bytes at a fixed rate, as a link does that others fill.
type slowConn struct {
	net.Conn
	rate int
}

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(c.rate))
	return c.Conn.Write(data)
}

// slowPair is a network whose only connection is slow towards the dialler.
type slowPair struct {
	single
	near net.Conn
}

func (s *slowPair) Dial(context.Context, string) (net.Conn, error) { return s.near, nil }

// A large answer over a link that takes 50 kB a second arrives whole, though one
// batch takes longer than the bound for a connection that takes nothing.
func TestSlowLinkIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		network := &slowPair{single: single{conn: slowConn{far, 50_000}, closed: make(chan struct{})}, near: near}
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
		got, err := io.Copy(io.Discard, stream)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, int64(300_000))
		qt.Assert(t, counted(set, "closures", "stuck"), qt.Equals, uint64(0))
		pool.Close()
		qt.Assert(t, server.Close(), qt.IsNil)
	})
}

// A process that stops lets the answers that it has given arrive.
func TestDrainLetsAnswersArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		network := &slowPair{single: single{conn: slowConn{far, 50_000}, closed: make(chan struct{})}, near: near}
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
		time.Sleep(100 * time.Millisecond) // the greeting is slow as well
		whole := make(chan int64, 1)
		go func() {
			got, _ := io.Copy(io.Discard, stream)
			whole <- got
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		server.Drain(ctx)
		qt.Assert(t, server.Close(), qt.IsNil)
		qt.Assert(t, <-whole, qt.Equals, int64(60_000))
		pool.Close()
	})
}
