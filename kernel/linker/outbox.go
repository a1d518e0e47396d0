package linker

import (
	"sync"

	"marigoldhill/kernel/framer"
)

const (
	// maxPending is how many bytes wait for the connection before writers of
	// data are held back. Small answers wait behind them: at 1 MB/s for 64 ms.
	maxPending = 64 << 10
	// overflow is how many bytes may wait in all, those that are being written
	// included. Only frames that answer the peer's own go beyond maxPending.
	overflow = 8 << 20
	// maxSpare is the largest buffer that is kept for the next batch.
	maxSpare = 512 << 10
)

// outbox holds the frames that wait for the connection.
type outbox struct {
	mu      sync.Mutex
	space   sync.Cond
	pending []byte
	// writing is the length of the batch that was taken last. The next take
	// shows that it was written.
	writing  int
	sequence uint32
	closed   bool
	wake     chan struct{}
}

func (o *outbox) init() {
	o.space.L = &o.mu
	o.wake = make(chan struct{}, 1)
}

// add appends a frame with its sequence number; a closed outbox drops it. It
// reports true for the frame that makes the outbox overflow.
func (o *outbox) add(frame framer.Frame) bool {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return false
	}
	before := len(o.pending) + o.writing
	frame.Sequence = o.sequence
	o.sequence++
	o.pending = framer.Append(o.pending, frame)
	overflows := before <= overflow && len(o.pending)+o.writing > overflow
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return overflows
}

// take returns all that waits, and keeps spare for what comes next.
func (o *outbox) take(spare []byte) []byte {
	if cap(spare) > maxSpare {
		spare = nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.pending
	o.writing = len(batch)
	o.pending = spare[:0]
	o.space.Broadcast()
	return batch
}

// wait holds a writer of data back while too much waits.
func (o *outbox) wait() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) > maxPending && !o.closed {
		o.space.Wait()
	}
}

// close lets all writers go.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.pending = nil
	o.space.Broadcast()
}
