// Package linker multiplexes streams over one connection between two processes of
// the system.
//
// Each connection starts with a handshake, in which both sides must send the same
// cluster and protocol version. Only the side that dialed opens streams, and a
// stream number is never reused on a connection. A stream carries bytes in both
// directions with flow control, so that a slow stream does not block the others.
// Each frame has a sequence number: a duplicate frame is dropped and counted, and a
// gap closes the connection at once. The last frame in each direction of a stream
// has the length and the checksum of all data sent. A reader gets io.EOF only if
// both match; any other end of the stream is reported as an error. While a
// connection has open streams, keepalive pings are sent on it, and it is closed
// when no data arrives for KeepaliveTimeout.
//
// # Usage
//
//	server, err := linker.Listen(network, "127.0.0.1:7000", linker.Options{Hello: hello, Handler: handle})
//
//	pool := linker.NewPool(network, linker.Options{Hello: hello})
//	response, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
//		ctx, pool, address, messenger.KindHeartbeat, &heartbeat)
//
//	stream, err := pool.Open(ctx, address, messenger.KindForward)
//	err = stream.Send(&request)      // one message, msgpack
//	_, err = io.Copy(stream, body)   // then raw bytes
//	err = stream.CloseWrite()
//	err = stream.Receive(&response)
//	_, err = io.Copy(caller, stream) // no error only if the data is complete
package linker

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("linker")

// Sentinel errors, wrapped by the errors that this package returns.
var (
	// ErrKeepaliveTimeout means that the connection was closed because no data was received
	// for KeepaliveTimeout.
	ErrKeepaliveTimeout = errs.New("keepalive timeout: no data received from the peer")
	// ErrClosed means that the connection or stream was closed on this side.
	ErrClosed = errs.New("closed")
	// ErrStreamMismatch means that the data received on a stream does not match the
	// length or checksum sent by the peer.
	ErrStreamMismatch = errs.New("stream length or checksum mismatch")
	// ErrReset means that the peer aborted the stream.
	ErrReset = errs.New("stream reset by the peer")
	// ErrProtocolViolation means that the peer violated the protocol.
	ErrProtocolViolation = errs.New("protocol violation by the peer")
	// ErrIncompatiblePeer means that the peer belongs to another cluster or uses another
	// protocol version.
	ErrIncompatiblePeer = errs.New("incompatible peer")
	// ErrNotConnected means that no connection was available, so nothing was sent.
	ErrNotConnected = errs.New("connection not established")
)

const (
	// PingInterval is the interval between keepalive pings on a connection.
	PingInterval = 250 * time.Millisecond
	// KeepaliveTimeout is the keepalive timeout: a connection on which no data arrives
	// for this long while pings are sent is closed.
	KeepaliveTimeout = time.Second
	// HandshakeTimeout is the timeout of the handshake.
	HandshakeTimeout = time.Second
	// MaxMessageBytes is the maximum size of a message in bytes.
	MaxMessageBytes = 64 << 20
	// MaxRequestBytes is the maximum size of a message with the head of a request.
	MaxRequestBytes = 4 << 20
	// StreamWindowBytes is the flow-control window of a stream: how many bytes may be
	// sent that the receiver has not read yet.
	StreamWindowBytes = 256 << 10
	// MaxConcurrentStreams is the maximum number of concurrent streams that a peer may open
	// on a connection.
	MaxConcurrentStreams = 8192
	// DialTimeout is the timeout for opening a connection, without the handshake.
	DialTimeout = time.Second
	// RedialBackoff is how long an address is not dialed again after a failed
	// attempt.
	RedialBackoff = 50 * time.Millisecond
	// WriteTimeout is the timeout for writing one chunk of frames to a connection.
	WriteTimeout = 2 * time.Second
)

// Handler serves one stream that a peer opened. The stream is closed when the
// handler returns, and reset if either direction has not ended by then.
type Handler func(ctx context.Context, link *Link, stream *Stream)

// Options configures the links of a process.
type Options struct {
	// Hello is sent to the peer during the handshake.
	Hello messenger.Hello
	// Handler serves the streams that peers open; nil on a side that only
	// dials.
	Handler Handler
	// Metrics is where the counters are registered; nil disables them.
	Metrics *metrics.Set
	// Budget bounds the connections that peers open until their handshake is complete; nil
	// means no bound.
	Budget *limiter.Budget
}

// count increments the counter called name with the given reason label.
func (o *Options) count(name, reason string) {
	if o.Metrics == nil {
		return
	}
	o.Metrics.GetOrCreateCounter(`marigold_link_` + name + `_total{reason="` + reason + `"}`).Inc()
}
