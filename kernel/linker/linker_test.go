package linker_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

var hello = messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "a"}

func echo(_ context.Context, _ *linker.Link, stream *linker.Stream) {
	switch stream.Kind() {
	case messenger.KindOutcome:
		_ = linker.Respond(stream, func(query *messenger.OutcomeQuery) (*messenger.OutcomeResponse, error) {
			return &messenger.OutcomeResponse{Body: []byte(query.Key)}, nil
		})
	case messenger.KindForward:
		if _, err := io.Copy(stream, stream); err == nil {
			_ = stream.CloseWrite()
		}
	case messenger.KindRecord:
		// Sends part of a response, then returns without CloseWrite.
		_, _ = stream.Write([]byte("part"))
	}
}

func listen(t *testing.T) (*linker.Server, *linker.Pool) {
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: echo})
	qt.Assert(t, err, qt.IsNil)
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	t.Cleanup(func() {
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
	return server, pool
}

func TestCall(t *testing.T) {
	server, pool := listen(t)
	for _, key := range []string{"door-1", "door-2"} {
		response, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](
			t.Context(), pool, server.Address(), messenger.KindOutcome, &messenger.OutcomeQuery{Key: key})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(response.Body), qt.Equals, key)
	}
}

func TestLargeBodyWithFlowControl(t *testing.T) {
	server, pool := listen(t)
	stream, err := pool.Open(t.Context(), server.Address(), messenger.KindForward)
	qt.Assert(t, err, qt.IsNil)
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	go func() {
		_, _ = stream.Write(body)
		_ = stream.CloseWrite()
	}()
	got, err := io.ReadAll(stream)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
}

func TestPartialResponseIsAnError(t *testing.T) {
	server, pool := listen(t)
	stream, err := pool.Open(t.Context(), server.Address(), messenger.KindRecord)
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(stream)
	qt.Assert(t, string(got), qt.Equals, "part")
	qt.Assert(t, errors.Is(err, linker.ErrReset), qt.IsTrue, qt.Commentf("got %v", err))
}

func TestCanceledContextResetsStream(t *testing.T) {
	server, pool := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := pool.Open(ctx, server.Address(), messenger.KindForward)
	qt.Assert(t, err, qt.IsNil)
	cancel()
	_, err = io.ReadAll(stream)
	qt.Assert(t, errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("got %v", err))
}

// Opening streams with a context that is already canceled must not close the link,
// which other streams share.
func TestOpenWithCanceledContextKeepsLink(t *testing.T) {
	server, pool := listen(t)
	kept, err := pool.Open(t.Context(), server.Address(), messenger.KindForward)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2000 {
		if stream, err := pool.Open(ctx, server.Address(), messenger.KindForward); err == nil {
			stream.Close()
		}
	}
	go func() {
		_, _ = kept.Write([]byte("door-17"))
		_ = kept.CloseWrite()
	}()
	got, err := io.ReadAll(kept)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "door-17")
}

func TestIncompatiblePeersAreRejected(t *testing.T) {
	set := metrics.NewSet()
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: echo, Metrics: set})
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name    string
		reason  string
		connect func(t *testing.T)
	}{
		{name: "cluster", reason: "cluster", connect: func(t *testing.T) {
			other := hello
			other.Cluster = "other"
			_, err := linker.Dial(t.Context(), networker.TCP{}, server.Address(), linker.Options{Hello: other})
			qt.Assert(t, errors.Is(err, linker.ErrIncompatiblePeer), qt.IsTrue, qt.Commentf("got %v", err))
		}},
		{name: "version", reason: "version", connect: func(t *testing.T) {
			other := hello
			other.Version++
			_, err := linker.Dial(t.Context(), networker.TCP{}, server.Address(), linker.Options{Hello: other})
			qt.Assert(t, errors.Is(err, linker.ErrIncompatiblePeer), qt.IsTrue, qt.Commentf("got %v", err))
		}},
		{name: "garbage", reason: "garbage", connect: func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Address())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write([]byte("\x00\x00\x00\x02GET / HTTP/1.1\r\n\r\n"))
			qt.Assert(t, err, qt.IsNil)
			// The server sends its own hello frame, then closes the connection.
			_, _ = io.Copy(io.Discard, conn)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.connect(t) })
	}
	qt.Assert(t, server.Close(), qt.IsNil)
	for _, test := range tests {
		counter := set.GetOrCreateCounter(`marigold_link_refusals_total{reason="` + test.reason + `"}`)
		qt.Check(t, counter.Get(), qt.Equals, uint64(1), qt.Commentf("%s", test.reason))
	}
}

// A peer may respond and close the stream before the caller has sent its whole query.
// The reset that follows must not lose the response.
func TestCallAcceptsEarlyResponse(t *testing.T) {
	respondEarly := func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
		_ = stream.Send(&messenger.OutcomeResponse{Body: []byte("early")})
		_ = stream.CloseWrite()
	}
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: respondEarly})
	qt.Assert(t, err, qt.IsNil)
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	t.Cleanup(func() {
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
	query := &messenger.OutcomeQuery{Key: strings.Repeat("k", 200_000)}
	for range 300 {
		response, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](
			t.Context(), pool, server.Address(), messenger.KindOutcome, query)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(response.Body), qt.Equals, "early")
	}
}

// Guards against a message of another process that ends the one that reads it.
func TestDeeplyNestedMessageIsAnError(t *testing.T) {
	received := make(chan error, 1)
	handler := func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
		received <- stream.Receive(new(messenger.OutcomeQuery))
	}
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: handler})
	qt.Assert(t, err, qt.IsNil)
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	t.Cleanup(func() {
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
	stream, err := pool.Open(t.Context(), server.Address(), messenger.KindOutcome)
	qt.Assert(t, err, qt.IsNil)
	// An unknown field with a value of 32 million levels.
	field := []byte{0x81, 0xa1, 'x'}
	message := binary.BigEndian.AppendUint32(nil, uint32(len(field)+32<<20))
	message = append(append(message, field...), bytes.Repeat([]byte{0x91}, 32<<20)...)
	_, err = stream.Write(message)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, <-received, qt.ErrorIs, decoder.ErrTooDeep)
}
