package linker_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

func counterValue(set *metrics.Set, name, reason string) uint64 {
	return set.GetOrCreateCounter(`marigold_link_` + name + `_total{reason="` + reason + `"}`).Get()
}

// runWithFaults runs a test in a synctest bubble, with a server on VM b and a pool
// on VM a.
func runWithFaults(t *testing.T, handler linker.Handler, run func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, pool *linker.Pool, set *metrics.Set)) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := disrupter.New(time.Millisecond)
		set := metrics.NewSet()
		server, err := linker.Listen(simulatedNetwork.Node("b"), "b:1", linker.Options{Hello: hello, Handler: handler, Metrics: set})
		qt.Assert(t, err, qt.IsNil)
		pool := linker.NewPool(simulatedNetwork.Node("a"), linker.Options{Hello: hello, Metrics: set})
		run(t, simulatedNetwork, pool, set)
		pool.Close()
		qt.Assert(t, server.Close(), qt.IsNil)
	})
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	blockingHandler := func(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
		if stream.Kind() == messenger.KindRecord {
			_, _ = stream.Write([]byte("part"))
			<-ctx.Done()
			return
		}
		echo(ctx, nil, stream)
	}
	runWithFaults(t, blockingHandler, func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, pool *linker.Pool, set *metrics.Set) {
		stream, err := pool.Open(t.Context(), "b:1", messenger.KindRecord)
		qt.Assert(t, err, qt.IsNil)
		// A slow stream does not close its connection.
		time.Sleep(time.Minute)
		_, err = io.ReadFull(stream, make([]byte, 4))
		qt.Assert(t, err, qt.IsNil)
		simulatedNetwork.Blackhole("a", "b")
		start := time.Now()
		_, err = stream.Read(make([]byte, 1))
		qt.Assert(t, errors.Is(err, linker.ErrKeepaliveTimeout), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Assert(t, time.Since(start) <= linker.KeepaliveTimeout+2*linker.PingInterval, qt.IsTrue)
		_, err = linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](t.Context(), pool, "b:1", messenger.KindOutcome, &messenger.OutcomeQuery{Key: "k"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, counterValue(set, "closures", "silent") >= 1, qt.IsTrue)
	})
}

// Calls whose own timeouts are shorter than the keepalive timeout must still
// cause an unresponsive connection to be closed and replaced.
func TestShortCallsDetectUnresponsivePeer(t *testing.T) {
	runWithFaults(t, echo, func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, pool *linker.Pool, _ *metrics.Set) {
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), linker.KeepaliveTimeout/10)
			defer cancel()
			_, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](ctx, pool, "b:1", messenger.KindOutcome, &messenger.OutcomeQuery{Key: "k"})
			return err
		}
		qt.Assert(t, call(), qt.IsNil)
		simulatedNetwork.Blackhole("a", "b")
		failures := 0
		for call() != nil {
			failures++
			qt.Assert(t, failures <= 8, qt.IsTrue)
			// Most pings are due between two calls, when no stream is open.
			time.Sleep(linker.KeepaliveTimeout / 5)
		}
	})
}

func TestIdleConnectionSendsNothing(t *testing.T) {
	runWithFaults(t, echo, func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, pool *linker.Pool, _ *metrics.Set) {
		_, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](t.Context(), pool, "b:1", messenger.KindOutcome, &messenger.OutcomeQuery{})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		frames := make(chan framer.Type, 100)
		simulatedNetwork.SetHook(func(info disrupter.FrameInfo) disrupter.FrameAction {
			frames <- info.Type
			return disrupter.FrameAction{}
		})
		time.Sleep(time.Hour)
		qt.Assert(t, len(frames), qt.Equals, 0)
	})
}

func TestSlowStreamDoesNotBlockOthers(t *testing.T) {
	floodingHandler := func(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
		if stream.Kind() == messenger.KindRecord {
			_, _ = stream.Write(make([]byte, 4*linker.StreamWindowBytes))
			return
		}
		echo(ctx, nil, stream)
	}
	runWithFaults(t, floodingHandler, func(t *testing.T, _ *disrupter.SimulatedNetwork, pool *linker.Pool, _ *metrics.Set) {
		for range 8 {
			_, err := pool.Open(t.Context(), "b:1", messenger.KindRecord) // not read
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(time.Second)
		_, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](t.Context(), pool, "b:1", messenger.KindOutcome, &messenger.OutcomeQuery{Key: "k"})
		qt.Assert(t, err, qt.IsNil)
	})
}

