package linker_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
)

// Guards against a body that is taken for complete because its link ended: a reader of a
// stream must not find io.EOF in the error then, in either direction.
func TestEndOfLinkIsNoEndOfStream(t *testing.T) {
	tests := []struct {
		name string
		end  func(network *disrupter.SimulatedNetwork, pool *linker.Pool, server *linker.Server)
	}{
		{name: "dialing side closed", end: func(_ *disrupter.SimulatedNetwork, pool *linker.Pool, _ *linker.Server) { pool.Close() }},
		{name: "accepting side closed", end: func(_ *disrupter.SimulatedNetwork, _ *linker.Pool, server *linker.Server) { _ = server.Close() }},
		{name: "reset", end: func(network *disrupter.SimulatedNetwork, _ *linker.Pool, _ *linker.Server) { network.Reset("a", "b") }},
		{name: "silent", end: func(network *disrupter.SimulatedNetwork, _ *linker.Pool, _ *linker.Server) {
			network.PartitionBoth("a", "b")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := disrupter.New(time.Millisecond)
				received := make(chan error, 1)
				handler := func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
					_, _ = stream.Write([]byte("part"))
					_, err := io.ReadAll(stream)
					received <- err
				}
				server, err := linker.Listen(network.Node("b"), "b:1", linker.Options{Hello: hello, Handler: handler})
				qt.Assert(t, err, qt.IsNil)
				pool := linker.NewPool(network.Node("a"), linker.Options{Hello: hello})
				stream, err := pool.Open(t.Context(), "b:1", messenger.KindForward)
				qt.Assert(t, err, qt.IsNil)
				_, err = stream.Write([]byte("part"))
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(100 * time.Millisecond)
				go test.end(network, pool, server)
				data, err := io.ReadAll(stream)
				qt.Check(t, string(data), qt.Equals, "part")
				for side, err := range []error{err, <-received} {
					qt.Check(t, err, qt.IsNotNil)
					qt.Check(t, errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("side %d: %v", side, err))
				}
				pool.Close()
				_ = server.Close()
			})
		})
	}
}
