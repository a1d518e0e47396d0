// Package pacer keeps large writes from filling the queue of a VM's link, so that
// heartbeats and small answers are not held up behind them.
//
// All connections of a [Network] share one [Bucket]. Small writes pass at once
// and are only counted; large ones are cut into parts that wait until the link has
// had time for what went before.
//
// # Usage
//
//	network := pacer.New(networker.TCP{}, pacer.NewBucket(11e6/8))
//	conn, err := network.Dial(ctx, "10.0.0.2:7000")
package pacer

import (
	"context"
	"net"
	"sync"
	"time"

	"marigoldhill/kernel/networker"
)

const (
	// small is the size in bytes up to which a write passes at once: a heartbeat
	// or an answer without a large body.
	small = 8 << 10
	// part is the size in bytes of the parts of a large write.
	part = 8 << 10
	// burst is how far ahead of the link writes may be, in time. Longer queues
	// delay heartbeats; shorter ones leave the link idle between two wake-ups.
	burst = 25 * time.Millisecond
	// share is the part of the link that large writes may fill.
	share = 0.9
)

// Bucket counts what was written to a link. It is safe for concurrent use.
type Bucket struct {
	rate float64

	mu sync.Mutex
	// free is when the link will have sent all that was written.
	free time.Time
}

// NewBucket returns a Bucket for a link of so many bytes a second; 0 sets no
// bound.
func NewBucket(rate float64) *Bucket {
	return &Bucket{rate: rate * share}
}

// add counts bytes and returns how long the link is busy from now on.
func (b *Bucket) add(now time.Time, size int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free.Before(now) {
		b.free = now
	}
	busy := b.free.Sub(now)
	b.free = b.free.Add(time.Duration(float64(size) / b.rate * float64(time.Second)))
	return busy
}

// pace waits until a part of a large write may be sent.
func (b *Bucket) pace(size int) {
	if busy := b.add(time.Now(), size); busy > burst {
		time.Sleep(busy - burst)
	}
}

// Network is a network whose connections share a Bucket.
type Network struct {
	inner  networker.Network
	bucket *Bucket
}

var _ networker.Network = (*Network)(nil)

// New returns a Network over inner. Without a bound it is inner itself.
func New(inner networker.Network, bucket *Bucket) networker.Network {
	if bucket.rate <= 0 {
		return inner
	}
	return &Network{inner: inner, bucket: bucket}
}

// Listen implements [networker.Network].
func (n *Network) Listen(address string) (net.Listener, error) {
	socket, err := n.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: socket, bucket: n.bucket}, nil
}

// Dial implements [networker.Network].
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, bucket: n.bucket}, nil
}

type listener struct {
	net.Listener
	bucket *Bucket
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, bucket: l.bucket}, nil
}

type conn struct {
	net.Conn
	bucket *Bucket
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if len(data) <= small {
		c.bucket.add(time.Now(), len(data))
		return c.Conn.Write(data)
	}
	written := 0
	for written < len(data) {
		next := min(written+part, len(data))
		c.bucket.pace(next - written)
		n, err := c.Conn.Write(data[written:next])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
