// Package linker carries many streams over one connection between two processes
// of the system.
//
// Each connection starts with a greeting in both directions, which must agree on
// the cluster and the protocol version. The side that dialled opens streams; a
// stream number is never used twice on a connection. A stream carries bytes in
// both directions with flow control, so that a slow one does not hold up the
// others. Each frame has a sequence number: one that came before is dropped and
// counted, and a gap breaks the connection at once. The last frame of a direction has the length and the checksum of all
// that was sent: a reader gets io.EOF only when both agree, and any other end as
// an error. Pings run inside a connection while it has open streams, and one that
// falls silent is closed.
//
// # Usage
//
//	server, err := linker.Listen(network, "127.0.0.1:7000", linker.Options{Hello: hello, Handler: handle})
//
//	pool := linker.NewPool(network, linker.Options{Hello: hello})
//	answer, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatAnswer](
//		ctx, pool, address, messenger.KindHeartbeat, &heartbeat)
//
//	stream, err := pool.Open(ctx, address, messenger.KindForward)
//	err = stream.Send(&request)      // one message, msgpack
//	_, err = io.Copy(stream, body)   // then raw bytes
//	err = stream.CloseWrite()
//	err = stream.Receive(&response)
//	_, err = io.Copy(caller, stream) // io.EOF only when whole
package linker

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("linker")

// Errors that callers tell apart; the returned ones wrap them.
var (
	// ErrSilent ends a connection on which nothing was heard for SilenceTime.
	ErrSilent = errs.New("connection fell silent")
	// ErrClosed is for use of a connection or stream that was closed here.
	ErrClosed = errs.New("closed")
	// ErrTruncated means that a stream ended with a wrong length or checksum.
	ErrTruncated = errs.New("stream is not whole")
	// ErrReset means that the peer aborted the stream.
	ErrReset = errs.New("stream was reset by the peer")
	// ErrProtocol means that the peer broke the protocol.
	ErrProtocol = errs.New("peer broke the protocol")
	// ErrStranger means that the peer is of another cluster, version or role.
	ErrStranger = errs.New("peer is a stranger")
	// ErrDial means that no connection could be opened: nothing was sent.
	ErrDial = errs.New("no connection")
)

const (
	// PingInterval is the time between two pings on a connection.
	PingInterval = 250 * time.Millisecond
	// SilenceTime is how long a connection may be silent before it is closed.
	SilenceTime = time.Second
	// HelloTime bounds the greeting.
	HelloTime = time.Second
	// MaxMessage is the largest message in bytes.
	MaxMessage = 64 << 20
	// StreamWindow is how many bytes a peer may send ahead on a stream.
	StreamWindow = 256 << 10
	// MaxStreams is how many streams a peer may have open on a connection.
	MaxStreams = 8192
	// DialTime bounds the opening of a connection, without the greeting.
	DialTime = time.Second
	// DialPause is how long an address that could not be dialled is not tried
	// again.
	DialPause = 50 * time.Millisecond
	// WriteTime is how long a connection may take for a batch of frames.
	WriteTime = 2 * time.Second
)

// Handler serves one stream that a peer opened. The stream is reset when the
// handler returns without having closed it.
type Handler func(ctx context.Context, link *Link, stream *Stream)

// Options are the settings of the links of a process.
type Options struct {
	// Hello is the greeting of this process.
	Hello messenger.Hello
	// Handler serves the streams that peers open; nil on a side that only
	// dials.
	Handler Handler
	// Metrics gets the counters; nil counts nothing.
	Metrics *metrics.Set
}

// count adds one to a counter with a reason label.
func (o *Options) count(name, reason string) {
	if o.Metrics == nil {
		return
	}
	o.Metrics.GetOrCreateCounter(`marigold_link_` + name + `_total{reason="` + reason + `"}`).Inc()
}
