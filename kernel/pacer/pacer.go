// Package pacer limits the rate of large writes so that they don't fill the send
// queue of a VM's network link and delay heartbeats and small responses.
//
// All connections of a [Network] share one [Bucket]. Small writes are sent at once
// and only counted; large ones are split into chunks, each of which waits until the
// link has had time to send the bytes written before it.
//
// # Usage
//
//	bucket := pacer.NewBucket(11e6/8)
//	network := pacer.New(networker.TCP{}, bucket)
//	conn, err := network.Dial(ctx, "10.0.0.2:7000")
//	backlog := bucket.Backlog(time.Now())
package pacer

import (
	"context"
	"net"
	"sync"
	"time"

	"marigoldhill/kernel/networker"
)

const (
	// maxUnpacedSize is the size in bytes up to which a write is sent at once. It
	// covers heartbeats and responses without a large body.
	maxUnpacedSize = 8 << 10
	// chunkSize is the size in bytes of the chunks of a large write.
	chunkSize = 8 << 10
	// maxBacklog is how much unsent data large writes may queue for the link, as
	// the time that it takes to send. A longer queue delays heartbeats; a shorter
	// one leaves the link idle between two wake-ups.
	maxBacklog = 25 * time.Millisecond
	// usableShare is the fraction of the link rate that large writes may use.
	usableShare = 0.9
	// payloadShare is the fraction of the link rate that carries what is written. The
	// headers of TCP and IP take 4% of an answer of 5 KB, and acknowledgments some more.
	payloadShare = 0.95
)

// Bucket accounts for the bytes written to a link. It is safe for concurrent use.
type Bucket struct {
	// rate is the usable rate of the link in bytes per second, payloadRate the rate at
	// which the link sends what is written.
	rate        float64
	payloadRate float64

	mu sync.Mutex
	// idleAt is when the link will have sent all bytes written so far, and the chunks
	// that wait, at the usable rate.
	idleAt time.Time
	// sentAt is when the link will have sent all bytes written so far.
	sentAt time.Time
	// waiting is the total size of the chunks that wait, written that of everything
	// written so far, and paced that of the chunks in it.
	waiting int
	written uint64
	paced   uint64
}

// NewBucket returns a Bucket for a link that sends rate bytes per second; 0 means
// no limit.
func NewBucket(rate float64) *Bucket {
	return &Bucket{rate: rate * usableShare, payloadRate: rate * payloadShare}
}

// add accounts for size bytes and returns how long the link needs from now for the
// bytes written before them.
func (b *Bucket) add(now time.Time, size int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.idleAt.Before(now) {
		b.idleAt = now
	}
	backlog := b.idleAt.Sub(now)
	b.idleAt = b.idleAt.Add(time.Duration(float64(size) / b.rate * float64(time.Second)))
	return backlog
}

// waitForChunk blocks until a chunk of size bytes of a large write may be sent.
func (b *Bucket) waitForChunk(size int) {
	if backlog := b.add(time.Now(), size); backlog > maxBacklog {
		b.addWaiting(size)
		time.Sleep(backlog - maxBacklog)
		b.addWaiting(-size)
	}
}

// Network is a network whose connections share a Bucket. Connections within the VM do not
// use the link, so their writes are neither counted nor delayed.
type Network struct {
	inner  networker.Network
	bucket *Bucket
}

var _ networker.Network = (*Network)(nil)

// New returns a Network that wraps inner, or inner itself if bucket has no limit.
func New(inner networker.Network, bucket *Bucket) networker.Network {
	if bucket.rate <= 0 {
		return inner
	}
	return &Network{inner: inner, bucket: bucket}
}

// Listen implements [networker.Network].
func (n *Network) Listen(address string) (net.Listener, error) {
	wrapped, err := n.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: wrapped, bucket: n.bucket}, nil
}

// Dial implements [networker.Network].
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	wrapped, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if networker.IsLocal(wrapped) {
		return wrapped, nil
	}
	return &conn{Conn: wrapped, bucket: n.bucket}, nil
}

type listener struct {
	net.Listener
	bucket *Bucket
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	wrapped, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if networker.IsLocal(wrapped) {
		return wrapped, nil
	}
	return &conn{Conn: wrapped, bucket: l.bucket}, nil
}

type conn struct {
	net.Conn
	bucket *Bucket
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if len(data) <= maxUnpacedSize {
		c.bucket.add(time.Now(), len(data))
		c.bucket.countWritten(time.Now(), len(data), false)
		return c.Conn.Write(data)
	}
	written := 0
	for written < len(data) {
		end := min(written+chunkSize, len(data))
		c.bucket.waitForChunk(end - written)
		c.bucket.countWritten(time.Now(), end-written, true)
		n, err := c.Conn.Write(data[written:end])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}