func TestConcurrentOpensShareOneDial(t *testing.T) {
	runWithFaults(t, echo, func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, pool *linker.Pool, set *metrics.Set) {
		simulatedNetwork.PartitionBoth("a", "c")
		results := make(chan error)
		for range 100 {
			go func() {
				_, err := pool.Open(t.Context(), "c:1", messenger.KindForward)
				results <- err
			}()
		}
		start := time.Now()
		for range 100 {
			qt.Assert(t, errors.Is(<-results, linker.ErrNotConnected), qt.IsTrue)
		}
		qt.Assert(t, time.Since(start), qt.Equals, linker.DialTimeout)
		qt.Assert(t, counterValue(set, "dial_failures", "network"), qt.Equals, uint64(1))
	})
}

// rawPeer is the dialing side of a link to a server. It exchanges raw frames.
type rawPeer struct {
	conn     net.Conn
	reader   *framer.Reader
	sequence uint32
}

func dialRawPeer(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork) *rawPeer {
	conn, err := simulatedNetwork.Node("a").Dial(t.Context(), "b:1")
	qt.Assert(t, err, qt.IsNil)
	p := &rawPeer{conn: conn, reader: framer.NewReader(conn)}
	helloPayload, err := msgpack.Marshal(&hello)
	qt.Assert(t, err, qt.IsNil)
	p.send(framer.Frame{Type: framer.TypeHello, Payload: helloPayload})
	_, err = p.reader.Read()
	qt.Assert(t, err, qt.IsNil)
	return p
}

// send writes a frame once, or as many times as given.
func (p *rawPeer) send(frame framer.Frame, times ...int) {
	var buffer []byte
	for range append(times, 1)[0] {
		frame.Sequence = p.sequence
		p.sequence++
		buffer = framer.Append(buffer, frame)
	}
	_, _ = p.conn.Write(buffer)
}

// end reads until the server has closed the connection.
func (p *rawPeer) end(t *testing.T) {
	for {
		if _, err := p.reader.Read(); err != nil {
			qt.Assert(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("got %v", err))
			return
		}
	}
}

func TestProtocolViolationClosesConnection(t *testing.T) {
	open := framer.Frame{Type: framer.TypeOpen, Stream: 5, Payload: []byte{byte(messenger.KindForward)}}
	data := func(size int) framer.Frame {
		return framer.Frame{Type: framer.TypeData, Stream: 5, Payload: make([]byte, size)}
	}
	end := func(length, checksum uint64) framer.Frame {
		payload := binary.BigEndian.AppendUint64(nil, length)
		return framer.Frame{Type: framer.TypeEnd, Stream: 5, Payload: binary.BigEndian.AppendUint64(payload, checksum)}
	}
	tests := []struct {
		name    string
		frames  []framer.Frame
		counter string
		reason  string
	}{
		{name: "stream number reused", frames: []framer.Frame{open, open}, counter: "late_frames", reason: "reopened"},
		{name: "stream number below an earlier one", counter: "late_frames", reason: "reopened",
			frames: []framer.Frame{open, {Type: framer.TypeOpen, Stream: 4, Payload: []byte{3}}}},
		{name: "stream not opened", frames: []framer.Frame{data(1)}, counter: "refusals", reason: "protocol"},
		{name: "wrong checksum", frames: []framer.Frame{open, data(3), end(3, 1)}, counter: "refusals", reason: "checksum"},
		{name: "wrong length", frames: []framer.Frame{open, data(3), end(4, hasher.Sum(make([]byte, 3)))}, counter: "refusals", reason: "checksum"},
		{name: "window overrun", counter: "refusals", reason: "protocol",
			frames: []framer.Frame{{Type: framer.TypeOpen, Stream: 5, Payload: []byte{200}}, data(1)}},
		{name: "window too large", counter: "refusals", reason: "protocol",
			frames: []framer.Frame{open, {Type: framer.TypeWindowUpdate, Stream: 5, Payload: []byte{0, 0, 0, 0, 0, 0, 0, 1}}}},
		{name: "second hello frame", frames: []framer.Frame{{Type: framer.TypeHello}}, counter: "refusals", reason: "protocol"},
	}
	// The handler does not read streams of kind 200, so that their window fills up.
	handler := func(ctx context.Context, link *linker.Link, stream *linker.Stream) {
		if stream.Kind() == 200 {
			<-ctx.Done()
		}
		echo(ctx, link, stream)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFaults(t, handler, func(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, _ *linker.Pool, set *metrics.Set) {
				p := dialRawPeer(t, simulatedNetwork)
				for _, frame := range test.frames {
					p.send(frame)
				}
				if test.name == "window overrun" {
					for range linker.StreamWindowBytes / framer.MaxPayloadBytes {
						p.send(data(framer.MaxPayloadBytes))
					}
				}
				p.end(t)
				qt.Assert(t, counterValue(set, test.counter, test.reason), qt.Equals, uint64(1))
			})
		})
	}
}

// A peer that does not read must be disconnected: by the write timeout, or at once
// when the responses to its pings exceed the limit of the send queue.
func TestPeerThatDoesNotReadIsDisconnected(t *testing.T) {
	tests := []struct {
		reason string
		pings  int
	}{
		{reason: "stuck", pings: 1},
		{reason: "overflow", pings: 1 << 19},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, remote := net.Pipe()
				listener := &pipeNetwork{conn: remote, closed: make(chan struct{})}
				set := metrics.NewSet()
				server, err := linker.Listen(listener, "", linker.Options{Hello: hello, Handler: echo, Metrics: set})
				qt.Assert(t, err, qt.IsNil)
				p := &rawPeer{conn: local, reader: framer.NewReader(local)}
				helloPayload, err := msgpack.Marshal(&hello)
				qt.Assert(t, err, qt.IsNil)
				go p.send(framer.Frame{Type: framer.TypeHello, Payload: helloPayload})
				_, err = p.reader.Read()
				qt.Assert(t, err, qt.IsNil)
				synctest.Wait()
				p.send(framer.Frame{Type: framer.TypePing}, test.pings)
				time.Sleep(linker.WriteTimeout + time.Millisecond)
				qt.Assert(t, counterValue(set, "closures", test.reason), qt.Equals, uint64(1))
				qt.Assert(t, server.Close(), qt.IsNil)
			})
		})
	}
}

// pipeNetwork is a network with one connection, which its listener accepts.
type pipeNetwork struct {
	conn   net.Conn
	closed chan struct{}
	used   bool
}

func (n *pipeNetwork) Listen(string) (net.Listener, error)            { return n, nil }
func (n *pipeNetwork) Dial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
func (n *pipeNetwork) Close() error                                   { close(n.closed); return nil }
func (n *pipeNetwork) Addr() net.Addr                                 { return n.conn.LocalAddr() }
func (n *pipeNetwork) Accept() (net.Conn, error) {
	if !n.used {
		n.used = true
		return n.conn, nil
	}
	<-n.closed
	return nil, net.ErrClosed
}

// lossyNetwork leaves the first dials unanswered, as if their SYN had been lost.
type lossyNetwork struct {
	networker.Network
	lost  int
	dials atomic.Int64
}

func (n *lossyNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dials.Add(1) <= int64(n.lost) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Network.Dial(ctx, address)
}

// A peer that was unreachable when the first SYN was sent must be reached by a
// later dial within redialInterval, not only by the retransmission of the SYN.
func TestLostSYNIsRetried(t *testing.T) {
	tests := []struct {
		name  string
		lost  int
		limit time.Duration
		fails bool
	}{
		{name: "none", lost: 0, limit: 50 * time.Millisecond},
		{name: "first", lost: 1, limit: 300 * time.Millisecond},
		{name: "two", lost: 2, limit: 500 * time.Millisecond},
		{name: "all", lost: 100, limit: linker.DialTimeout + 50*time.Millisecond, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulatedNetwork := disrupter.New(time.Millisecond)
				server, err := linker.Listen(simulatedNetwork.Node("b"), "b:1", linker.Options{Hello: hello, Handler: echo})
				qt.Assert(t, err, qt.IsNil)
				defer func() { _ = server.Close() }()
				start := time.Now()
				link, err := linker.Dial(t.Context(), &lossyNetwork{Network: simulatedNetwork.Node("a"), lost: test.lost}, "b:1", linker.Options{Hello: hello})
				qt.Assert(t, err != nil, qt.Equals, test.fails)
				qt.Assert(t, time.Since(start) <= test.limit, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				if err == nil {
					link.Close()
				}
			})
		})
	}
}
